package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/capacity"
	"scaleroute/internal/control/client"
	"scaleroute/internal/fleet"
	"scaleroute/internal/ownership"
)

const (
	controlState    = "partial-list-control-server-state"
	controlStart    = "partial-list-control-server-start-work"
	partTransfer    = "partial-list-forwarder-start-transfer"
	lookupTransfer  = "partial-list-forwarder-lookup-transfer"
	lookupDelay     = "partial-list-forwarder-lookup-delay"
	controlMembers  = 6_800 // of which one asks for its part
	lookups         = 100
	controlReady    = 3 * time.Minute
	controlNote     = "A real control server alone with a stand-in for discovery; one endpoint each."
	memberOfControl = "forwarder-0000"
)

var controlMeasurement = measurement{
	about: "what the whole list costs a real control server, and a part or a look-up a forwarder that asks it",
	sizes: []int{200_000, 600_000, 2_200_000},
	series: map[string]capacity.Series{
		controlState: {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.State, Variable: capacity.Destinations, Note: controlNote},
		controlStart: {Mechanism: capacity.PartialList, Role: capacity.ControlServer, Resource: capacity.Work, Variable: capacity.Destinations, Event: capacity.Start, Note: controlNote + " Until the list is read and written to its folder."},
		partTransfer: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.Destinations, Event: capacity.Start, Held: membersHeld,
			Note: "Scope and part of one of 6,800 members, both ways, headers included."},
		lookupTransfer: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.Destinations, Event: capacity.Lookup, Statistic: "mean", Note: "One destination a look-up, 100 of them, both ways, headers included."},
		lookupDelay:    {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.Destinations, Event: capacity.Lookup, Statistic: "median", Note: "Wall time at a control server with nothing else to do."},
	},
	run: measureControl,
}

// measureControl starts a control server on a list of so many destinations, and asks it as a forwarder would.
func measureControl(ctx context.Context, l *Lab, destinations int, seed uint64, into result) error {
	layout, _ := l.layout()
	source, err := newListAgentOf(planEndpoints(destinations))
	if err != nil {
		return err
	}
	defer source.close()
	server, err := startControl(ctx, l, layout, source.address())
	if err != nil {
		return err
	}
	defer server.process.Kill()
	x := float64(destinations)
	into.add(controlState, x, float64(server.process.Measure()*bytesOfKB), seed)
	into.add(controlStart, x, server.process.CPU().Seconds(), seed)
	c := client.New(client.Config{Servers: []string{server.address}, Layout: layout, Name: memberOfControl, Zone: "a", Seed: seed})
	defer c.Close()
	if err := measurePart(ctx, c, layout, x, seed, into); err != nil {
		return err
	}
	return measureLookups(ctx, c, destinations, seed, into)
}

// planEndpoints are the entries of so many destinations.
func planEndpoints(destinations int) []agent.Endpoint {
	list := make([]agent.Endpoint, destinations)
	for d := range list {
		list[d] = agent.Endpoint{Name: fmt.Sprintf("endpoint-%07d", d), Address: fmt.Sprintf("10.%d.%d.%d:8080", d>>16, d>>8&255, d&255), Zone: "a", Type: "std", Group: d, Status: agent.Serving, Weight: 1}
	}
	return list
}

// measurePart asks for the part of one member.
func measurePart(ctx context.Context, c *client.Client, layout ownership.Layout, x float64, seed uint64, into result) error {
	names := make([]string, controlMembers)
	for i := range names {
		names[i] = fmt.Sprintf("forwarder-%04d", i)
	}
	if _, err := c.Snapshot(ctx, layout.Members(names).OwnedPartitions(memberOfControl), 0); err != nil {
		return fmt.Errorf("asking for a part: %w", err)
	}
	bytes := int64(0)
	for _, used := range c.Traffic() {
		bytes += used.Sent + used.Received
	}
	into.add(partTransfer, x, float64(bytes), seed)
	return nil
}

// measureLookups looks destinations up one by one. On a loaded machine some take longer than a forwarder waits: they count in the median of the times, and not in the mean of the bytes.
func measureLookups(ctx context.Context, c *client.Client, destinations int, seed uint64, into result) error {
	bytes, answered, times := int64(0), 0, make([]time.Duration, 0, lookups)
	var late error
	for i := range lookups {
		began := time.Now()
		_, spent, err := c.Lookup(ctx, []int{i * 7919 % destinations}, 0)
		times = append(times, time.Since(began))
		if err != nil {
			late = err
			continue
		}
		bytes, answered = bytes+spent, answered+1
	}
	if answered < lookups/2 {
		return fmt.Errorf("%d of %d look-ups were answered: %w", answered, lookups, late)
	}
	slices.Sort(times)
	into.add(lookupTransfer, float64(destinations), float64(bytes)/float64(answered), seed)
	into.add(lookupDelay, float64(destinations), times[lookups/2].Seconds(), seed)
	return nil
}

// controlServer is a real one that runs.
type controlServer struct {
	process *fleet.Process
	address string
}

// startControl starts one, and returns once it has the whole list and nothing left to do.
func startControl(ctx context.Context, l *Lab, layout ownership.Layout, upstream string, arguments ...string) (*controlServer, error) {
	ctx, cancel := context.WithTimeout(ctx, controlReady)
	defer cancel()
	dir, err := os.MkdirTemp(l.Folder, "control-")
	if err != nil {
		return nil, err
	}
	ready, taken := make(chan string, 1), make(chan struct{}, 1)
	hear := func(line string) {
		if _, rest, found := strings.Cut(line, `msg="control server is ready"`); found {
			_, at, _ := strings.Cut(rest, "address=")
			at, _, _ = strings.Cut(at, " ")
			ready <- at
		}
		if strings.Contains(line, `msg="the whole list is taken over"`) {
			taken <- struct{}{}
		}
	}
	command := []string{filepath.Join(filepath.Dir(l.Program), "scaleroute-control"), "--listen", "127.0.0.1:0", "--upstream", upstream, "--state", dir, "--name", "c1", "--partitions", fmt.Sprint(layout.Partitions)}
	s := &controlServer{}
	command = append(command, arguments...)
	if s.process, err = fleet.Launch(command, os.Environ(), nil, hear); err != nil {
		return nil, err
	}
	for range 2 {
		select {
		case s.address = <-ready:
		case <-taken:
		case <-s.process.Ended():
			return nil, fmt.Errorf("the control server ended; its log ends:\n%s", s.process.Tail())
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), s.process.Kill())
		}
	}
	return s, awaitIdle(ctx, s.process)
}
