package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/control/api"
)

// members is the membership of the fleet: the leases that this server holds and those that its peers hold. It is not safe for concurrent use and
// reads no clock.
type members struct {
	lease     time.Duration
	own       map[string]ownLease
	peers     map[string]*peerLeases // by the peer's address
	fleetView memberView             // sent to forwarders: the members with a lease at this server or a peer
	ownView   memberView             // sent to peers: the members with a lease at this server
}

type ownLease struct {
	zone    string
	expires time.Time
}

// peerLeases is the last known state of another control server.
type peerLeases struct {
	zones      map[string]string // by name, of the members whose lease the peer holds
	lastAnswer time.Time
}

func newMembers(lease time.Duration) *members {
	return &members{lease: lease, own: map[string]ownLease{}, peers: map[string]*peerLeases{}, fleetView: newMemberView(), ownView: newMemberView()}
}

// renew grants or extends a member's lease from now on. It returns false if the member is new and the limit is reached.
func (m *members) renew(name, zone string, now time.Time) bool {
	if _, known := m.own[name]; !known && len(m.own) >= maxMembers {
		return false
	}
	m.own[name] = ownLease{zone: zone, expires: now.Add(m.lease)}
	return true
}

// leave ends a member's lease immediately.
func (m *members) leave(name string) { delete(m.own, name) }

// applyPeerAnswer applies a peer's snapshot or delta.
func (m *members) applyPeerAnswer(address string, answer *api.Members, now time.Time) {
	peer := m.peers[address]
	if peer == nil || answer.Snapshot {
		peer = &peerLeases{zones: map[string]string{}}
		m.peers[address] = peer
	}
	peer.lastAnswer = now
	for _, each := range answer.Members {
		if each.Status == api.Deleted {
			delete(peer.zones, each.Name)
		} else if len(peer.zones) < maxMembers {
			peer.zones[each.Name] = each.Zone
		}
	}
}

// publish removes expired leases and updates both views. The members of a peer that does not respond are kept for the duration of one lease.
func (m *members) publish(now time.Time) (changed bool) {
	own := map[string]string{}
	for name, lease := range m.own {
		if !now.Before(lease.expires) {
			delete(m.own, name)
			continue
		}
		own[name] = lease.zone
	}
	all := map[string]string{}
	for address, peer := range m.peers {
		if now.Sub(peer.lastAnswer) > m.lease {
			delete(m.peers, address)
			continue
		}
		maps.Copy(all, peer.zones)
	}
	maps.Copy(all, own) // the server that holds the lease has the latest zone
	ownChanged := m.ownView.replace(own)
	return m.fleetView.replace(all) || ownChanged
}

// memberView is a list of members with an index and a bounded log of changes.
type memberView struct {
	index    int64
	zones    map[string]string
	log      []memberChange // by index
	logStart int64          // the log is complete for changes after this index
}

type memberChange struct {
	index int64
	name  string
}

func newMemberView() memberView { return memberView{zones: map[string]string{}} }

// replace replaces the members and logs the difference. It returns false if there is none.
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
		v.logStart = v.log[over-1].index
		v.log = slices.Clone(v.log[over:])
	}
	return true
}

// covers reports whether the log has all changes since an index.
func (v *memberView) covers(index int64) bool {
	return index >= v.logStart && index >= 0 && index <= v.index
}

// changedSince returns the current state of each member that changed since an index that the log covers.
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

func (v *memberView) allMembers() []api.Member {
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
