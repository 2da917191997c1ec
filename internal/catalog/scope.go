package catalog

import (
	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// Scope selects the destinations that a client wants to know.
type Scope struct {
	Whole        bool          // all destinations
	Partitions   ownership.Set // the destinations in these partitions
	Destinations ownership.Set // these destinations in addition, in whatever partition
}

// Contains reports whether a destination is in the scope.
func (s *Scope) Contains(layout ownership.Layout, destination uint32) bool {
	return s.Whole || s.Destinations.Len() > 0 && s.Destinations.Contains(destination) ||
		s.Partitions.Len() > 0 && s.Partitions.Contains(layout.PartitionOf(int(destination)))
}

// DestinationsOutsidePartitions returns the scope's destinations that are in none of its partitions.
func (s *Scope) DestinationsOutsidePartitions(layout ownership.Layout) ownership.Set {
	var outside []uint32
	for destination := range s.Destinations.All() {
		if !s.Partitions.Contains(layout.PartitionOf(int(destination))) {
			outside = append(outside, destination)
		}
	}
	return ownership.NewSet(outside...)
}

// EndpointVisitor is called for each endpoint. It must not call the catalog.
type EndpointVisitor func(agent.Endpoint)

// VisitChanges visits the endpoints of a scope that have changed since an index, each once, in its present state. An endpoint that is not in the scope any more is
// visited with the status agent.Deleted.
func (c *Catalog) VisitChanges(scope *Scope, index int64, visit EndpointVisitor) error {
	begin, end, err := c.changeRange(index)
	if err != nil {
		return err
	}
	var visited map[string]bool
	for position := begin; position < end; position++ {
		changed := c.log.entryAt(position)
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

// HasChanged reports whether an endpoint of a scope has changed since an index.
func (c *Catalog) HasChanged(scope *Scope, index int64) (bool, error) {
	begin, end, err := c.changeRange(index)
	for position := begin; position < end; position++ {
		if scope.Contains(c.layout, c.log.entryAt(position).group) {
			return true, nil
		}
	}
	return false, err
}

// changeRange returns the range of positions in the log that the changes after an index have.
func (c *Catalog) changeRange(index int64) (begin, end uint64, err error) {
	switch {
	case c.index < 0:
		return 0, 0, ErrNoList
	case index == c.index:
		return 0, 0, nil
	case index > c.index && index > c.highestIndex:
		return 0, 0, ErrCatalogBehind
	case index > c.index: // discovery has restarted its indexes since then
		return 0, 0, ErrSnapshotNeeded
	}
	begin, end, known := c.log.rangeSince(index)
	if !known {
		return 0, 0, ErrSnapshotNeeded
	}
	return begin, end, nil
}

func (c *Catalog) currentState(scope *Scope, changed changeEntry) agent.Endpoint {
	if slot, found := c.entries.find(changed.name); found && scope.Contains(c.layout, c.entries.at(slot).group) {
		return c.entries.endpoint(slot)
	}
	return agent.Endpoint{Name: changed.name, Group: int(changed.group), Status: agent.Deleted}
}

// VisitScope visits all endpoints of a scope that names partitions or destinations. VisitSlots visits the whole list.
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

func (c *Catalog) visitPartition(p ownership.Partition, matches func(group uint32) bool, visit EndpointVisitor) {
	for at := c.entries.firstInPartition[p]; at != noSlot; at = c.entries.at(at).next {
		if matches(c.entries.at(at).group) {
			visit(c.entries.endpoint(at))
		}
	}
}

// VisitDestinations visits all endpoints of a set of destinations.
func (c *Catalog) VisitDestinations(set ownership.Set, visit EndpointVisitor) error {
	return c.VisitScope(&Scope{Destinations: set}, visit)
}

// VisitSlots visits the endpoints in count slots from begin on, and returns the slot at which the next call begins; more is false after the last slot. The catalog may
// change between two calls: an endpoint that exists during all of them is visited once, and all other differences are changes after the index that the list
// had at the first call, which VisitChanges reports.
func (c *Catalog) VisitSlots(begin, count int, visit EndpointVisitor) (next int, more bool) {
	end := min(begin+count, int(c.entries.slots()))
	for at := begin; at < end; at++ {
		if c.entries.at(slot(at)).used() {
			visit(c.entries.endpoint(slot(at)))
		}
	}
	return end, end < int(c.entries.slots())
}
