package decide

import "reflect"

// Orphans tells whether a call is out that had a message which is over or has its outcome: that one is not handed over.
func (f *Forwarder) Orphans() bool {
	for c := f.inFlight.first; c != nil; c = c.next {
		for _, a := range c.attempts {
			if a.message.completed || !a.inFlight() {
				return true
			}
		}
	}
	return false
}

// Same tells whether two memories are the same but for how many numbers had been given.
func (m *Memory) Same(o *Memory) bool {
	o.seq = m.seq
	return reflect.DeepEqual(m, o)
}
