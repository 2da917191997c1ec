package decide

// rotation counts the endpoints that are listed, and those of them that are not called now, by destination: only what has changed is counted
// again. It is kept from the first call of Rotation on.
type rotation struct {
	isKept      bool
	listed, out int
	stale       []*destination            // those that have changed since they were counted
	resting     map[*destination]struct{} // those with endpoints that are not called now, some of which time alone brings back
}

// rotationShare is what one destination adds to the rotation.
type rotationShare struct {
	listed, out int
	isStale     bool
}

// Rotation returns how many endpoints are listed, and how many of those are not called now: disabled, within
// a retry-after time, or failing.
func (f *Forwarder) Rotation() (listed, out int) {
	r := &f.rotation
	if !r.isKept {
		*r = rotation{isKept: true, resting: map[*destination]struct{}{}}
		for _, d := range f.destinations {
			r.note(d)
		}
	}
	for d := range r.resting {
		r.note(d)
	}
	for _, d := range r.stale {
		f.recountRotation(d)
	}
	clear(r.stale) // so that a removed destination is not kept
	r.stale = r.stale[:0]
	return r.listed, r.out
}

// note has a destination counted again.
func (r *rotation) note(d *destination) {
	if r.isKept && !d.rotation.isStale {
		d.rotation.isStale = true
		r.stale = append(r.stale, d)
	}
}

// recountRotation replaces what a destination adds to the rotation.
func (f *Forwarder) recountRotation(d *destination) {
	r := &f.rotation
	r.listed -= d.rotation.listed
	r.out -= d.rotation.out
	d.rotation = f.rotationOf(d)
	r.listed += d.rotation.listed
	r.out += d.rotation.out
	if d.rotation.out > 0 {
		r.resting[d] = struct{}{}
	} else {
		delete(r.resting, d)
	}
}

// rotationOf is what a destination adds to the rotation now.
func (f *Forwarder) rotationOf(d *destination) (share rotationShare) {
	for _, r := range d.routes {
		for _, ep := range r.endpoints {
			if ep.state == Gone {
				continue
			}
			share.listed++
			if f.isOutOfRotation(ep) {
				share.out++
			}
		}
	}
	return share
}

// isOutOfRotation reports whether a listed endpoint is not called now.
func (f *Forwarder) isOutOfRotation(ep *endpoint) bool {
	r := ep.route
	return ep.state != Active || r.circuitOpen || f.now < r.retryAfter || f.now < ep.avoidUntil
}
