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

// readMembers decodes an answer to a watch of the members and checks that it has an epoch and a lease.
func readMembers(from io.Reader) (a api.Members, err error) {
	if err := json.NewDecoder(from).Decode(&a); err != nil {
		return a, err
	}
	switch {
	case a.Epoch == "":
		return a, errors.New("members: the answer has no epoch")
	case a.LeaseMS <= 0:
		return a, fmt.Errorf("members: the lease of %d ms is not positive", a.LeaseMS)
	}
	return a, nil
}

// Membership is the set of members of the fleet according to the answers of control servers. It does no I/O and reads no clock.
//
// A server that has just started may know few members. A member that is missing from the answer of a different server, or of a server that has restarted,
// therefore stays in the set for one more lease, so that parts do not move merely because this forwarder has changed its server.
type Membership struct {
	Epoch   string // identifies the server run that Index belongs to
	Index   int64
	Lease   time.Duration
	members map[string]time.Duration // when a member that the current server has not named expires; 0: the server has named it
}

// Apply applies an answer and reports whether the set of members has changed.
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

// Expire removes the members that have expired and reports whether there were any.
func (m *Membership) Expire(now time.Duration) (changed bool) {
	for name, until := range m.members {
		if until != 0 && now >= until {
			delete(m.members, name)
			changed = true
		}
	}
	return changed
}

// Restore sets the members that another process has saved. After the first answer of a control server, a restored member that the answer does not name stays for
// one more lease.
func (m *Membership) Restore(names []string) {
	m.members = map[string]time.Duration{}
	for _, name := range names {
		m.members[name] = 0
	}
}

// Names returns the names of the members in order.
func (m *Membership) Names() []string { return slices.Sorted(maps.Keys(m.members)) }
