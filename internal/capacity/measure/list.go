package measure

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"scaleroute/internal/capacity"
	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

// The names of series.
const (
	listState       = "whole-list-forwarder-state"
	listStart       = "whole-list-forwarder-start-work"
	idleProcessor   = "whole-list-forwarder-idle-processor"
	listTransfer    = "whole-list-agent-answer"
	changeMessages  = "whole-list-forwarder-change-messages"
	changeProcessor = "whole-list-forwarder-change-processor"
	changeDelay     = "whole-list-forwarder-change-delay"
	everyDelay      = "whole-list-forwarder-every-entry-delay"
	everyWork       = "whole-list-forwarder-every-entry-work"
	everyTransfer   = "whole-list-forwarder-every-entry-transfer"
	everyState      = "whole-list-forwarder-every-entry-state"
)

const startNote = "One endpoint each; the configuration names them all as last known, and the agent tells them all once more. Until the processor is idle."

var listMeasurement = measurement{
	about: "what a forwarder's start costs by the destinations that it knows: memory, processor, bytes of the list",
	sizes: []int{2_000, 6_000, 20_000, 60_000, 200_000},
	series: map[string]capacity.Series{
		listState:    {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.Destinations, Note: startNote},
		listStart:    {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Work, Variable: capacity.Destinations, Event: capacity.Start, Note: startNote},
		listTransfer: {Mechanism: capacity.WholeList, Role: capacity.Agent, Resource: capacity.Transfer, Variable: capacity.Destinations, Event: capacity.Start, Note: "One whole list, as the stand-in agent writes it: 5 digits in a name, a loopback address."},
	},
	run: measureList,
}

func measureList(ctx context.Context, l *Lab, destinations int, seed uint64, into result) error {
	f, err := startForwarder(ctx, l, destinations, seed)
	if err != nil {
		return err
	}
	defer f.close()
	peak := f.peakBytes()
	cpu, err := f.kill()
	if err != nil {
		return err
	}
	answer, err := wholeList(ctx, f.agent)
	if err != nil {
		return err
	}
	x := float64(destinations)
	into.add(listState, x, peak, seed)
	into.add(listStart, x, cpu, seed)
	into.add(listTransfer, x, answer, seed)
	return nil
}

var idleMeasurement = measurement{
	about: "what a forwarder that has nothing to do uses of the processor by the destinations that it knows, with its admin API on",
	sizes: []int{2_000, 6_000, 20_000, 60_000},
	series: map[string]capacity.Series{
		idleProcessor: {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Processor, Variable: capacity.Destinations, Note: "No messages, no changes, NODE_OPS set: the loop reads the figures of the admin API 20 times a second; 10 s each, from 10 s after it served."},
	},
	run: measureIdle,
}

const idleWindow = 10 * time.Second

func measureIdle(ctx context.Context, l *Lab, destinations int, seed uint64, into result) error {
	f, err := launch(l, destinations, seed, "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer f.close()
	if err := pause(ctx, l.window(idleWindow)); err != nil {
		return err
	}
	cpu, began := f.process.CPU(), time.Now()
	if err := pause(ctx, l.window(idleWindow)); err != nil {
		return err
	}
	into.add(idleProcessor, float64(destinations), (f.process.CPU()-cpu).Seconds()/time.Since(began).Seconds(), seed)
	return nil
}

var changesMeasurement = measurement{
	about: "what the watch costs a forwarder by changes a second of one entry each, and how long one takes",
	sizes: []int{0, 2, 6, 20},
	series: map[string]capacity.Series{
		changeMessages:  {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Messages, Variable: capacity.ChangesPerSecond, Held: held(changeDestinations), Note: "The watch alone, both ways; 30 s each."},
		changeProcessor: {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Processor, Variable: capacity.ChangesPerSecond, Held: held(changeDestinations), Note: "No messages pass; 30 s each; the system counts in steps of 10 ms, which is 0.0003 cores."},
	},
	run: measureChanges,
}

const (
	changeDestinations = 2_000
	changeWindow       = 30 * time.Second
)

func held(destinations float64) map[capacity.Variable]float64 {
	return map[capacity.Variable]float64{capacity.Destinations: destinations}
}

// measureChanges has so many endpoints a second drain and serve again.
func measureChanges(ctx context.Context, l *Lab, rate int, seed uint64, into result) error {
	f, err := startForwarder(ctx, l, changeDestinations, seed)
	if err != nil {
		return err
	}
	defer f.close()
	random := rand.New(rand.NewPCG(seed, 0xca9a))
	window := l.window(changeWindow)
	bytes, cpu, began := f.list.Passed(), f.process.CPU(), time.Now()
	for i := 0; time.Since(began) < window; i++ {
		next := began.Add(window)
		if rate > 0 {
			at := random.IntN(changeDestinations)
			if _, err := f.agent.change(f.world.Endpoints[at:at+1], []string{standin.Draining, standin.Serving}[i%2]); err != nil {
				return err
			}
			if _, err := f.agent.await(ctx); err != nil {
				return err
			}
			next = began.Add(time.Duration(i+1) * time.Second / time.Duration(rate))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(next)):
		}
	}
	seconds := time.Since(began).Seconds()
	into.add(changeMessages, float64(rate), float64(f.list.Passed()-bytes)/seconds, seed)
	into.add(changeProcessor, float64(rate), (f.process.CPU()-cpu).Seconds()/seconds, seed)
	return nil
}

