package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	firstBackoff    = 100 * time.Millisecond
	overloadBackoff = 2 * adjustInterval     // after an overload refusal without a retry-after time
	answerMargin    = 15 * time.Millisecond  // queued messages are answered this long before their deadline
	keyWindowMargin = 300 * time.Millisecond // the same before a dedup window ends, if it may have run
)

// handleOutcome records the outcome of an attempt, and retries or completes its message.
func (f *Forwarder) handleOutcome(o Outcome) {
	m := f.messages[o.Message]
	a := m.removeAttempt(o.Attempt)
	if a == nil {
		return
	}
	c := a.call
	r, ep, d := c.route, c.endpoint, c.route.dest
	f.closeAllIntervals(d)
	f.hedges.remove(m)
	r.retryAfter = max(r.retryAfter, f.now+o.RetryAfter) // reported with any attempt of a call
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
		m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, f.now+f.settings.KeyPause)
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

// retryOrAnswer queues a message whose attempt failed for a retry, or answers it.
func (f *Forwarder) retryOrAnswer(m *message, r *route, o Outcome) {
	notSent := o.Result == NotSent
	if o.Result == Rejected || f.attemptsExhausted(m) ||
		m.mayHaveRun && m.class.Effect == AtMostOnce || f.now >= m.answerDeadline() {
		f.answerMessage(m)
		return
	}
	// A route with an open circuit gets only probes, which need no budget: the message is
	// queued like first attempts, and the budget is checked again before it is sent.
	if !notSent && !r.circuitOpen {
		if !f.retryBudgetLeft(r) {
			f.answerMessage(m)
			return
		}
		m.retryGrant = r
		r.reservedRetries++
	}
	first := firstBackoff
	if o.Result == Overloaded && o.RetryAfter == 0 { // it is still overloaded after firstBackoff
		first = overloadBackoff
	}
	m.notBefore = max(m.notBefore, f.now+o.RetryDelay)
	if !notSent {
		m.notBefore = f.now + f.jitter(max(first, m.limits.RetryDelay)<<max(0, m.sends-1))
	}
	f.enqueue(m)
}

// answerDeadline is when a queued message must be answered: before its deadline or its dedup window ends.
func (m *message) answerDeadline() time.Duration {
	if m.mayHaveRun && m.class.Effect == Deduplicated {
		return min(m.deadline-answerMargin, m.runSentAt+m.class.DedupWindow-keyWindowMargin)
	}
	return m.deadline - answerMargin
}

// answerDue answers the queued messages whose answer deadline has passed, and all of them while fenced.
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

// isRefusable reports whether the client may hand the message in again without harm.
func (f *Forwarder) isRefusable(m *message) bool {
	if !m.mayHaveRun && m.inFlight == 0 || m.class.Effect == Idempotent {
		return true
	}
	return m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// answerMessage completes a message that is not delivered, by a Refuse or a Fail.
func (f *Forwarder) answerMessage(m *message) {
	if f.isRefusable(m) {
		f.emit(Refuse{Message: m.id, RetryAfter: f.retryAdvice(m.dest)})
	} else {
		f.emit(Fail{Message: m.id})
	}
	f.completeMessage(m)
}

// retryAdvice is how long a client should wait before it retries: until the retry-after time or next probe.
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
