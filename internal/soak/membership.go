package soak

import (
	"context"
	"errors"
	"slices"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

// Faults of membership: endpoints that start at the address of others, and connections that come up late.

// The orders in which a list reports that an address has another endpoint.
const (
	orderTogether    = "together"
	orderLaterFirst  = "later first"
	orderFormerFirst = "former first"
	orderWholeList   = "whole list" // together, in a list of all endpoints
)

// How a connection that comes up late meets a change of its endpoint.
const (
	lateDrain = "drain"
	lateGone  = "gone"
	lateOnly  = "late"
)

const (
	reportGap       = 200 * time.Millisecond // between the two reports of a replacement
	maxReportDelay  = 400 * time.Millisecond // from the end of a process to the first report
	minOpenDelay    = 300 * time.Millisecond // from the end of a process to when its successor accepts connections
	maxOpenDelay    = 1100 * time.Millisecond
	maxReplacements = 3 // in a run, so that destinations keep endpoints
)

// place is an endpoint of the initial list, or its successor.
type place struct {
	endpoint *standin.Endpoint
	isBusy   bool // a fault of membership is about it
}

// takePlace reserves a place for a fault of membership. It returns nil if another one is about it.
func (r *run) takePlace(number int) *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.places[number]
	if p.isBusy {
		return nil
	}
	p.isBusy = true
	return p
}

func (r *run) releasePlace(p *place) {
	r.mu.Lock()
	p.isBusy = false
	r.mu.Unlock()
}

// edgesTo returns the edges of all nodes to an endpoint.
func (r *run) edgesTo(e *standin.Endpoint) (edges []*fleet.Edge) {
	for _, n := range r.rig.Nodes {
		edges = append(edges, n.Edge(e.Name))
	}
	return edges
}

// replace ends an endpoint's process, and gives its address to a new endpoint of another destination, which accepts connections late. The lists report both
// in the drawn order, before or after that.
func (r *run) replace(ctx context.Context, f Fault) error {
	p := r.takePlace(f.Place)
	if p == nil {
		return nil
	}
	defer r.releasePlace(p)
	r.mu.Lock()
	r.replacements++
	isTooMany := r.replacements > maxReplacements
	r.mu.Unlock()
	if isTooMany {
		return nil
	}
	former := p.endpoint
	edges := r.edgesTo(former)
	if err := stall(edges, true); err != nil {
		return err
	}
	opens := time.After(f.Opens)
	sleep(ctx, f.Reported)
	r.mu.Lock()
	successor := r.rig.Replace(former, (former.Group+1)%r.shape.Destinations)
	p.endpoint = successor
	r.mu.Unlock()
	if successor == nil {
		return errors.New("an endpoint that is to be replaced is not there")
	}
	switch f.How {
	case orderLaterFirst:
		r.rig.World.Set(standin.Serving, successor)
		sleep(ctx, reportGap)
		r.rig.World.Set(standin.Deleted, former)
	case orderFormerFirst:
		r.rig.World.Set(standin.Deleted, former)
		sleep(ctx, reportGap)
		r.rig.World.Set(standin.Serving, successor)
	default:
		if f.How == orderWholeList {
			r.rig.World.Whole()
		}
		r.rig.World.SetAll(map[*standin.Endpoint]string{former: standin.Deleted, successor: standin.Serving})
	}
	select {
	case <-opens:
	case <-ctx.Done():
	}
	return open(edges)
}

// late has connections to an endpoint come up late, while it drains or is gone, or serves on.
func (r *run) late(ctx context.Context, f Fault) error {
	p := r.takePlace(f.Place)
	if p == nil {
		return nil
	}
	defer r.releasePlace(p)
	edges := r.edgesTo(p.endpoint)
	if err := stall(edges, false); err != nil {
		return err
	}
	sleep(ctx, f.Reported)
	state := map[string]string{lateDrain: standin.Draining, lateGone: standin.Deleted}[f.How]
	if state != "" {
		r.rig.World.Set(state, p.endpoint)
	}
	sleep(ctx, f.Opens-f.Reported)
	err := open(edges)
	if state != "" {
		sleep(ctx, 2*drainStep) // until those that were being tried have come up
		r.rig.World.Set(standin.Serving, p.endpoint)
	}
	return err
}

// drain has an endpoint drain, go and come back.
func (r *run) drain(ctx context.Context, f Fault) {
	p := r.takePlace(f.Place)
	if p == nil {
		return
	}
	defer r.releasePlace(p)
	for _, state := range []string{standin.Draining, standin.Deleted, standin.Serving} {
		r.rig.World.Set(state, p.endpoint)
		sleep(ctx, drainStep)
	}
}

func stall(edges []*fleet.Edge, reset bool) error {
	for _, edge := range edges {
		if err := edge.Stall(reset); err != nil {
			return errors.Join(err, open(edges))
		}
	}
	return nil
}

func open(edges []*fleet.Edge) (err error) {
	for _, edge := range edges {
		err = errors.Join(err, edge.Open())
	}
	return err
}

// endpointsOf returns the endpoints of a destination as they are now.
func (r *run) endpointsOf(destination int) (list []*standin.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.places {
		if e := r.places[i].endpoint; e.Group == destination {
			list = append(list, e)
		}
	}
	return slices.Clip(list)
}
