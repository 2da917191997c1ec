package decide

import (
	"slices"
	"strings"
	"time"
)

// message is an accepted message that is not yet completed.
type message struct {
	id          string
	seq         uint64 // messages are numbered in the order accepted
	class       *Class
	dest        *destination
	keyQueue    *keyQueue // queue of its key, or nil
	keyPrevious *message  // the one before it in that queue
	keyNext     *message
	createdAt   time.Duration // when it was first handed in
	deadline    time.Duration
	value       float64
	limits      *Limits
	filter      *keyedFilter
	attempts    int  // number of the next attempt, as the host counts them
	sends       int  // attempts without those that the host did not send
	recovered   bool // accepted before a restart and not sent since: it is not shed
	inFlight    int  // attempts without an outcome
	completed   bool
	mayHaveRun  bool          // an earlier attempt may have run
	runZone     string        // zone of the first such attempt
	runSentAt   time.Duration // when the first such attempt was sent
	notBefore   time.Duration // not sent before this
	retryGrant  *route        // the route whose retry budget has granted its next attempt, or nil
	latest      *attempt      // latest attempt in flight, or nil
	earlier     *attempt      // another attempt in flight, sent before latest, or nil
	hedgeAt     time.Duration // when its hedged request is due
	hedging     bool          // its hedged request is being sent

	// These are set while the message is queued.
	group         *group
	left, right   *message // children in the treap of its group
	treapPriority uint32
	answerBy      time.Duration // when it must be answered
	answerIndex   int
	delayedIndex  int
	hedgeIndex    int
}

// removeAttempt removes the attempt with number n from those in flight and returns it, or nil if there is none.
// m may be nil.
func (m *message) removeAttempt(n int) (a *attempt) {
	switch {
	case m == nil:
	case m.latest != nil && m.latest.number == n:
		a, m.latest, m.earlier = m.latest, m.earlier, nil
	case m.earlier != nil && m.earlier.number == n:
		a, m.earlier = m.earlier, nil
	}
	return a
}

// inFlightTo reports whether the latest attempt is in flight to an endpoint.
func (m *message) inFlightTo(ep *endpoint) bool {
	return m.latest != nil && m.latest.call.endpoint == ep
}

// earliest returns the earliest time at which the message may be sent.
func (m *message) earliest() time.Duration {
	if m.keyQueue != nil && m.sends == 0 {
		return max(m.notBefore, m.keyQueue.pausedUntil)
	}
	return m.notBefore
}

// limitTimeout caps a timeout at the message's limit for one attempt.
func (m *message) limitTimeout(t time.Duration) time.Duration {
	if m.limits.AttemptTimeout > 0 {
		return min(t, m.limits.AttemptTimeout)
	}
	return t
}

// windowEndMargin: the first byte of a deduplicated repeat is written at least this long before its window ends.
const windowEndMargin = 100 * time.Millisecond

// sendWithin returns the time that is left for the first byte of a deduplicated repeat, and 0 for any other attempt.
// It is needed since an attempt may wait long for its connection.
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

// notIdempotent reports whether the attempt's message is of a class that is not Idempotent.
func (a *attempt) notIdempotent() bool { return a.message.class.Effect != Idempotent }

// keyedFilter is an EndpointFilter with a key by which messages are grouped.
type keyedFilter struct {
	EndpointFilter
	key string // the same for the same permitted endpoints; empty for all
}

var noFilter = &keyedFilter{}

func newKeyedFilter(a *EndpointFilter) *keyedFilter {
	if a == nil {
		return noFilter
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
	pausedUntil time.Duration // no first attempt of its messages before this time, after an unclear outcome
}

// newMessage registers a message that is accepted.
func (f *Forwarder) newMessage(e Message, class *Class) *message {
	f.seq++
	m := &message{id: e.ID, seq: f.seq, class: class, dest: f.destination(e.Destination), value: class.Value,
		createdAt: f.now + e.TimeLeft - class.Deadline, deadline: f.now + e.TimeLeft,
		limits: f.limitsFor(class.Name, e.Destination, e.Route), filter: newKeyedFilter(e.Filter)}
	if class.Ordered && e.Key != "" {
		f.enqueueByKey(m, e.Key)
	}
	f.messages[m.id] = m
	f.openCount++
	return m
}

// exceedsQuota reports whether a tenant has used up this forwarder's part of its quota, and counts one more
// message towards it if not.
func (f *Forwarder) exceedsQuota(name string) bool {
	t := f.tenants[name]
	if t == nil || t.quota <= 0 {
		return false
	}
	t.tokens = min(2*t.quota, t.tokens+t.quota*(f.now-t.refilledAt).Seconds())
	t.refilledAt = f.now
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

// leaveKeyQueue removes a message from the queue of its key. The next in the queue may then become eligible.
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
	case first == nil && f.now >= queue.pausedUntil:
		delete(f.keyQueues, queue.key)
	case first == nil:
		f.pausedKeyQueues = append(f.pausedKeyQueues, queue)
	case m.keyPrevious == nil && first.group != nil:
		f.removeFromGroup(first)
		f.addToGroup(first)
		f.reconsider(first.dest)
	}
	m.keyPrevious, m.keyNext = nil, nil
}

// expireKeyQueues removes the empty key queues whose pause is over.
func (f *Forwarder) expireKeyQueues() {
	n := 0
	for n < len(f.pausedKeyQueues) && f.now >= f.pausedKeyQueues[n].pausedUntil {
		if queue := f.pausedKeyQueues[n]; queue.first == nil && f.keyQueues[queue.key] == queue {
			delete(f.keyQueues, queue.key)
		}
		n++
	}
	f.pausedKeyQueues = slices.Delete(f.pausedKeyQueues, 0, n)
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

// dequeue removes a message from those queued for its destination, if it is queued.
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

// completeMessage completes a message. It is removed, with its place in its key's queue, once no attempt is in
// flight.
func (f *Forwarder) completeMessage(m *message) {
	if !m.completed {
		m.completed = true
		f.openCount--
		if m.retryGrant != nil {
			m.retryGrant.reservedRetries--
			m.retryGrant = nil
		}
		f.dequeue(m)
		f.hedges.remove(m)
		if m.inFlight > 0 && m.limits.HedgeDelay > 0 && m.latest != nil && f.settings.MayCancel { // one of two attempts has completed it: the other is of no use any more
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

func eligibleBefore(a, b *message) bool {
	x, y := a.earliest(), b.earliest()
	return x < y || x == y && a.seq < b.seq
}

func delayedIndexOf(m *message) *int { return &m.delayedIndex }
