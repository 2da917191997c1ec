package decide

// shedKey is a kind of message of which the oldest is worth least, the wait before it included.
type shedKey struct {
	class *Class
	value float64
}

// forEachSheddable brings the shed index up to date and passes on the group of each kind whose oldest
// message is worth least.
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
				h = &heap[*group]{less: shedBefore, place: func(g *group) *int { return &g.shedIndex }}
				f.shedIndex[k] = h
			}
			first := g.oldest()
			g.shedCreatedAt, g.shedSeq = first.createdAt-d.drainTime, first.seq
			h.fix(g)
		}
	}
	clear(f.shedStale)
	f.shedStale = f.shedStale[:0]
	for i := range f.settings.Classes { // not over the map: the order must not be random
		class := &f.settings.Classes[i]
		for _, worth := range [...]float64{class.Value, class.Value * f.settings.OverQuotaValue} {
			if h := f.shedIndex[shedKey{class, worth}]; h != nil && h.len() > 0 {
				each(h.min())
			}
		}
	}
}

func shedBefore(a, b *group) bool {
	return a.shedCreatedAt < b.shedCreatedAt || a.shedCreatedAt == b.shedCreatedAt && a.shedSeq < b.shedSeq
}

// invalidateShedIndex notes that a destination's place in the shed index must be computed anew.
func (f *Forwarder) invalidateShedIndex(d *destination) {
	if f.settings.MaxOpen > 0 && !d.shedStale {
		d.shedStale = true
		f.shedStale = append(f.shedStale, d)
	}
}
