// Command scaleroute-sim hosts forwarders on the wire of the test bench:
// batches of events on standard input, one reply for each on standard output.
// The forwarders share nothing.
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

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	hosted := map[string]*decide.Forwarder{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(b, hosted, w); err != nil {
			return fmt.Errorf("batch %s: %w", b.Turn, err)
		}
	}
}

// answer tells each forwarder its events of one batch and writes what they do.
// Nothing is written if any part of the batch is at fault.
func answer(b *wire.Batch, hosted map[string]*decide.Forwarder, w *wire.Writer) error {
	var order []string
	events := map[string][]decide.Event{}
	for _, in := range b.Inputs {
		if in.Op != wire.OpStart && hosted[in.Instance] == nil {
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
			hosted[in.Instance], events[in.Instance] = f, nil
		case wire.OpStop:
			delete(hosted, in.Instance)
			events[in.Instance] = nil
		case wire.OpEvent:
			events[in.Instance] = append(events[in.Instance], in.Event)
		}
	}
	for _, instance := range order {
		f := hosted[instance]
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
