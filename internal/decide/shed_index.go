package decide

// shedKey identifies a kind of message: among messages of one kind the oldest one, with the time to drain the queue
// before it added to its age, has the least value when it is sent.
type shedKey struct {
	class *Class
	value float64
}

// forEachSheddable brings the shed index up to date and calls a function with the group of each kind whose oldest
// message has the least value when it is sent.
func (f *Forwarder) forEachSheddable(each func(g *group)) {
	for _, d := range f.shedStale {
		d.shedStale = false
		d.drainTime = f.queueDrainTime(d)
		for _, g := range d.groups {
			if g.key.recovered || !f.isRefusable(g.root) {
				continue
			}
			k := shedKey{g.key.class, g.key.value}
			h := f.shedIndex[k]
			if h == nil {
				h = &heap[*group]{less: shedBefore, indexOf: func(g *group) *int { return &g.shedIndex }}
				f.shedIndex[k] = h
			}
			first := g.oldest()
			g.shedCreatedAt, g.shedSeq = first.createdAt-d.drainTime, first.seq
			h.fix(g)
		}
	}
	clear(f.shedStale)
	f.shedStale = f.shedStale[:0]
	for i := range f.settings.Classes { // not over the map, whose order is random
		class := &f.settings.Classes[i]
		for _, value := range [...]float64{class.Value, class.Value * f.settings.OverQuotaValue} {
			if h := f.shedIndex[shedKey{class, value}]; h != nil && h.len() > 0 {
				each(h.min())
			}
		}
	}
}

func shedBefore(a, b *group) bool {
	return a.shedCreatedAt < b.shedCreatedAt || a.shedCreatedAt == b.shedCreatedAt && a.shedSeq < b.shedSeq
}

// invalidateShedIndex notes that the places of a destination's groups in the shed index must be recomputed.
func (f *Forwarder) invalidateShedIndex(d *destination) {
	if f.settings.MaxOpen > 0 && !d.shedStale {
		d.shedStale = true
		f.shedStale = append(f.shedStale, d)
	}
}
