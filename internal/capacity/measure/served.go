package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/capacity"
	"scaleroute/internal/ownership"
)

const (
	servedState         = "partial-list-served-control-state"
	servedMessages      = "partial-list-served-control-messages"
	servedProcessor     = "partial-list-served-control-processor"
	servedChangeDelay   = "partial-list-served-change-delay"
	servedEveryDelay    = "partial-list-served-every-entry-delay"
	servedEveryWork     = "partial-list-served-every-entry-work"
	servedEveryTransfer = "partial-list-served-every-entry-transfer"
	servedCutDelay      = "partial-list-served-region-cut-delay"
	servedCutTransfer   = "partial-list-served-region-cut-transfer"
	servedZoneDelay     = "partial-list-served-zone-delay"
	servedZoneWork      = "partial-list-served-zone-work"

	servedWindow    = 20 * time.Second
	servedAftermath = 3 * time.Second // of a change of every entry: snapshot and collection
	servedChanges   = 20              // of one entry each
	missedChanges   = 18              // while a region is cut off for 180 s, by the plan
	zoneForwarders  = 523
	planForwarders  = 6_800
	servedNote      = "One real control server with all 2.2 million entries, leases of 6,800 members, and so many watches of parts of 925 random partitions and of the members, held by this tool on the same machine."
)

// hopThroughServer is of a change that is in force in all watchers of one server.
const hopThroughServer = "discovery to the last watcher of a control server"

var servedMeasurement = measurement{
	about: "what the forwarders that one control server serves cost it, calm, at changes, after a cut and as a zone goes and comes back",
	sizes: []int{250, 750, 2_267},
	series: map[string]capacity.Series{
		servedState:       {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.State, Variable: capacity.ServedForwarders, Held: servedHeld, Note: servedNote + " Peak up to the end of the calm."},
		servedMessages:    {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Messages, Variable: capacity.ServedForwarders, Held: servedHeld, Note: servedNote + " Both ways, 20 s."},
		servedProcessor:   {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Processor, Variable: capacity.ServedForwarders, Held: servedHeld, Note: servedNote + " 20 s."},
		servedChangeDelay: {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Delay, Variable: capacity.ServedForwarders, Event: capacity.OneChange, Hop: hopThroughServer, Statistic: "worst", Held: servedHeld, Note: servedNote + " Of 20 changes of an entry that one of them owns. Wall time."},
		servedEveryDelay: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.ServedForwarders, Event: capacity.EveryEntry, Hop: hopThroughServer, Statistic: "worst", Held: servedHeld,
			Note: servedNote + " Wall time, with what the watchers take to read their answers."},
		servedEveryWork:     {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Work, Variable: capacity.ServedForwarders, Event: capacity.EveryEntry, Held: servedHeld, Note: servedNote + " Without what the calm takes."},
		servedEveryTransfer: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.ServedForwarders, Event: capacity.EveryEntry, Statistic: "mean", Held: servedHeld, Note: servedNote},
		servedCutDelay: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.ServedForwarders, Event: capacity.RegionCut, Statistic: "worst", Held: servedHeld,
			Note: servedNote + " All watchers are cut off, 18 entries change, and all come back at once: until the last has what it missed. Wall time."},
		servedCutTransfer: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.ServedForwarders, Event: capacity.RegionCut, Statistic: "mean", Held: servedHeld, Note: servedNote + " For each watcher, until the last has what it missed."},
		servedZoneDelay: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.ServedForwarders, Event: capacity.Zone, Statistic: "worst", Held: servedHeld,
			Note: servedNote + " 523 other members leave at once; then they take leases and their parts at once: until all watchers know them and all of them have their parts. Wall time of the return."},
		servedZoneWork: {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Work, Variable: capacity.ServedForwarders, Event: capacity.Zone, Held: servedHeld, Note: servedNote + " 523 other members leave at once and come back at once."},
	},
	run: measureServed,
}

var servedHeld = map[capacity.Variable]float64{capacity.Destinations: planListed, capacity.Members: planForwarders}

