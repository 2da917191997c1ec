package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/control/api"
)

// members is who belongs to the fleet: the leases that are held here, and those that other control servers hold. It has no lock and no clock.
type members struct {
	lease time.Duration
	own   map[string]ownLease
	peers map[string]*peerLeases // by the peer's address
	all   memberView             // sent to forwarders: the members of this server and its peers
	held  memberView             // sent to peers: those whose lease is held here
}

type ownLease struct {
	zone    string
	expires time.Time
}

// peerLeases is what another control server has said last.
type peerLeases struct {
	zones    map[string]string // of the members whose lease it holds
	answered time.Time
}

func newMembers(lease time.Duration) *members {
	return &members{lease: lease, own: map[string]ownLease{}, peers: map[string]*peerLeases{}, all: newMemberView(), held: newMemberView()}
}

// renew gives a member a lease from now on; false where there are too many.
func (m *members) renew(name, zone string, now time.Time) bool {
	if _, known := m.own[name]; !known && len(m.own) >= maxMembers {
		return false
	}
	m.own[name] = ownLease{zone: zone, expires: now.Add(m.lease)}
	return true
}

// leave ends a lease at once.
func (m *members) leave(name string) { delete(m.own, name) }

// applyPeerAnswer takes over a peer's answer.
func (m *members) applyPeerAnswer(address string, answer *api.Members, now time.Time) {
	peer := m.peers[address]
	if peer == nil || answer.Snapshot {
		peer = &peerLeases{zones: map[string]string{}}
		m.peers[address] = peer
	}
	peer.answered = now
	for _, each := range answer.Members {
		if each.Status == api.Deleted {
			delete(peer.zones, each.Name)
		} else if len(peer.zones) < maxMembers {
			peer.zones[each.Name] = each.Zone
		}
	}
}

// publish drops what has expired, and updates both views. A peer that is silent keeps its members for one lease.
func (m *members) publish(now time.Time) (changed bool) {
	held := map[string]string{}
	for name, lease := range m.own {
		if !now.Before(lease.expires) {
			delete(m.own, name)
			continue
		}
		held[name] = lease.zone
	}
	all := map[string]string{}
	for address, peer := range m.peers {
		if now.Sub(peer.answered) > m.lease {
			delete(m.peers, address)
			continue
		}
		maps.Copy(all, peer.zones)
	}
	maps.Copy(all, held) // whoever holds the lease knows the zone best
	changedHeld := m.held.replace(held)
	return m.all.replace(all) || changedHeld
}

// memberView is a list of members with an index and a bounded log.
type memberView struct {
	index  int64
	zones  map[string]string
	log    []memberChange // by index
	oldest int64          // the index from which on the log is whole
}

type memberChange struct {
	index int64
	name  string
}

func newMemberView() memberView { return memberView{zones: map[string]string{}} }

// replace makes another list the view's; false where it is the same.
func (v *memberView) replace(zones map[string]string) bool {
	var changed []string
	for name, zone := range zones {
		if before, known := v.zones[name]; !known || before != zone {
			changed = append(changed, name)
		}
	}
	for name := range v.zones {
		if _, known := zones[name]; !known {
			changed = append(changed, name)
		}
	}
	if len(changed) == 0 {
		return false
	}
	slices.Sort(changed)
	v.zones = zones
	v.index++
	for _, name := range changed {
		v.log = append(v.log, memberChange{index: v.index, name: name})
	}
	if over := len(v.log) - maxMemberChanges; over > 0 {
		v.oldest = v.log[over-1].index
		v.log = slices.Clone(v.log[over:])
	}
	return true
}

// covers reports whether the changes since an index are known.
func (v *memberView) covers(index int64) bool {
	return index >= v.oldest && index >= 0 && index <= v.index
}

// changedSince is what has changed since an index that is covered.
func (v *memberView) changedSince(index int64) []api.Member {
	begin, _ := slices.BinarySearchFunc(v.log, index+1, func(c memberChange, index int64) int { return cmp.Compare(c.index, index) })
	list := []api.Member{}
	seen := map[string]bool{}
	for _, change := range v.log[begin:] {
		if !seen[change.name] {
			seen[change.name] = true
			list = append(list, v.member(change.name))
		}
	}
	return list
}

func (v *memberView) everybody() []api.Member {
	list := make([]api.Member, 0, len(v.zones))
	for _, name := range slices.Sorted(maps.Keys(v.zones)) {
		list = append(list, v.member(name))
	}
	return list
}

func (v *memberView) member(name string) api.Member {
	zone, known := v.zones[name]
	if !known {
		return api.Member{Name: name, Status: api.Deleted}
	}
	return api.Member{Name: name, Zone: zone, Status: api.Serving}
}
