package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"scaleroute/internal/capacity"
	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
	"scaleroute/internal/standin"
)

const (
	partState      = "partial-list-forwarder-state"
	partStart      = "partial-list-forwarder-start-work"
	partReady      = "partial-list-forwarder-start-delay"
	partMessages   = "partial-list-forwarder-messages"
	partProcessor  = "partial-list-forwarder-processor"
	partWindow     = 40 * time.Second
	partForwarder  = "n1" // as the stand-in's configuration names it
	leaseWorkers   = 16
	leaseGathering = 20 * time.Second // members are not told before
	leaseLength    = "15m"            // longer than a run
	smallMembers   = 50
	partNote       = "A real forwarder at a real control server, one of 6,800 members of which the others hold a lease and nothing else; admin API on; no messages, no changes."
)

var membersHeld = map[capacity.Variable]float64{capacity.Members: controlMembers}

var partMeasurement = measurement{
	about: "what a real forwarder with a part of the list costs, by all destinations, in a fleet of the plan's size",
	sizes: []int{200_000, 600_000, 2_200_000},
	series: map[string]capacity.Series{
		partState:     {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.Destinations, Held: membersHeld, Note: partNote},
		partStart:     {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Work, Variable: capacity.Destinations, Event: capacity.Start, Held: membersHeld, Note: partNote},
		partReady:     {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.Destinations, Event: capacity.Start, Held: membersHeld, Hop: "start of the process to its part in force", Note: partNote + " Wall time."},
		partMessages:  {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Messages, Variable: capacity.Destinations, Held: membersHeld, Note: partNote + " Both ways, 40 s."},
		partProcessor: {Mechanism: capacity.PartialList, Role: capacity.Forwarder, Resource: capacity.Processor, Variable: capacity.Destinations, Held: membersHeld, Note: partNote + " 40 s."},
	},
	run: measurePartOf,
}

// measurePartOf starts a forwarder in a fleet that is there by its leases alone.
func measurePartOf(ctx context.Context, l *Lab, destinations int, seed uint64, into result) error {
	layout, _ := l.layout()
	source, err := newListAgentOf(planEndpoints(destinations))
	if err != nil {
		return err
	}
	defer source.close()
	server, err := startControl(ctx, l, layout, source.address(), "--settle", l.gathering().String(), "--lease", leaseLength)
	if err != nil {
		return err
	}
	defer server.process.Kill()
	names := make([]string, l.members()-1)
	for i := range names {
		names[i] = fmt.Sprintf("forwarder-%d-%04d", seed, i)
	}
	if err := takeLeases(ctx, server.address, names); err != nil {
		return err
	}
	if err := awaitTold(ctx, server.address, names[0]); err != nil {
		return err
	}
	began := time.Now()
	f, err := launchWithPart(l, layout, server.address, seed)
	if err != nil {
		return err
	}
	defer f.close()
	expected := partSize(layout, destinations, append(names, partForwarder))
	if err := f.awaitPart(ctx, expected); err != nil {
		return err
	}
	x := float64(destinations)
	into.add(partReady, x, time.Since(began).Seconds(), seed)
	into.add(partStart, x, f.process.CPU().Seconds(), seed)
	return f.measureCalm(ctx, l, x, seed, into)
}

// members is how many the fleet has.
func (l *Lab) members() int {
	if l.Small {
		return smallMembers
	}
	return controlMembers
}

// gathering is how long the control server takes leases before it tells of them.
func (l *Lab) gathering() time.Duration {
	if l.Small {
		return leaseGathering / 10
	}
	return leaseGathering
}

// measureCalm counts what is used while nothing happens.
func (f *forwarder) measureCalm(ctx context.Context, l *Lab, x float64, seed uint64, into result) error {
	if err := pause(ctx, l.window(idleWindow)); err != nil {
		return err
	}
	bytes, cpu, began := f.list.Passed(), f.process.CPU(), time.Now()
	if err := pause(ctx, l.window(partWindow)); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	into.add(partMessages, x, float64(f.list.Passed()-bytes)/seconds, seed)
	into.add(partProcessor, x, (f.process.CPU()-cpu).Seconds()/seconds, seed)
	into.add(partState, x, f.peakBytes(), seed)
	return nil
}

// partSize is how many destinations the forwarder owns.
func partSize(layout ownership.Layout, destinations int, members []string) (n int) {
	owned := layout.Members(members).OwnedPartitions(partForwarder)
	for d := range destinations {
		if owned.Contains(layout.PartitionOf(d)) {
			n++
		}
	}
	return n
}

// awaitPart waits until the forwarder knows so many endpoints.
func (f *forwarder) awaitPart(ctx context.Context, expected int) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		text, err := door.NewClient(f.process.Door()).Call(ctx, http.MethodGet, "/stats")
		if err != nil {
			return err
		}
		var figures struct {
			Known int `json:"registry_entries"`
		}
		if err := json.Unmarshal([]byte(text), &figures); err != nil {
			return err
		}
		if figures.Known == expected {
			return nil
		}
		if err := pause(ctx, settleLook); err != nil {
			return fmt.Errorf("it knows %d endpoints, and owns %d: %w", figures.Known, expected, err)
		}
	}
}

// takeLeases makes members of names, while the server still gathers them: it tells nobody of the others then.
func takeLeases(ctx context.Context, server string, names []string) error {
	errs := make(chan error, leaseWorkers)
	var all sync.WaitGroup
	for worker := range leaseWorkers {
		all.Go(func() {
			for i := worker; i < len(names); i += leaseWorkers {
				if _, err := callMembers(ctx, server, names[i]); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	all.Wait()
	close(errs)
	return <-errs
}

// awaitTold waits until the server tells of its members.
func awaitTold(ctx context.Context, server, name string) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		status, err := callMembers(ctx, server, name)
		if err != nil || status == http.StatusOK {
			return err
		}
		if err := pause(ctx, settleLook); err != nil {
			return fmt.Errorf("the members are not told: %w", err)
		}
	}
}

// callMembers renews a lease.
func callMembers(ctx context.Context, server, name string) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/v1/members?name="+name+"&zone=a", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
		return 0, fmt.Errorf("renewing a lease: status %d", response.StatusCode)
	}
	return response.StatusCode, err
}

// launchWithPart starts a forwarder whose endpoints come from a control server, behind a relay that counts bytes.
func launchWithPart(l *Lab, layout ownership.Layout, server string, seed uint64) (f *forwarder, err error) {
	f = &forwarder{}
	defer func() {
		if err != nil {
			f.close()
			f = nil
		}
	}()
	if f.dir, err = os.MkdirTemp(l.Folder, "forwarder-"); err != nil {
		return f, err
	}
	if f.list, err = fleet.NewEdge("127.0.0.1:0", server, seed); err != nil {
		return f, err
	}
	set := operator.DefaultControl()
	set.Servers, set.Partitions, set.Replicas = []string{f.list.Address()}, layout.Partitions, layout.Replicas
	text, err := json.Marshal(map[string]any{"format": operator.Format, "journal": map[string]string{"durability": "process"}, "control": set})
	if err != nil {
		return f, err
	}
	operators := filepath.Join(f.dir, "operators.json")
	if err = os.WriteFile(operators, text, 0o600); err != nil {
		return f, err
	}
	if f.world, err = standin.New(standin.Shape{Destinations: 1, Endpoints: 1}); err != nil {
		return f, err
	}
	return f, f.start(l, f.world.Discovery.Address(), "127.0.0.1:0", seed, "-operators", operators)
}
