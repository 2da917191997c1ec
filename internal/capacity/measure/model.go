package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"scaleroute/internal/capacity"
	"scaleroute/internal/decide"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// What packages cost by themselves, in this process: no sockets, no other state.

const (
	membersKept  = "gossip-members-kept"
	memberMemory = "gossip-judge-state"
	decideState  = "whole-list-decide-state"
)

var memberBoundMeasurement = measurement{
	about: "how many members package straggler keeps, and in how much memory",
	sizes: []int{500, 1_000, 2_000, 3_000, 4_096, 6_800, 10_000},
	series: map[string]capacity.Series{
		membersKept:  {Mechanism: capacity.Gossip, Role: capacity.Forwarder, Resource: capacity.Kept, Variable: capacity.Members, Process: "model", Note: "The package alone: members of which one news each was offered."},
		memberMemory: {Mechanism: capacity.Gossip, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.Members, Process: "model", Note: "The heap of package straggler alone."},
	},
	run: measureMemberBound,
}

func measureMemberBound(_ context.Context, _ *Lab, members int, seed uint64, into result) error {
	began := time.Unix(1_700_000_000, 0).UTC()
	var judge *straggler.Evaluator
	heap := heapOf(func() any {
		judge = straggler.New(straggler.Config{Name: "n0", Zone: "a", ReportTTL: 4 * time.Second, SettleTime: 20 * time.Second, Seed: seed}, func() time.Time { return began })
		for i := range members {
			judge.Receive(time.Second, straggler.Report{Format: straggler.Format, Name: fmt.Sprintf("n%d", i+1), Zone: "a", Seq: 1, Vector: version.Vector{Started: began}, AdminAddress: "127.0.0.1:7946", Clock: began})
		}
		return judge
	})
	kept := len(judge.Fleet(time.Second)) - 1 // itself is in it
	into.add(membersKept, float64(members), float64(kept), seed)
	if kept == members { // else it would be of fewer
		into.add(memberMemory, float64(members), heap, seed)
	}
	return nil
}

var decideMeasurement = measurement{
	about: "the memory of the decision module alone, by destinations",
	sizes: []int{2_000, 6_000, 20_000, 60_000, 200_000},
	series: map[string]capacity.Series{
		decideState: {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.Destinations, Process: "model", Note: "The heap of package decide alone; idle, one endpoint each."},
	},
	run: measureDecide,
}

func measureDecide(_ context.Context, _ *Lab, destinations int, seed uint64, into result) (err error) {
	heap := heapOf(func() any {
		settings := decide.Settings{Seed: seed, Slots: 64, MaxAttempts: 6, Forwarders: 1, Zone: "a", Weights: decide.ExactWeights, ConnIdle: 15 * time.Second, ConnectTimeout: time.Second,
			MaxRetryAfter: 3 * time.Second, DrainGrace: time.Second, StartCapacity: 0.2, SlowStart: 10 * time.Second, OverloadFactor: 2, OverloadOutage: 3 * time.Second,
			Classes: []decide.Class{{Name: "pure", OnTime: time.Minute, Deadline: time.Hour, Value: 1, LateShare: 0.4}}, Kinds: []decide.Kind{{Name: "std", MaxBatch: 1}}}
		var module *decide.Forwarder
		if module, err = decide.New(settings); err != nil {
			return nil
		}
		list := decide.TargetList{Scope: decide.Snapshot}
		for d := range destinations {
			list.Targets = append(list.Targets, decide.Target{ID: fmt.Sprintf("s-%07d", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
		module.Step(0, []decide.Event{list})
		return module
	})
	into.add(decideState, float64(destinations), heap, seed)
	return err
}

// heapOf is the memory that what a function makes takes, in bytes.
func heapOf(make func() any) float64 {
	before := heapNow()
	kept := make()
	after := heapNow()
	runtime.KeepAlive(kept)
	return after - before
}

// heapNow is what is in use. What pools hold and what has a finalizer is gone after the second collection.
func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
