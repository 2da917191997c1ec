// Package load says how the calls of a fleet are spread over its targets: what each member counts by the second, and what all of them come to: who has more than
// its share, on what ground, and who stands idle and why. It does no I/O, reads no clock and starts no goroutine.
package load

import (
	"maps"
	"slices"
	"time"
)

// Kept is how many seconds a Meter remembers.
const Kept = 120

// mostTargets bounds what a Meter remembers; calls to others are counted as one.
const mostTargets = 2048

// Meter counts one member's calls, by target and second of its own clock. The zero Meter has counted nothing.
type Meter struct {
	targets map[string]*counted
	began   int64  // Unix time in s
	others  uint64 // calls to targets for which there was no room
}

// counted is one target's: in each place of the ring the second that has it last.
type counted struct {
	calls, bad [Kept]uint16
	last       int64 // the newest second counted
	listed     bool
	was        bool  // listed, before the whole list that is being told
	since      int64 // it serves here
}

// at finds the ring's place of a second, with what is too old forgotten; -1 for a second that is over and forgotten itself.
func (c *counted) at(second int64) int {
	switch {
	case second > c.last:
		for s := max(c.last+1, second-Kept+1); s <= second; s++ {
			c.calls[s%Kept], c.bad[s%Kept] = 0, 0
		}
		c.last = second
	case second <= c.last-Kept: // the clock was set back by more than is remembered: it starts anew
		*c = counted{last: second, listed: c.listed, since: min(c.since, second)}
	}
	return int(second % Kept)
}

func (m *Meter) target(name string, second int64) *counted {
	if m.targets == nil {
		m.targets, m.began = map[string]*counted{}, second
	}
	c := m.targets[name]
	if c == nil {
		if len(m.targets) >= mostTargets {
			maps.DeleteFunc(m.targets, func(_ string, c *counted) bool { return !c.listed && c.last <= second-Kept })
		}
		if len(m.targets) >= mostTargets {
			return nil
		}
		c = &counted{last: second}
		m.targets[name] = c
	}
	return c
}

// Call counts a call that is made now.
func (m *Meter) Call(target string, now time.Time) {
	c := m.target(target, now.Unix())
	if c == nil {
		m.others++
		return
	}
	if i := c.at(now.Unix()); c.calls[i] < 1<<16-1 {
		c.calls[i]++
	}
}

// Bad counts one that was refused, failed, or found nobody.
func (m *Meter) Bad(target string, now time.Time) {
	if c := m.target(target, now.Unix()); c != nil {
		if i := c.at(now.Unix()); c.bad[i] < 1<<16-1 {
			c.bad[i]++
		}
	}
}

// Unlisted is told before a whole list is: what that does not name serves no more.
func (m *Meter) Unlisted() {
	for _, c := range m.targets {
		c.was, c.listed = c.listed, false
	}
}

// Listed notes whether a target serves.
func (m *Meter) Listed(target string, serves bool, now time.Time) {
	c := m.target(target, now.Unix())
	if c == nil {
		return
	}
	if serves && !c.listed && !c.was {
		c.since = now.Unix()
	}
	c.listed, c.was = serves, false
}

// Snapshot is what one member tells.
type Snapshot struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone,omitempty"`
	Clock   time.Time `json:"clock"`   // its own, when it told this
	Began   int64     `json:"began_s"` // it has counted since, Unix time by its clock
	Until   int64     `json:"until_s"` // the second that is the last of Calls; the one after it was not over
	Targets []Target  `json:"targets"`
	Others  uint64    `json:"others,omitempty"` // calls to targets that it has no room to count
}

// Target is one target as a member sees it.
type Target struct {
	Name        string  `json:"name"`
	Destination int     `json:"destination"`
	Zone        string  `json:"zone,omitempty"`
	Weight      float64 `json:"weight"`          // its part against the others; 0 is 1
	Serves      bool    `json:"serves"`          // else it drains, or is left out
	ByHand      bool    `json:"by_hand"`         // it is left out by hand
	Since       int64   `json:"since_s"`         // it serves here since then, Unix time by the member's clock
	Held        string  `json:"held,omitempty"`  // why this member would not call it now
	Out         int     `json:"out"`             // calls
	Connections int     `json:"connections"`     // open: those calls, and idle ones
	Calls       []int   `json:"calls,omitempty"` // in each second, the last in Until; those before the first are 0
	Bad         []int   `json:"bad,omitempty"`   // of calls whose ends came then: refused, failed, or nobody there
}

// Counts fills in what was counted, up to the last second that is over.
func (m *Meter) Counts(s *Snapshot, now time.Time) {
	s.Clock, s.Began, s.Until, s.Others = now, m.began, now.Unix()-1, m.others
	if m.targets == nil {
		s.Began = now.Unix()
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		c := m.targets[t.Name]
		if c == nil {
			continue
		}
		t.Since = c.since
		t.Calls, t.Bad = c.list(&c.calls, s.Until), c.list(&c.bad, s.Until)
	}
}

// list has the counts up to a second, without those of nought before the first.
func (c *counted) list(ring *[Kept]uint16, until int64) (list []int) {
	for s := until - Kept + 2; s <= until; s++ { // the second under way has a place, too
		n := 0
		if s <= c.last && s > c.last-Kept {
			n = int(ring[((s%Kept)+Kept)%Kept])
		}
		if n > 0 || len(list) > 0 {
			list = append(list, n)
		}
	}
	return slices.Clip(list)
}
