// Package intake says which messages are taken on when the room for what is held is scarce. It does no I/O and knows
// no clock.
//
// What waits for destinations that don't answer stays long and would fill any room; those for the others pass through. As
// long as there is plenty, whoever comes first is served. In the last quarter a destination is served that holds less than its
// fair part, which is nine tenths of the room divided by the number of those that hold anything: so one that comes new, or whose
// messages pass, finds a tenth free. Where there is one only it may use all.
package intake

const (
	scarce  = 0.75 // of the room in use: from here on parts count
	divided = 0.9  // of the room
)

// Caps counts what is held under rules that set a number for each destination apart. The zero value has counted nothing.
type Caps struct{ held map[Cap]int }

// Cap is what one number holds for.
type Cap struct {
	Rule        string
	Destination int
}

// Admits tells whether one more may be held where so many may be.
func (c *Caps) Admits(k Cap, most int) bool { return c.held[k] < most }

// Add counts one more, or with -1 one less.
func (c *Caps) Add(k Cap, n int) {
	if c.held == nil {
		c.held = map[Cap]int{}
	}
	if c.held[k] += n; c.held[k] <= 0 {
		delete(c.held, k)
	}
}

// FairShare knows what each destination holds. The zero value holds nothing.
type FairShare struct {
	held map[int]int64 // bytes
	used int64
}

// Add notes that a destination holds so much more; a negative number gives it back.
func (s *FairShare) Add(dest int, bytes int64) {
	if s.held == nil {
		s.held = map[int]int64{}
	}
	s.used += bytes
	if s.held[dest] += bytes; s.held[dest] <= 0 {
		delete(s.held, dest)
	}
}

// HasQueued tells whether a destination holds anything.
func (s *FairShare) HasQueued(dest int) bool { return s.held[dest] > 0 }

// Admits tells whether a destination may hold so much more, when such a part of the room is in use, from 0 to 1, and
// there are so many destinations in all.
func (s *FairShare) Admits(dest int, bytes int64, full float64, destinations int) bool {
	if full < scarce || destinations <= 1 {
		return true
	}
	mine, parts := s.held[dest], len(s.held)
	if mine == 0 {
		parts++
	}
	room := divided * float64(s.used) / min(full, 1)
	return float64(mine+bytes) <= room/float64(parts)
}
