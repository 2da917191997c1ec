package operations

import "scaleroute/internal/engine"

// Stats is the figures as the door tells them. Each process counts from its own start.
type Stats struct {
	Fulfilled map[string]uint64 `json:"fulfilled"` // delivered, by class
	Throttled map[string]uint64 `json:"throttled"` // refused at once or handed back later
	Faulted   map[string]uint64 `json:"faulted"`   // answered as failed, at once or later

	Relayed       uint64 `json:"relayed"`          // messages written whole to targets, each attempt counted
	OpenRequests  int    `json:"open_requests"`    // messages taken and not ended
	Registry      int    `json:"registry_entries"` // targets in the list
	OutOfRotation int    `json:"out_of_rotation"`  // those of them that get nothing now, by hand or by choice
}

// Stats are the figures as published last.
func (c *Control) Stats() any { return NewStats(c.figures()) }

// NewStats words figures.
func NewStats(f *engine.Stats) Stats {
	s := Stats{Fulfilled: map[string]uint64{}, Throttled: map[string]uint64{}, Faulted: map[string]uint64{},
		Relayed: f.Relayed, OpenRequests: f.Open, Registry: f.Listed, OutOfRotation: f.OutOfRotation}
	for class, t := range f.Classes {
		s.Fulfilled[class] = t.Delivered
		s.Throttled[class] = t.RefusedAtIntake + t.RefusedAfterAccept
		s.Faulted[class] = t.RejectedAtIntake + t.Failed
	}
	return s
}