// servedRun is one control server with its watchers.
type servedRun struct {
	lab      *Lab
	layout   ownership.Layout
	entries  []agent.Endpoint
	source   *listAgent
	server   *controlServer
	watchers *watchers
	others   []string // members that do not watch
	calmCPU  float64  // cores, which is taken off what an event takes
	x        float64
	seed     uint64
	into     result
}

// measureServed has so many forwarders watch one control server.
func measureServed(ctx context.Context, l *Lab, served int, seed uint64, into result) error {
	layout, destinations := l.layout()
	r := &servedRun{lab: l, layout: layout, entries: planEndpoints(destinations), x: float64(served), seed: seed, into: into}
	var err error
	if r.source, err = newListAgentOf(r.entries); err != nil {
		return err
	}
	defer r.source.close()
	if r.server, err = startControl(ctx, l, layout, r.source.address(), "--settle", l.gathering().String(), "--lease", leaseLength); err != nil {
		return err
	}
	defer r.server.process.Kill()
	names := make([]string, l.members())
	for i := range names {
		names[i] = fmt.Sprintf("forwarder-%d-%04d", seed, i)
	}
	if err := takeLeases(ctx, r.server.address, names); err != nil {
		return err
	}
	if err := awaitTold(ctx, r.server.address, names[0]); err != nil {
		return err
	}
	r.watchers, r.others = newWatchers(r.server.address, layout, names[:served], r.partitions(), seed), names[served:]
	if err := r.watchers.fetch(ctx); err != nil {
		return err
	}
	r.watchers.follow(ctx)
	defer func() { r.watchers.halt() }()
	for _, part := range []func(context.Context) error{r.calm, r.oneChange, r.everyEntry, r.regionCut, r.zone} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// partitions is how many a member has.
func (r *servedRun) partitions() int {
	return r.layout.Partitions * r.layout.Replicas / r.lab.members()
}

func (r *servedRun) add(series string, cost float64) { r.into.add(series, r.x, cost, r.seed) }

// calm measures while nothing happens, once all have heard of the members.
func (r *servedRun) calm(ctx context.Context) error {
	hasMembers := func(one *watcher) bool { return one.members.Load() > 0 }
	if _, err := r.watchers.await(ctx, "hearing of the members", time.Now(), hasMembers); err != nil {
		return err
	}
	if err := pause(ctx, r.lab.window(membersHold)); err != nil {
		return err
	}
	bytes, cpu, began := r.watchers.bytes(), r.server.process.CPU(), time.Now()
	if err := pause(ctx, r.lab.window(servedWindow)); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	r.add(servedMessages, float64(r.watchers.bytes()-bytes)/seconds)
	r.calmCPU = (r.server.process.CPU() - cpu).Seconds() / seconds
	r.add(servedProcessor, r.calmCPU)
	r.add(servedState, float64(r.server.process.Measure()*bytesOfKB))
	return nil
}

// change has some entries change, each with another weight, and returns the index and when that was said.
func (r *servedRun) change(ctx context.Context, entries []agent.Endpoint) (index int64, said time.Time, err error) {
	for i := range entries {
		entries[i].Weight++
	}
	if said, err = r.source.tell(entries); err != nil {
		return 0, said, err
	}
	_, err = r.source.await(ctx) // the server asks for what comes next
	return r.source.current(), said, err
}

// ownedBy finds an entry in a watcher's part.
func (r *servedRun) ownedBy(one *watcher) (int, error) {
	for i := range r.entries {
		if one.part.Contains(r.layout.PartitionOf(r.entries[i].Group)) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("a part of %d partitions has no entry", one.part.Len())
}

// oneChange measures until the watcher whose part has the entry has received it.
func (r *servedRun) oneChange(ctx context.Context) error {
	worst := time.Duration(0)
	for i := range servedChanges {
		one := r.watchers.list[i*len(r.watchers.list)/servedChanges]
		at, err := r.ownedBy(one)
		if err != nil {
			return err
		}
		index, said, err := r.change(ctx, r.entries[at:at+1])
		if err != nil {
			return err
		}
		owner := &watchers{list: []*watcher{one}}
		took, err := owner.await(ctx, "one change", said, hasIndex(index))
		if err != nil {
			return err
		}
		worst = max(worst, took)
	}
	r.add(servedChangeDelay, worst.Seconds())
	return nil
}

func hasIndex(index int64) func(*watcher) bool {
	return func(one *watcher) bool { return one.index.Load() >= index }
}

func (r *servedRun) everyEntry(ctx context.Context) error {
	bytes, cpu := r.watchers.bytes(), r.server.process.CPU()
	index, said, err := r.change(ctx, r.entries)
	if err != nil {
		return err
	}
	took, err := r.watchers.await(ctx, "a change of every entry", said, hasIndex(index))
	if err != nil {
		return err
	}
	r.add(servedEveryDelay, took.Seconds())
	r.add(servedEveryTransfer, float64(r.watchers.bytes()-bytes)/r.x)
	if err := pause(ctx, r.lab.window(servedAftermath)); err != nil {
		return err
	}
	r.add(servedEveryWork, r.workSince(said, cpu))
	return nil
}

// workSince is the processor time that was used since a moment, beyond what the calm takes in that time.
func (r *servedRun) workSince(moment time.Time, cpu time.Duration) float64 {
	return max(0, (r.server.process.CPU()-cpu).Seconds()-r.calmCPU*time.Since(moment).Seconds())
}

// regionCut cuts all watchers off, has some entries change, and has all come back at once.
func (r *servedRun) regionCut(ctx context.Context) error {
	r.watchers.halt()
	index := int64(0)
	for i := range missedChanges {
		at := i * len(r.entries) / missedChanges
		var err error
		if index, _, err = r.change(ctx, r.entries[at:at+1]); err != nil {
			return err
		}
	}
	bytes, began := r.watchers.bytes(), time.Now()
	r.watchers.follow(ctx)
	took, err := r.watchers.await(ctx, "what was missed in a cut", began, hasIndex(index))
	if err != nil {
		return err
	}
	r.add(servedCutDelay, took.Seconds())
	r.add(servedCutTransfer, float64(r.watchers.bytes()-bytes)/r.x)
	return nil
}

// zone has the members of a zone leave at once and come back at once.
func (r *servedRun) zone(ctx context.Context) error {
	gone := r.others[:min(len(r.others), zoneForwarders*r.lab.members()/planForwarders)]
	cpu, left := r.server.process.CPU(), time.Now()
	zone := newWatchers(r.server.address, r.layout, gone, r.partitions(), r.seed+1)
	if err := zone.leave(ctx); err != nil {
		return err
	}
	if _, err := r.awaitMembers(ctx, time.Now(), r.lab.members()-len(gone)); err != nil {
		return err
	}
	began := time.Now()
	var fetchErr error
	var fetching sync.WaitGroup
	fetching.Go(func() { fetchErr = zone.fetch(ctx) })
	err := takeLeases(ctx, r.server.address, gone)
	fetching.Wait()
	for _, one := range zone.list {
		one.client.Close()
	}
	if err != nil || fetchErr != nil {
		return fmt.Errorf("the return of a zone: %v, %w", err, fetchErr)
	}
	took, err := r.awaitMembers(ctx, began, r.lab.members())
	if err != nil {
		return err
	}
	r.add(servedZoneDelay, took.Seconds())
	r.add(servedZoneWork, r.workSince(left, cpu))
	return nil
}

// awaitMembers waits until the server tells of so many members, and all watchers have heard that.
func (r *servedRun) awaitMembers(ctx context.Context, since time.Time, members int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		told, err := r.watchers.list[0].client.Members(ctx, "", 0, 0) // all of them
		if err != nil {
			return 0, err
		}
		if len(told.Members) == members {
			return r.watchers.await(ctx, "a change of the members", since, func(one *watcher) bool { return one.members.Load() >= told.Index })
		}
		if err := pause(ctx, settleLook); err != nil {
			return 0, fmt.Errorf("%d members are told, want %d: %w", len(told.Members), members, err)
		}
	}
}

// leave ends the leases of all.
func (w *watchers) leave(ctx context.Context) error {
	for _, one := range w.list {
		if err := one.client.Leave(ctx); err != nil {
			return fmt.Errorf("ending a lease: %w", err)
		}
	}
	return nil
}