var everyEntryMeasurement = measurement{
	about: "what one change that touches every entry costs a forwarder",
	sizes: []int{6_000, 20_000, 60_000, 200_000},
	series: map[string]capacity.Series{
		everyDelay:    {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.ChangedEntries, Event: capacity.EveryEntry, Hop: hopToForce, Note: delayNote},
		everyWork:     {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Work, Variable: capacity.ChangedEntries, Event: capacity.EveryEntry, Note: "The system counts in steps of 10 ms."},
		everyTransfer: {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Transfer, Variable: capacity.ChangedEntries, Event: capacity.EveryEntry},
		everyState:    {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.ChangedEntries, Event: capacity.EveryEntry, Note: "Peak of start and change."},
		changeDelay:   {Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: capacity.Delay, Variable: capacity.Destinations, Event: capacity.OneChange, Hop: hopToForce, Note: delayNote},
	},
	run: measureEveryEntry,
}

const (
	hopToForce = "agent to in force in a forwarder"
	delayNote  = "Wall time until the forwarder, which has the change in force by then, asks the agent for the next one."
)

func measureEveryEntry(ctx context.Context, l *Lab, destinations int, seed uint64, into result) error {
	f, err := startForwarder(ctx, l, destinations, seed)
	if err != nil {
		return err
	}
	defer f.close()
	x := float64(destinations)
	one, err := f.change(ctx, f.world.Endpoints[:1])
	if err != nil {
		return err
	}
	into.add(changeDelay, x, one.Seconds(), seed)
	bytes, cpu := f.list.Passed(), f.process.CPU()
	all, err := f.change(ctx, f.world.Endpoints)
	if err != nil {
		return err
	}
	if err := f.settle(ctx); err != nil {
		return err
	}
	into.add(everyDelay, x, all.Seconds(), seed)
	into.add(everyTransfer, x, float64(f.list.Passed()-bytes), seed)
	into.add(everyState, x, f.peakBytes(), seed)
	into.add(everyWork, x, (f.process.CPU() - cpu).Seconds(), seed)
	return nil
}

// change tells of endpoints anew, and measures until the forwarder asks for what comes after that.
func (f *forwarder) change(ctx context.Context, endpoints []*standin.Endpoint) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	told, err := f.agent.change(endpoints, standin.Serving)
	if err != nil {
		return 0, err
	}
	since, err := f.agent.await(ctx)
	return since.Sub(told), err
}

// wholeList asks the agent for all that there is, and counts the bytes of its answer with its headers.
func wholeList(ctx context.Context, agent *listAgent) (bytes float64, err error) {
	edge, err := fleet.NewEdge("127.0.0.1:0", agent.address(), 1)
	if err != nil {
		return 0, err
	}
	defer edge.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+edge.Address()+"/v1/servers", nil)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return float64(edge.Passed()), nil
}
