package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/control/api"
)

func readMembers(from io.Reader) (a api.Members, err error) {
	if err := json.NewDecoder(from).Decode(&a); err != nil {
		return a, err
	}
	switch {
	case a.Epoch == "":
		return a, errors.New("members: the answer has no epoch")
	case a.LeaseMS <= 0:
		return a, fmt.Errorf("members: a lease of %d ms", a.LeaseMS)
	}
	return a, nil
}

// Membership is who the members are, by what control servers have answered. It does no I/O and reads no clock.
//
// A server that has just started may know few of them. So who is missing in the answer of another server, or of one that started anew, stays a member for one
// lease more: parts do not move because this forwarder has changed its server.
type Membership struct {
	Epoch   string // whose the index is
	Index   int64
	Lease   time.Duration
	members map[string]time.Duration // until when one counts that the present server has not named; 0: it has
}

// Apply takes an answer, and tells whether the members are others now.
func (m *Membership) Apply(now time.Duration, a api.Members) (changed bool) {
	if m.members == nil {
		m.members = map[string]time.Duration{}
	}
	m.Lease = time.Duration(a.LeaseMS) * time.Millisecond
	sameServer := a.Epoch == m.Epoch
	m.Epoch, m.Index = a.Epoch, a.Index
	named := map[string]bool{}
	for _, member := range a.Members {
		if member.Status == api.Deleted {
			if _, known := m.members[member.Name]; known {
				delete(m.members, member.Name)
				changed = true
			}
			continue
		}
		named[member.Name] = true
		if _, known := m.members[member.Name]; !known {
			changed = true
		}
		m.members[member.Name] = 0
	}
	if !a.Snapshot {
		return changed
	}
	for name, until := range m.members {
		switch {
		case named[name]:
		case sameServer:
			delete(m.members, name)
			changed = true
		case until == 0:
			m.members[name] = now + m.Lease
		}
	}
	return changed
}

// Expire drops members whose time is up, and tells whether there were any.
func (m *Membership) Expire(now time.Duration) (changed bool) {
	for name, until := range m.members {
		if until != 0 && now >= until {
			delete(m.members, name)
			changed = true
		}
	}
	return changed
}

// Restore goes on from who were members to another process, until a control server has named them, or for a lease.
func (m *Membership) Restore(names []string) {
	m.members = map[string]time.Duration{}
	for _, name := range names {
		m.members[name] = 0
	}
}

// Names lists the members.
func (m *Membership) Names() []string { return slices.Sorted(maps.Keys(m.members)) }
