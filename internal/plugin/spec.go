package plugin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

// Spec is one plug-in as it is set.
type Spec struct {
	Name         string
	Classes      []string // none: all
	Destinations []int    // none: all
	Order        int      // where several are bound to a message; names decide between equals
	Points       []Point  // that the code has hooks for
	File         string   // for messages
	Source       string

	Steps     uint64
	Time      time.Duration // for one answer, and as long again to wait for a process
	Memory    int           // bytes
	Output    int           // bytes of a body
	Processes int
	Allowance Allowance
	Pass      bool          // on failure the message goes on unaltered; otherwise it is held back
	Wait      time.Duration // what its client is told then
}

// Digest is the same for specs that run the same code under the same bounds, whichever messages they are bound to.
func (s *Spec) Digest() string {
	same := *s
	same.Classes, same.Destinations, same.Order = nil, nil, 0
	text, _ := json.Marshal(same) // of plain fields: no error
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// AppliesTo tells whether a plug-in is asked about a message at a point.
func (s *Spec) AppliesTo(p Point, class string, destination int) bool {
	return slices.Contains(s.Points, p) && (len(s.Classes) == 0 || slices.Contains(s.Classes, class)) &&
		(len(s.Destinations) == 0 || slices.Contains(s.Destinations, destination))
}

// Overlaps tells whether there are messages about which both are asked at one point.
func (s *Spec) Overlaps(o *Spec) bool {
	return overlap(s.Classes, o.Classes) && overlap(s.Destinations, o.Destinations) &&
		slices.ContainsFunc(s.Points, func(p Point) bool { return slices.Contains(o.Points, p) })
}

func overlap[T comparable](a, b []T) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(x T) bool { return slices.Contains(b, x) })
}

// CompareOrder sorts specs as messages meet them.
func CompareOrder(a, b *Spec) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name))
}
