package decide

import (
	"slices"
	"strings"
	"time"
)

// message is an accepted message that is not yet completed.
type message struct {
	id          string
	seq         uint64 // in the order accepted
	class       *Class
	dest        *destination
	keyQueue    *keyQueue // its key's queue, or nil
	keyPrevious *message  // in that queue
	keyNext     *message
	createdAt   time.Duration // when it was first handed in
	deadline    time.Duration
	value       float64
	limits      *Limits
	filter      *keyedFilter
	attempts    int  // as the host numbers them
	sends       int  // attempts that were really sent
	recovered   bool // after a restart, and not sent since: it is not shed
	inFlight    int  // attempts without an outcome
	completed   bool
	mayHaveRun  bool          // an earlier attempt may have run
	runZone     string        // of the first such attempt
	runSentAt   time.Duration // of the first such attempt
	notBefore   time.Duration // not sent before this
	retryGrant  *route        // whose budget has granted its next attempt, or nil
	latest      *attempt      // in flight, or nil
	earlier     *attempt      // sent before latest and still in flight, or nil
	hedgeAt     time.Duration // when a hedged request is due
	hedging     bool          // a hedged request is being sent

	// While it is queued.
	group         *group
	left, right   *message // in the group's treap
	treapPriority uint32
	answerBy      time.Duration // when it must be answered
	answerIndex   int
	delayedIndex  int
	hedgeIndex    int
}

// takeAttempt removes the attempt with a number from those in flight and returns it; m may be nil.
func (m *message) takeAttempt(n int) (a *attempt) {
	switch {
	case m == nil:
	case m.latest != nil && m.latest.number == n:
		a, m.latest, m.earlier = m.latest, m.earlier, nil
	case m.earlier != nil && m.earlier.number == n:
		a, m.earlier = m.earlier, nil
	}
	return a
}

// inFlightTo reports whether an attempt is in flight to an endpoint.
func (m *message) inFlightTo(ep *endpoint) bool {
	return m.latest != nil && m.latest.call.endpoint == ep
}

// earliest is when a message may be sent at the earliest.
func (m *message) earliest() time.Duration {
	if m.keyQueue != nil && m.sends == 0 {
		return max(m.notBefore, m.keyQueue.idleUntil)
	}
	return m.notBefore
}

// limitTimeout caps a timeout at the message's limit for one answer.
func (m *message) limitTimeout(t time.Duration) time.Duration {
	if m.limits.AttemptTimeout > 0 {
		return min(t, m.limits.AttemptTimeout)
	}
	return t
}

// windowEndMargin is how long before the end of its window the first byte of a keyed repeat is written at the latest.
const windowEndMargin = 100 * time.Millisecond

// sendWithin is the time that is left for the first byte of a keyed repeat; 0 for any other attempt. The attempt may wait long for its connection.
func (m *message) sendWithin(now time.Duration) time.Duration {
	if !m.mayHaveRun || m.class.Effect != Deduplicated {
		return 0
	}
	return max(time.Nanosecond, m.runSentAt+m.class.DedupWindow-windowEndMargin-now)
}

// attempt is one send of one message.
type attempt struct {
	number  int
	message *message
	call    *call
}

// notPure reports whether a second delivery of the attempt's message has an effect.
func (a *attempt) notPure() bool { return a.message.class.Effect != Idempotent }

// keyedFilter is an Among with a key by which groups are told apart.
type keyedFilter struct {
	EndpointFilter
	key string // the same for the same endpoints; empty for all
}

var anyEndpoint = &keyedFilter{}

func newKeyedFilter(a *EndpointFilter) *keyedFilter {
	if a == nil {
		return anyEndpoint
	}
	return &keyedFilter{*a, strings.Join(slices.Compact(slices.Sorted(slices.Values(a.Only))), "\x00")}
}

func (a *keyedFilter) permits(ep *endpoint) bool {
	return len(a.Only) == 0 || slices.Contains(a.Only, ep.id)
}

// keyQueue holds the messages of one key in the order accepted.
type keyQueue struct {
	key         string
	first, last *message
	idleUntil   time.Duration // no message may go before, after an unclear outcome
}

