package decide

import "reflect"

// HasOrphanedCalls reports whether a call in flight has an attempt that has its outcome or whose message is completed. Save may leave such a call out.
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

// EqualIgnoringSeq reports whether two states are equal but for the last sequence number given, which it sets in o to that of m.
func (m *SavedState) EqualIgnoringSeq(o *SavedState) bool {
	o.seq = m.seq
	return reflect.DeepEqual(m, o)
}
