package plugin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

// Spec is the configuration of one plug-in. Digest depends on the names of its fields.
type Spec struct {
	Name         string
	Classes      []string // empty: all
	Destinations []int    // empty: all
	Order        int      // order in which the plug-ins for one message are called; equal ones are called in the order of their names
	Points       []Point  // points for which the code defines hooks
	File         string   // file name, for error messages
	Source       string

	Steps     uint64
	Time      time.Duration // limit for one call, and the same limit again for waiting for an idle process
	Memory    int           // bytes
	Output    int           // bytes of a body
	Processes int
	Allowance Allowance
	Pass      bool          // if the plug-in fails: true sends the message on unaltered, false refuses it or delays its attempt
	Wait      time.Duration // retry-after time for the client, or delay of the next attempt, if the plug-in fails and Pass is false
}

// Digest returns a hash of everything but the choice of messages and the order: specs that run the same code under the same
// limits have the same digest.
func (s *Spec) Digest() string {
	same := *s
	same.Classes, same.Destinations, same.Order = nil, nil, 0
	text, _ := json.Marshal(same) // cannot fail: the fields have plain types only
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// AppliesTo reports whether the plug-in is called at a point for messages of a class and a destination.
func (s *Spec) AppliesTo(p Point, class string, destination int) bool {
	return slices.Contains(s.Points, p) && (len(s.Classes) == 0 || slices.Contains(s.Classes, class)) &&
		(len(s.Destinations) == 0 || slices.Contains(s.Destinations, destination))
}

// Overlaps reports whether there are messages for which both plug-ins are called at the same point.
func (s *Spec) Overlaps(o *Spec) bool {
	return overlap(s.Classes, o.Classes) && overlap(s.Destinations, o.Destinations) &&
		slices.ContainsFunc(s.Points, func(p Point) bool { return slices.Contains(o.Points, p) })
}

func overlap[T comparable](a, b []T) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(x T) bool { return slices.Contains(b, x) })
}

// CompareOrder compares specs by the order in which they are called.
func CompareOrder(a, b *Spec) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
}