// newMessage registers a message that is accepted now.
func (f *Forwarder) newMessage(e Message, class *Class) *message {
	f.seq++
	m := &message{id: e.ID, seq: f.seq, class: class, dest: f.destination(e.Destination), value: class.Value,
		createdAt: f.now + e.TimeLeft - class.Deadline, deadline: f.now + e.TimeLeft,
		limits: f.limitsFor(class.Name, e.Destination, e.Route), filter: newKeyedFilter(e.Filter)}
	if class.Ordered && e.Key != "" {
		f.enqueueByKey(m, e.Key)
	}
	f.messages[m.id] = m
	f.pending++
	return m
}

// exceedsQuota reports whether a tenant has used up this forwarder's part of its quota.
func (f *Forwarder) exceedsQuota(name string) bool {
	t := f.tenants[name]
	if t == nil || t.quota <= 0 {
		return false
	}
	t.tokens = min(2*t.quota, t.tokens+t.quota*(f.now-t.filled).Seconds())
	t.filled = f.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// enqueueByKey appends a message to the queue of its key.
func (f *Forwarder) enqueueByKey(m *message, key string) {
	queue := f.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		f.keyQueues[key] = queue
	}
	m.keyQueue, m.keyPrevious = queue, queue.last
	if queue.last != nil {
		queue.last.keyNext = m
	} else {
		queue.first = m
	}
	queue.last = m
}

// leaveKeyQueue removes a message from the queue of its key. The new first one may then be eligible.
func (f *Forwarder) leaveKeyQueue(m *message) {
	queue := m.keyQueue
	if m.keyPrevious != nil {
		m.keyPrevious.keyNext = m.keyNext
	} else {
		queue.first = m.keyNext
	}
	if m.keyNext != nil {
		m.keyNext.keyPrevious = m.keyPrevious
	} else {
		queue.last = m.keyPrevious
	}
	switch first := queue.first; {
	case first == nil && f.now >= queue.idleUntil:
		delete(f.keyQueues, queue.key)
	case first == nil:
		f.restingKeys = append(f.restingKeys, queue)
	case m.keyPrevious == nil && first.group != nil:
		f.removeFromGroup(first)
		f.addToGroup(first)
		f.reconsider(first.dest)
	}
	m.keyPrevious, m.keyNext = nil, nil
}

// expireKeyQueues removes key queues that are empty and have been idle for their time.
func (f *Forwarder) expireKeyQueues() {
	n := 0
	for n < len(f.restingKeys) && f.now >= f.restingKeys[n].idleUntil {
		if queue := f.restingKeys[n]; queue.first == nil && f.keyQueues[queue.key] == queue {
			delete(f.keyQueues, queue.key)
		}
		n++
	}
	f.restingKeys = slices.Delete(f.restingKeys, 0, n)
}

// enqueue adds a message to those queued for its destination.
func (f *Forwarder) enqueue(m *message) {
	d := m.dest
	if d.queued == 0 {
		f.seq++
		d.queuedSeq = f.seq
	}
	d.queued++
	m.answerBy = m.answerDeadline()
	f.answers.fix(m)
	f.addToGroup(m)
	f.invalidate(d)
}

// dequeue removes a message from those queued for its destination, if it is one.
func (f *Forwarder) dequeue(m *message) {
	if m.group == nil {
		return
	}
	f.closeAllIntervals(m.dest)
	f.answers.remove(m)
	f.removeFromGroup(m)
	m.dest.queued--
	f.invalidate(m.dest)
}

// completeMessage removes a message that is completed; its place in its key's queue stays until no attempt
// is in flight.
func (f *Forwarder) completeMessage(m *message) {
	if !m.completed {
		m.completed = true
		f.pending--
		if m.retryGrant != nil {
			m.retryGrant.reservedRetries--
			m.retryGrant = nil
		}
		f.dequeue(m)
		f.hedges.remove(m)
		if m.inFlight > 0 && m.limits.HedgeDelay > 0 && m.latest != nil && f.settings.MayCancel { // its hedged request is of no use any more
			f.emit(Cancel{Message: m.id, Attempt: m.latest.number})
		}
	}
	if m.inFlight > 0 {
		return
	}
	delete(f.messages, m.id)
	if m.keyQueue != nil {
		f.leaveKeyQueue(m)
	}
}

// withdrawMessage completes a message that its client no longer wants.
func (f *Forwarder) withdrawMessage(w Withdrawn) {
	if m := f.messages[w.Message]; m != nil {
		f.completeMessage(m)
	}
}

func sentBefore(a, b *message) bool {
	x, y := a.earliest(), b.earliest()
	return x < y || x == y && a.seq < b.seq
}

func delayedIndexOf(m *message) *int { return &m.delayedIndex }
