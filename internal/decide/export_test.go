package decide

import "reflect"

// HasOrphanedCalls tells whether a call is out that had a message which is over or has its outcome: that one is not handed over.
func (f *Forwarder) HasOrphanedCalls() bool {
	for c := f.inFlight.first; c != nil; c = c.next {
		for _, a := range c.attempts {
			if a.message.completed || !a.inFlight() {
				return true
			}
		}
	}
	return false
}

// EqualIgnoringSeq tells whether two memories are the same but for how many numbers had been given.
func (m *SavedState) EqualIgnoringSeq(o *SavedState) bool {
	o.seq = m.seq
	return reflect.DeepEqual(m, o)
}
