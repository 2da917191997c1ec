package fleet

import (
	"fmt"
	"time"

	"scaleroute/internal/standin"
)

// Check says from the records of all forwarders and targets, taken as one, whether a rule was broken.
func (r *Rig) Check(limits standin.Limits) *standin.Verdict {
	all := &standin.Verdict{}
	for _, n := range r.Nodes {
		v := n.Log.Check(limits)
		if n.Touched() {
			v.Lost, v.Twice, v.Examples = 0, 0, nil
		}
		for i, text := range v.Examples {
			v.Examples[i] = n.Name + ": " + text
		}
		all.Add(v)
	}
	return all
}

// Arrived counts the calls of a forwarder that a target has seen, between two times; the target's own record says so.
func (n *Node) Arrived(target string, from, until time.Time) (count int, last time.Time) {
	n.Log.Each(func(c *standin.Call) {
		if c.Endpoint.Name == target && !c.First.Before(from) && (until.IsZero() || c.First.Before(until)) {
			if count++; c.First.After(last) {
				last = c.First
			}
		}
	})
	return count, last
}

// Load hands messages in at every forwarder, at a rate each, until stop is closed.
func (r *Rig) Load(rate float64, connections int, body int, stop <-chan struct{}) (wait func()) {
	return r.load(r.Nodes, rate, connections, body, stop)
}

func (e Event) String() string {
	return fmt.Sprintf("%8.3f s  %-5s %s %s", e.At.Seconds(), e.Node, e.What, e.Text)
}
