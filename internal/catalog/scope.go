package catalog

import (
	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// Scope is which destinations somebody wants to know.
type Scope struct {
	Whole        bool          // all of them
	Partitions   ownership.Set // those in these partitions
	Destinations ownership.Set // and these, wherever they are
}

// Contains reports whether a destination is in the scope.
func (s *Scope) Contains(layout ownership.Layout, destination uint32) bool {
	return s.Whole || s.Destinations.Len() > 0 && s.Destinations.Contains(destination) ||
		s.Partitions.Len() > 0 && s.Partitions.Contains(layout.PartitionOf(int(destination)))
}

// DestinationsOutsidePartitions are the scope's destinations that are in none of its partitions.
func (s *Scope) DestinationsOutsidePartitions(layout ownership.Layout) ownership.Set {
	var outside []uint32
	for destination := range s.Destinations.All() {
		if !s.Partitions.Contains(layout.PartitionOf(int(destination))) {
			outside = append(outside, destination)
		}
	}
	return ownership.NewSet(outside...)
}

// EndpointVisitor is called with one endpoint after another; it must not call the catalog.
type EndpointVisitor func(agent.Endpoint)

// VisitChanges visits what has changed in a scope since an index: each endpoint that did as it is now, and as deleted where it is not in the scope any more.
func (c *Catalog) VisitChanges(scope *Scope, index int64, visit EndpointVisitor) error {
	begin, end, err := c.span(index)
	if err != nil {
		return err
	}
	var visited map[string]bool
	for place := begin; place < end; place++ {
		changed := c.log.at(place)
		if !scope.Contains(c.layout, changed.group) || visited[changed.name] {
			continue
		}
		if visited == nil {
			visited = map[string]bool{}
		}
		visited[changed.name] = true
		visit(c.currentState(scope, changed))
	}
	return nil
}

// HasChanged reports whether something in a scope has changed since an index.
func (c *Catalog) HasChanged(scope *Scope, index int64) (bool, error) {
	begin, end, err := c.span(index)
	for place := begin; place < end; place++ {
		if scope.Contains(c.layout, c.log.at(place).group) {
			return true, nil
		}
	}
	return false, err
}

// span is where in the log the changes after an index are.
func (c *Catalog) span(index int64) (begin, end uint64, err error) {
	switch {
	case c.index < 0:
		return 0, 0, ErrNoList
	case index == c.index:
		return 0, 0, nil
	case index > c.index && index > c.highest:
		return 0, 0, ErrCatalogBehind
	case index > c.index: // discovery has counted anew since
		return 0, 0, ErrSnapshotNeeded
	}
	begin, end, known := c.log.since(index)
	if !known {
		return 0, 0, ErrSnapshotNeeded
	}
	return begin, end, nil
}

func (c *Catalog) currentState(scope *Scope, changed change) agent.Endpoint {
	if slot, found := c.entries.find(changed.name); found && scope.Contains(c.layout, c.entries.at(slot).group) {
		return c.entries.endpoint(slot)
	}
	return agent.Endpoint{Name: changed.name, Group: int(changed.group), Status: agent.Deleted}
}

// VisitScope visits all endpoints of a scope that names partitions and destinations. For the whole list there is Slots.
func (c *Catalog) VisitScope(scope *Scope, visit EndpointVisitor) error {
	if c.index < 0 {
		return ErrNoList
	}
	for p := range scope.Partitions.All() {
		if p < uint32(c.layout.Partitions) {
			c.visitPartition(p, func(uint32) bool { return true }, visit)
		}
	}
	for destination := range scope.DestinationsOutsidePartitions(c.layout).All() {
		c.visitPartition(c.layout.PartitionOf(int(destination)), func(group uint32) bool { return group == destination }, visit)
	}
	return nil
}

func (c *Catalog) visitPartition(p ownership.Partition, wanted func(group uint32) bool, visit EndpointVisitor) {
	for at := c.entries.first[p]; at != noSlot; at = c.entries.at(at).next {
		if wanted(c.entries.at(at).group) {
			visit(c.entries.endpoint(at))
		}
	}
}

// VisitDestinations visits the endpoints of some destinations.
func (c *Catalog) VisitDestinations(set ownership.Set, visit EndpointVisitor) error {
	return c.VisitScope(&Scope{Destinations: set}, visit)
}

// VisitSlots visits the endpoints in the next count places from begin on, and says where to go on; more is false at the end. The catalog may change
// between two calls: an endpoint that is there all the time is visited once, and whatever else happens comes after the index that the list had
// at the first call.
func (c *Catalog) VisitSlots(begin, count int, visit EndpointVisitor) (next int, more bool) {
	end := min(begin+count, int(c.entries.slots()))
	for at := begin; at < end; at++ {
		if c.entries.at(slot(at)).used() {
			visit(c.entries.endpoint(slot(at)))
		}
	}
	return end, end < int(c.entries.slots())
}
