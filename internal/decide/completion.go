package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	firstBackoff    = 100 * time.Millisecond
	rejectedBackoff = 2 * adjustInterval     // after a rejection without a retry-after time
	answerMargin    = 15 * time.Millisecond  // queued messages are answered so long before their deadline
	keyWindowMargin = 300 * time.Millisecond // a keyed repeat keeps this far from the end of its window
)

// handleOutcome takes the outcome of an attempt, and retries or completes its message.
func (f *Forwarder) handleOutcome(o Outcome) {
	m := f.messages[o.Message]
	a := m.takeAttempt(o.Attempt)
	if a == nil {
		return
	}
	c := a.call
	r, ep, d := c.route, c.endpoint, c.route.dest
	f.closeAllIntervals(d)
	f.hedges.remove(m)
	r.retryAfter = max(r.retryAfter, f.now+o.RetryAfter) // it applies to all messages of a call
	last := f.endAttempt(a, o.Result)
	if o.Result == NotSent {
		m.sends--
	} else if last {
		f.recordOutcome(r, c, o)
	}
	f.closeSurplusIdle(ep)
	f.removeIfGone(ep)
	unclear := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled
	if unclear && m.keyQueue != nil {
		m.keyQueue.idleUntil = max(m.keyQueue.idleUntil, f.now+f.settings.KeyPause)
	}
	if (unclear || o.Result == Errored || o.Result == Succeeded) && !m.mayHaveRun {
		m.mayHaveRun, m.runZone, m.runSentAt = true, ep.zone, c.sentAt
	}
	if o.NoAnswerNeeded || m.completed {
		f.completeMessage(m)
	} else if m.inFlight == 0 {
		f.retryOrAnswer(m, r, o)
	}
	f.invalidate(d)
}

// retryOrAnswer queues a message whose attempt failed for a retry, or gives its final answer.
func (f *Forwarder) retryOrAnswer(m *message, r *route, o Outcome) {
	notSent := o.Result == NotSent
	if o.Result == Rejected || f.attemptsExhausted(m) ||
		m.mayHaveRun && m.class.Effect == AtMostOnce || f.now >= m.answerDeadline() {
		f.answerMessage(m)
		return
	}
	// An open route gets probes only, so there is nothing to budget: the message is
	// queued like first attempts there, and is checked again when it is to go.
	if !notSent && !r.circuitOpen {
		if !f.retryBudgetLeft(r) {
			f.answerMessage(m)
			return
		}
		m.retryGrant = r
		r.reservedRetries++
	}
	first := firstBackoff
	if o.Result == Overloaded && o.RetryAfter == 0 { // it will still be full after firstBackoff
		first = rejectedBackoff
	}
	m.notBefore = max(m.notBefore, f.now+o.RetryDelay)
	if !notSent {
		m.notBefore = f.now + f.jitter(max(first, m.limits.RetryDelay)<<max(0, m.sends-1))
	}
	f.enqueue(m)
}

// answerDeadline is when a queued message must be answered: its deadline, or the end of its keyed window.
func (m *message) answerDeadline() time.Duration {
	if m.mayHaveRun && m.class.Effect == Deduplicated {
		return min(m.deadline-answerMargin, m.runSentAt+m.class.DedupWindow-keyWindowMargin)
	}
	return m.deadline - answerMargin
}

// answerDue answers the queued messages whose time is up.
func (f *Forwarder) answerDue() {
	var late []*message
	for f.answers.len() > 0 && (f.fenced || f.now >= f.answers.min().answerBy) {
		late = append(late, f.answers.pop())
	}
	slices.SortFunc(late, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range late {
		f.answerMessage(m)
	}
}

// isRefusable reports whether the client may be told that handing the message in again is harmless.
func (f *Forwarder) isRefusable(m *message) bool {
	if !m.mayHaveRun && m.inFlight == 0 || m.class.Effect == Idempotent {
		return true
	}
	return m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// answerMessage gives the one final answer.
func (f *Forwarder) answerMessage(m *message) {
	if f.isRefusable(m) {
		f.emit(Refuse{Message: m.id, RetryAfter: f.retryAdvice(m.dest)})
	} else {
		f.emit(Fail{Message: m.id})
	}
	f.completeMessage(m)
}

// retryAdvice is how long a client should stay away: until the retry-after time or the next probe.
func (f *Forwarder) retryAdvice(d *destination) time.Duration {
	wait := f.settings.MaxRetryAfter
	for _, r := range d.routes {
		w := max(0, r.retryAfter-f.now)
		if r.circuitOpen {
			w = max(w, f.nextProbeAt(r)-f.now)
		}
		wait = min(wait, w)
	}
	return wait
}
