package measure

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/capacity"
	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

const (
	partEvenness = "partial-list-evenness"
	partMoved    = "partial-list-moved"
	partWork     = "partial-list-owned-work"
	partScope    = "partial-list-scope-transfer"
	catalogState = "partial-list-catalog-state"
	catalogWork  = "partial-list-catalog-load-work"
	planReplicas = 3
	planListed   = 2_200_000
	smallListed  = 20_000
)

var planLayout = ownership.Layout{Partitions: 1 << 21, Replicas: planReplicas}

// layout is how destinations are split, and how many there are.
func (l *Lab) layout() (layout ownership.Layout, destinations int) {
	if l.Small {
		return ownership.Layout{Partitions: 1 << 12, Replicas: planReplicas}, smallListed
	}
	return planLayout, planListed
}

const ownershipNote = "Package ownership alone, 2^21 partitions, three owners each."

var ownershipMeasurement = measurement{
	about: "how even parts are, what one member that leaves moves, and what its part costs a member to work out",
	sizes: []int{300, 1_000, 3_000, 6_800},
	series: map[string]capacity.Series{
		partEvenness: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Evenness, Variable: capacity.Forwarders, Process: "model", Held: held(planListed), Note: ownershipNote + " In destinations."},
		partMoved: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Moved, Variable: capacity.Forwarders, Event: capacity.Machine, Process: "model", Held: held(planListed),
			Note: ownershipNote + " In destinations, of the partitions that the leaver owned; that no others move is a test of that package."},
		partWork:  {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Work, Variable: capacity.Forwarders, Event: capacity.Machine, Process: "model", Note: ownershipNote + " As one member leaves; one that joins costs less."},
		partScope: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.Forwarders, Event: capacity.Machine, Process: "model", Note: ownershipNote + " The text of one scope, which a member whose part changes registers; without headers."},
	},
	run: measureOwnership,
}

func measureOwnership(_ context.Context, l *Lab, forwarders int, seed uint64, into result) error {
	names := make([]string, forwarders)
	for i := range names {
		names[i] = fmt.Sprintf("forwarder-%d-%04d", seed, i)
	}
	layout, listed := l.layout()
	inPartition := make([]int, layout.Partitions)
	for d := range listed {
		inPartition[layout.PartitionOf(d)]++
	}
	leaver := names[0]
	before, after := layout.Members(names), layout.Members(names[1:])
	parts, moved := map[string]int{}, 0
	for p, destinations := range inPartition {
		owners := before.Owners(ownership.Partition(p))
		for _, owner := range owners {
			parts[owner] += destinations
		}
		if slices.Contains(owners, leaver) {
			for _, owner := range after.Owners(ownership.Partition(p)) {
				if !slices.Contains(owners, owner) {
					moved += destinations
				}
			}
		}
	}
	largest := 0
	for _, destinations := range parts {
		largest = max(largest, destinations)
	}
	x := float64(forwarders)
	into.add(partEvenness, x, float64(largest)*x/float64(listed*layout.Replicas), seed)
	into.add(partMoved, x, float64(moved)/float64(parts[leaver]), seed)
	into.add(partScope, x, float64(len(before.OwnedPartitions(leaver).String())), seed)
	tracker := ownership.NewTracker(layout, names[1])
	tracker.Update(names)
	cpu := ownCPU()
	tracker.Update(names[1:])
	into.add(partWork, x, (ownCPU() - cpu).Seconds(), seed)
	return nil
}

// ownCPU is the processor time of this process so far.
func ownCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0 // of oneself it does not fail
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var catalogMeasurement = measurement{
	about: "the memory of the whole list in a control server's compact form, and the processor time to fill it",
	sizes: []int{200_000, 600_000, 2_200_000},
	series: map[string]capacity.Series{
		catalogState: {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.State, Variable: capacity.Destinations, Process: "model", Note: "The heap of package catalog alone; one endpoint each."},
		catalogWork:  {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Work, Variable: capacity.Destinations, Event: capacity.Start, Process: "model", Note: "Package catalog alone, without reading the list."},
	},
	run: measureCatalog,
}

func measureCatalog(_ context.Context, _ *Lab, destinations int, seed uint64, into result) (err error) {
	cpu := ownCPU()
	heap := heapOf(func() any {
		cpu = ownCPU()
		list := catalog.New(planLayout, catalog.DefaultLimits)
		err = fillCatalog(list, destinations)
		cpu = ownCPU() - cpu
		return list
	})
	into.add(catalogState, float64(destinations), heap, seed)
	into.add(catalogWork, float64(destinations), cpu.Seconds(), seed)
	return err
}

func fillCatalog(list *catalog.Catalog, destinations int) error {
	if err := list.Begin(1, true); err != nil {
		return err
	}
	for d := range destinations {
		address := fmt.Sprintf("10.%d.%d.%d:8080", d>>16, d>>8&255, d&255)
		if err := list.Put(agent.Endpoint{Name: fmt.Sprintf("endpoint-%07d", d), Address: address, Zone: "a", Type: "std", Group: d, Status: agent.Serving, Weight: 1}); err != nil {
			return err
		}
	}
	_, err := list.Commit()
	return err
}
