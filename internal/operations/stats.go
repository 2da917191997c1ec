package operations

import "scaleroute/internal/engine"

// Stats are the statistics as the admin API returns them. Each process counts from its own start.
type Stats struct {
	Fulfilled map[string]uint64 `json:"fulfilled"` // delivered, by class
	Throttled map[string]uint64 `json:"throttled"` // refused at intake, or after they were accepted
	Faulted   map[string]uint64 `json:"faulted"`   // rejected at intake, or failed after they were accepted

	Relayed       uint64            `json:"relayed"`            // messages written completely to endpoints; each attempt counts
	Withheld      map[string]uint64 `json:"withheld,omitempty"` // attempts whose message was not written once their connection was ready, by reason
	OpenRequests  int               `json:"open_requests"`      // messages accepted and not completed
	Registry      int               `json:"registry_entries"`   // endpoints in the list
	OutOfRotation int               `json:"out_of_rotation"`    // endpoints of the list that get no calls now, since an operator disabled them or the forwarder holds them back
}

// Stats returns the Stats that were published last.
func (c *Control) Stats() any { return NewStats(c.stats()) }

// NewStats converts the statistics of the engine.
func NewStats(f *engine.Stats) Stats {
	s := Stats{Fulfilled: map[string]uint64{}, Throttled: map[string]uint64{}, Faulted: map[string]uint64{},
		Relayed: f.Relayed, Withheld: f.Withheld, OpenRequests: f.Open, Registry: f.Listed, OutOfRotation: f.OutOfRotation}
	for class, t := range f.Classes {
		s.Fulfilled[class] = t.Delivered
		s.Throttled[class] = t.RefusedAtIntake + t.RefusedAfterAccept
		s.Faulted[class] = t.RejectedAtIntake + t.Failed
	}
	return s
}
