// Command scaleroute-sim runs simulated forwarders for the test bench: it reads
// batches of events on standard input and writes one reply for each batch on
// standard output. The forwarders share no state.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"scaleroute/internal/decide"
	"scaleroute/internal/wire"
)

func main() {
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaleroute-sim:", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	forwarders := map[string]*decide.Forwarder{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := processBatch(b, forwarders, w); err != nil {
			return fmt.Errorf("batch %s: %w", b.Turn, err)
		}
	}
}

// processBatch passes each forwarder its events of one batch and writes the actions
// that it returns. It validates the whole batch first, so that an invalid batch
// gets no part of a reply.
func processBatch(b *wire.Batch, forwarders map[string]*decide.Forwarder, w *wire.Writer) error {
	var order []string
	events := map[string][]decide.Event{}
	for _, in := range b.Inputs {
		if in.Op != wire.OpStart && forwarders[in.Instance] == nil {
			return fmt.Errorf("field ForwarderId: unknown instance %q", in.Instance)
		}
		if _, ok := events[in.Instance]; !ok {
			order = append(order, in.Instance)
			events[in.Instance] = nil
		}
		switch in.Op {
		case wire.OpStart:
			f, err := decide.New(in.Settings)
			if err != nil {
				return fmt.Errorf("instance %s: %w", in.Instance, err)
			}
			forwarders[in.Instance], events[in.Instance] = f, nil
		case wire.OpStop:
			delete(forwarders, in.Instance)
			events[in.Instance] = nil
		case wire.OpEvent:
			events[in.Instance] = append(events[in.Instance], in.Event)
		}
	}
	for _, instance := range order {
		f := forwarders[instance]
		if f == nil {
			continue
		}
		for _, a := range f.Step(b.Now, events[instance]) {
			if err := w.WriteAction(instance, a); err != nil {
				return fmt.Errorf("instance %s: %w", instance, err)
			}
		}
	}
	return w.EndBatch(b.Turn)
}
