// Package intake decides which messages are accepted when the storage for queued messages runs low. It does no I/O and reads
// no clock.
//
// Messages for unresponsive destinations stay queued for long and would fill any storage, while messages for the others pass
// through quickly. While less than three quarters of the storage are in use, every message is accepted. Beyond that, a message is
// accepted only if its destination stays within its fair share, which is nine tenths of the storage divided by the number of
// destinations with queued messages. The remaining tenth is left for destinations that are new or whose messages pass through. If
// there is only one destination, it may use all of the storage.
package intake

const (
	fairShareThreshold = 0.75 // part of the storage in use from which fair shares apply
	sharedPart         = 0.9  // part of the storage that is divided into fair shares
)

// Caps counts the queued messages under rules that limit their number per destination. The zero value is ready to use.
type Caps struct{ queued map[Cap]int }

// Cap identifies one counter: a rule and a destination.
type Cap struct {
	Rule        string
	Destination int
}

// Admits reports whether one more message may be queued under a limit.
func (c *Caps) Admits(k Cap, limit int) bool { return c.queued[k] < limit }

// Add counts one message more, or with -1 one fewer.
func (c *Caps) Add(k Cap, n int) {
	if c.queued == nil {
		c.queued = map[Cap]int{}
	}
	if c.queued[k] += n; c.queued[k] <= 0 {
		delete(c.queued, k)
	}
}

// FairShare tracks the storage that the queued messages of each destination use. The zero value is ready to use.
type FairShare struct {
	used  map[int]int64 // bytes
	total int64
}

// Add records that a destination uses more storage; a negative number releases it.
func (s *FairShare) Add(dest int, bytes int64) {
	if s.used == nil {
		s.used = map[int]int64{}
	}
	s.total += bytes
	if s.used[dest] += bytes; s.used[dest] <= 0 {
		delete(s.used, dest)
	}
}

// HasQueued reports whether a destination uses any storage.
func (s *FairShare) HasQueued(dest int) bool { return s.used[dest] > 0 }

// Admits reports whether a destination may use more storage, given the part of the storage that is in use, from 0 to 1, and
// the total number of destinations.
func (s *FairShare) Admits(dest int, bytes int64, inUse float64, destinations int) bool {
	if inUse < fairShareThreshold || destinations <= 1 {
		return true
	}
	own, users := s.used[dest], len(s.used)
	if own == 0 {
		users++
	}
	available := sharedPart * float64(s.total) / min(inUse, 1)
	return float64(own+bytes) <= available/float64(users)
}
