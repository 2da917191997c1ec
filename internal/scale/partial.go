package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control/client"
	"scaleroute/internal/decide"
	"scaleroute/internal/membership"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
	"scaleroute/internal/version"
)

// Partial is how nodes with a scope are set.
type Partial struct {
	Replicas    int `json:"replicas"`
	Partitions  int `json:"partitions"`
	Cached      int `json:"cached"`
	LookupBytes int `json:"lookup_bytes"`
	Fleet       int `json:"fleet"` // forwarders that are expected
}

const (
	firstWithin = 2 * time.Second // as a forwarder waits at its start
	leaveWithin = time.Second
	memberPause = 50 * time.Millisecond // between looks at who the members are
)

// startNode starts one node under a mechanism.
func startNode(s *Start, number int, settings decide.Settings) (*Node, error) {
	name := nodeName(number)
	switch s.Mechanism {
	case WholeList:
		return NewNode(name, settings, newWholeList(s.Addresses[0], s.Folder))
	case PartialList:
		return NewNode(name, settings, newPartialList(s, name, settings.Seed))
	default:
		return nil, fmt.Errorf("mechanism %q is not known", s.Mechanism)
	}
}

// nodeName names a simulated node.
func nodeName(number int) string { return fmt.Sprintf("simulated-%05d", number) }

// partialList follows a node's own part at control servers.
type partialList struct {
	layout   ownership.Layout
	client   *client.Client
	follower *client.Follower
	node     *Node

	mu      sync.Mutex // one that starts and one that delivers
	set     membership.Set
	targets version.ListTracker
}

func newPartialList(s *Start, name string, seed uint64) *partialList {
	layout := ownership.Layout{Partitions: s.Partial.Partitions, Replicas: s.Partial.Replicas}
	limits := partial.DefaultLimits()
	limits.MaxFetched, limits.LookupBytesPerSecond = s.Partial.Cached, float64(s.Partial.LookupBytes)
	p := &partialList{layout: layout, client: client.New(client.Config{Servers: s.Addresses, Layout: layout, Name: name, Zone: simulatedZone, Seed: seed})}
	p.follower = client.NewFollower(client.FollowerConfig{Client: p.client, Limits: limits, FleetSize: s.Partial.Fleet, Deliver: p.deliver})
	return p
}

// watch follows the part as a forwarder does: a first answer if one comes soon, then whatever changes.
func (p *partialList) watch(ctx context.Context, to *Node) {
	defer p.client.Close()
	p.node = to
	first, cancel := context.WithTimeout(ctx, firstWithin)
	p.follower.FetchInitial(first, nil) // an error: Run goes on asking
	cancel()
	known, _ := p.follower.StartDelivery()
	p.apply(&known)
	p.follower.Run(ctx)
}

// apply has a list in force, by way of what a forwarder keeps of each source and of the list's digest.
func (p *partialList) apply(l *agent.List) {
	p.mu.Lock()
	merged := p.set.Update(membership.Agent, l.EngineUpdate())
	p.targets.Update(l.Index, l.Snapshot, l.VersionEntries())
	p.mu.Unlock()
	p.node.apply(l.Index, merged)
}

// deliver has an update in force.
func (p *partialList) deliver(u partial.Update) {
	if len(u.Evicted) > 0 {
		p.evict(u.Evicted, u.Index)
	}
	if len(u.Changed) > 0 {
		p.apply(&agent.List{Index: u.Index, Endpoints: u.Changed})
	}
}

// evict has destinations forgotten that are not needed.
func (p *partialList) evict(list []partial.Eviction, index int64) {
	var names []string
	var destinations []int
	var gone []version.Entry
	for _, e := range list {
		destinations = append(destinations, e.Destination)
		for _, name := range e.Endpoints {
			names, gone = append(names, name), append(gone, version.Entry{Name: name, Gone: true})
		}
	}
	p.mu.Lock()
	l := p.set.Forget(membership.Agent, names)
	p.targets.Update(index, false, gone)
	p.mu.Unlock()
	p.node.engine.Evict(l, destinations)
}

// part is the partitions that the node owns.
func (p *partialList) part() ownership.Set {
	set, err := ownership.ParseSet(p.follower.Save().Owned, p.layout.Partitions, uint64(p.layout.Partitions))
	if err != nil {
		return ownership.Set{} // a follower that has no part yet
	}
	return set
}

// concerns is asked about many destinations at once.
func (p *partialList) concerns(destinations []int) bool {
	part := p.part()
	for _, d := range destinations {
		if part.Contains(p.layout.PartitionOf(d)) {
			return true
		}
	}
	return false
}

// owned is how many destinations it owns.
func (p *partialList) owned() int {
	part := p.follower.Status().Part
	return part.Destinations - part.Fetched - part.Retained
}

// awaitMembers waits until a number of members are known, and the part is the one that they leave to this node and has been received.
func (p *partialList) awaitMembers(ctx context.Context, members int) error {
	for {
		if s := p.follower.Status(); s.Members == members && s.Complete {
			if p.hasPart() {
				return nil
			}
		}
		if err := pause(ctx, memberPause); err != nil {
			s := p.follower.Status()
			return fmt.Errorf("%d members are known, %d are awaited, all of the part received: %t: %w", s.Members, members, s.Complete, err)
		}
	}
}

// hasPart tells whether the part is the one that the members known leave to this node.
func (p *partialList) hasPart() bool {
	saved := p.follower.Save()
	return saved.Owned == p.layout.OwnedPartitions(p.node.Name, saved.Members).String()
}

// leave ends the lease.
func (p *partialList) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	return p.client.Leave(ctx)
}
