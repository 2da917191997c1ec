package measure

import (
	"context"
	"fmt"

	"scaleroute/internal/capacity"
	"scaleroute/internal/standin"
)

const (
	queueState        = "queue-forwarder-state"
	queueDestinations = 20
	queueBody         = 200 // bytes
	queueConnections  = 32
)

var queueMeasurement = measurement{
	about: "a forwarder's memory by the messages that wait in it",
	sizes: []int{10_000, 30_000, 100_000},
	series: map[string]capacity.Series{
		queueState: {Mechanism: capacity.Queue, Role: capacity.Forwarder, Resource: capacity.State, Variable: capacity.QueuedMessages, Held: held(queueDestinations),
			Note: "Bodies of 200 bytes; all destinations silent. Memory of the machine, not of control."},
	},
	run: measureQueue,
}

// measureQueue hands in messages for destinations that never answer.
func measureQueue(ctx context.Context, l *Lab, messages int, seed uint64, into result) error {
	f, err := startForwarder(ctx, l, queueDestinations, seed)
	if err != nil {
		return err
	}
	defer f.close()
	for _, e := range f.world.Endpoints {
		e.Set(standin.Script{Silent: true})
	}
	jobs := make(chan standin.Job)
	go func() {
		defer close(jobs)
		body := make([]byte, queueBody)
		for i := range messages {
			select {
			case jobs <- standin.Job{Class: standin.Safe, Destination: i % queueDestinations, Left: messageLife, Body: body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	f.world.Clients.Run(ctx, queueConnections, jobs)
	if open := f.world.Log.Open(); open != messages {
		return fmt.Errorf("%d of %d messages wait: the figure would be of fewer", open, messages)
	}
	into.add(queueState, float64(messages), f.peakBytes(), seed)
	return nil
}
