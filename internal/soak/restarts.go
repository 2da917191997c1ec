package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"scaleroute/internal/standin"
)

// Faults of restarts: processes that end while connections come up, or while the agent is silent.

// How a process ends.
const (
	endKill      = "SIGKILL"
	endTerm      = "SIGTERM"
	endKillTwice = "SIGKILL twice"
)

const (
	clumpSize         = 24                     // messages that come at once
	clumpClients      = 8                      // that submit them
	connectingTime    = 300 * time.Millisecond // from the clump to the end of the process
	opensAfterEnd     = 300 * time.Millisecond // from the end of the process until connections come up
	uncalledEndpoints = 300                    // listed besides those that messages are for
	maxWrittenUnseen  = 1                      // messages that a process may have been about to write when it ended
	reportedTime      = time.Second            // from a report to the end of the process: it has been received by then
)

// losesWrittenBytes are the kinds of faults by which a message that was written may never arrive, so that the endpoints' records do not show that it may
// have run.
var losesWrittenBytes = []Kind{Resets, Replace, Late, Sick, Folder, Disk}

// hasKind reports whether any of the faults is of one of the kinds.
func hasKind(list []Fault, kinds ...Kind) bool {
	return slices.ContainsFunc(list, func(f Fault) bool { return slices.Contains(kinds, f.Kind) })
}

// endingOf returns the ending of a fault's process.
func (f Fault) endingOf() ending {
	if f.How == endTerm {
		return endBySIGTERM
	}
	return endByKill
}

// connecting has a clump of messages come for a destination to which no connection comes up, and ends the process meanwhile. Connections come up again
// before the next process starts.
func (r *run) connecting(ctx context.Context, f Fault) error {
	n := r.rig.Nodes[f.Node]
	destination := f.Place % r.shape.Destinations
	edges := n.Edges("targets")[:0]
	for _, e := range r.endpointsOf(destination) {
		edges = append(edges, n.Edge(e.Name))
	}
	if err := stall(edges, true); err != nil {
		return err
	}
	r.submitClump(ctx, f, destination)
	sleep(ctx, connectingTime)
	opensAfter := opensAfterEnd
	if f.endingOf() == endBySIGTERM {
		opensAfter += killAfterTerm
	}
	opened := make(chan error, 1)
	time.AfterFunc(opensAfter, func() { opened <- open(edges) })
	return errors.Join(r.restart(ctx, f.Node, f.endingOf(), ""), <-opened)
}

// submitClump has clients submit messages for a destination at once. It does not wait for their answers.
func (r *run) submitClump(ctx context.Context, f Fault, destination int) {
	jobs := make(chan standin.Job, clumpSize)
	for i := range clumpSize {
		job := standin.Job{Class: standin.Safe, Destination: destination, Left: r.shape.Left, Body: make([]byte, bodyBytes)}
		if i%2 == 0 {
			job.Class, job.Unsafe = standin.Unsafe, true
		}
		jobs <- job
	}
	close(jobs)
	go r.rig.Nodes[f.Node].Clients.Run(ctx, clumpClients, jobs) // it ends with the load
}

// outage withdraws an endpoint, and after it all that no message is for. Then the agent falls silent and the process ends, once or twice.
func (r *run) outage(ctx context.Context, f Fault) error {
	p := r.takePlace(f.Place)
	if p == nil {
		return nil
	}
	defer r.releasePlace(p)
	n := r.rig.Nodes[f.Node]
	r.rig.World.Set(standin.Deleted, p.endpoint)
	r.rig.World.Set(standin.Deleted, r.uncalled...)
	sleep(ctx, reportedTime)
	n.Discovery.Down(true)
	err := r.restart(ctx, f.Node, f.endingOf(), "")
	if f.How == endKillTwice {
		sleep(ctx, f.Lasts)
		err = errors.Join(err, r.restart(ctx, f.Node, endByKill, ""))
	}
	sleep(ctx, f.Lasts)
	n.Discovery.Down(false)
	r.rig.World.SetAll(map[*standin.Endpoint]string{p.endpoint: standin.Serving})
	return err
}

// judgeUntried checks that a restart does not give up messages that it found untried.
func (r *run) judgeUntried() {
	for _, n := range r.rig.Nodes {
		for _, u := range n.Log.FoundUntried() {
			if 2*u.GivenUp > u.Messages || 2*u.GivenUpUnsafe > u.Unsafe || u.GivenUpUnsafe > maxWrittenUnseen {
				r.addBroken("%s: of %d messages that the start at %s found untried %d were given up early with no call, and of the %d that may not be repeated %d, as %s", n.Name, u.Messages,
					fmt.Sprintf("%.2f s", u.Restart.Ready.Sub(r.rig.Began()).Seconds()), u.GivenUp, u.Unsafe, u.GivenUpUnsafe, u.Example)
			}
		}
	}
}
