package soak

import (
	"context"
	"time"

	"scaleroute/internal/standin"
)

// Faults of list calls: a discovery that takes long for an answer, or refuses calls.

// How list calls go wrong.
const (
	listsSlow    = "slow"
	listsRefused = "refused"
	listsMoved   = "slow at another address"
)

const (
	minAnswerTime = 100 * time.Millisecond
	maxAnswerTime = 5 * time.Second
	// receiptLimit is when a change counts as received after discovery had it and could be reached.
	receiptLimit = 6 * time.Second
	// receiptLimitAfterReload is the same for what discovery has when another address of it comes into use.
	receiptLimitAfterReload = 4 * time.Second
	// receiptSlack is for a busy machine.
	receiptSlack = 250 * time.Millisecond
)

// hindersLists are the kinds of faults during which a forwarder may have no list for longer.
var hindersLists = []Kind{Discovery, Outage, Connect, Pause}

// lists has a forwarder's list calls answered late, or refused for a while. An endpoint begins to drain meanwhile, and the forwarder has to receive that
// before it counts as received. The forwarder is not restarted during that.
func (r *run) lists(ctx context.Context, f Fault) error {
	p := r.takePlace(f.Place)
	if p == nil {
		return nil
	}
	defer r.releasePlace(p)
	r.busy[f.Node].Lock()
	defer r.busy[f.Node].Unlock()
	n := r.rig.Nodes[f.Node]
	if f.How == listsMoved {
		f.Opens = min(f.Opens, receiptLimitAfterReload-receiptSlack)
	}
	hinder := func(on bool) { n.Discovery.Refuse(on) }
	if f.How != listsRefused {
		hinder = func(on bool) { n.Discovery.Delay(map[bool]time.Duration{true: f.Opens}[on]) }
	}
	hinder(true)
	sleep(ctx, f.Reported)
	changed := time.Now()
	r.rig.World.Set(standin.Draining, p.endpoint)
	due := changed.Add(receiptLimit)
	switch f.How {
	case listsRefused:
		sleep(ctx, f.Lasts)
		hinder(false)
		due = time.Now().Add(receiptLimit)
	case listsMoved:
		reloaded, err := n.MoveDiscovery()
		if err != nil {
			return err
		}
		due = reloaded.Add(receiptLimitAfterReload)
	}
	received := n.Log.AwaitTold(ctx, p.endpoint.Name, standin.Draining, changed, due.Add(receiptSlack))
	hinder(false)
	if !received && ctx.Err() == nil && !hasKind(r.result.Faults, hindersLists...) {
		r.addBroken("%s: the drain of %s at %.2f s was not received by %.2f s, while list calls were %s (%v)", n.Name, p.endpoint.Name, changed.Sub(r.rig.Began()).Seconds(), due.Sub(r.rig.Began()).Seconds(), f.How, f.Opens)
	}
	r.rig.World.Set(standin.Serving, p.endpoint)
	return nil
}
