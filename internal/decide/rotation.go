package decide

// rotation counts the listed endpoints, and those of them that get no calls now. It keeps counts by destination, so
// that only the destinations that have changed are counted again. It is tracked from the first call of Rotation on.
type rotation struct {
	isTracked           bool
	listed, unavailable int
	stale               []*destination            // those that have changed since they were counted
	withUnavailable     map[*destination]struct{} // those with unavailable endpoints: some become available by time alone
}

// rotationCounts is what one destination adds to the counts of the rotation.
type rotationCounts struct {
	listed, unavailable int
	stale               bool
}

// Rotation returns how many endpoints are listed, and how many of those get no calls now: they are disabled, within
// a retry-after time, or failing.
func (f *Forwarder) Rotation() (listed, unavailable int) {
	r := &f.rotation
	if !r.isTracked {
		*r = rotation{isTracked: true, withUnavailable: map[*destination]struct{}{}}
		for _, d := range f.destinations {
			r.markStale(d)
		}
	}
	for d := range r.withUnavailable {
		r.markStale(d)
	}
	for _, d := range r.stale {
		f.recountRotation(d)
	}
	clear(r.stale) // so that a removed destination can be freed
	r.stale = r.stale[:0]
	return r.listed, r.unavailable
}

// markStale has the next call of Rotation count a destination again.
func (r *rotation) markStale(d *destination) {
	if r.isTracked && !d.rotation.stale {
		d.rotation.stale = true
		r.stale = append(r.stale, d)
	}
}

// recountRotation counts a destination again.
func (f *Forwarder) recountRotation(d *destination) {
	r := &f.rotation
	r.listed -= d.rotation.listed
	r.unavailable -= d.rotation.unavailable
	d.rotation = f.rotationOf(d)
	r.listed += d.rotation.listed
	r.unavailable += d.rotation.unavailable
	if d.rotation.unavailable > 0 {
		r.withUnavailable[d] = struct{}{}
	} else {
		delete(r.withUnavailable, d)
	}
}

// rotationOf counts the endpoints of a destination.
func (f *Forwarder) rotationOf(d *destination) (share rotationCounts) {
	for _, r := range d.routes {
		for _, ep := range r.endpoints {
			if ep.state == Gone {
				continue
			}
			share.listed++
			if f.isUnavailable(ep) {
				share.unavailable++
			}
		}
	}
	return share
}

// isUnavailable reports whether a listed endpoint gets no calls now.
func (f *Forwarder) isUnavailable(ep *endpoint) bool {
	r := ep.route
	return ep.state != Active || r.circuitOpen || f.now < r.retryAfter || f.now < ep.avoidUntil
}
