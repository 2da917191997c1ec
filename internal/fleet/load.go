package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"scaleroute/internal/standin"
)

// unsafeShare of the messages may not be repeated.
const unsafeShare = 0.23

// load hands messages in. Those of one forwarder come at random moments, as from many clients that know nothing of each other.
func (r *Rig) load(nodes []*Node, rate float64, connections, size int, stop <-chan struct{}) (wait func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i, n := range nodes {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(i)+1000))
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rng.IntN(256))
		}
		jobs := make(chan standin.Job)
		all.Go(func() { n.Clients.Run(ctx, connections, jobs) })
		all.Go(func() {
			defer close(jobs)
			for next := time.Now(); ; {
				next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				j := standin.Job{Class: standin.Safe, Destination: rng.IntN(r.Destinations), Left: r.Left, Body: body}
				if rng.Float64() < unsafeShare {
					j.Class, j.Unsafe = standin.Unsafe, true
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				select {
				case <-stop:
					return
				case jobs <- j:
				}
			}
		})
	}
	return func() {
		all.Wait()
		cancel()
	}
}

// Settle waits until all that was handed in at some forwarders is over, for so long at most; it tells how many messages are not.
func (r *Rig) Settle(nodes []*Node, limit time.Duration) (open int) {
	for end := time.Now().Add(limit); ; {
		open = 0
		for _, n := range nodes {
			open += n.Log.Open()
		}
		if open == 0 || time.Now().After(end) {
			return open
		}
		time.Sleep(20 * time.Millisecond)
	}
}
