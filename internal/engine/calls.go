package engine

import (
	"context"
	"log/slog"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
)

// dropPending reports to the Forwarder that the pending attempts of a message are not made.
func (l *Engine) dropPending(e *entry) {
	for _, s := range e.pending {
		l.reportNotSent(e, s.Target)
	}
	e.pending = nil
}

// reportNotSent reports to the Forwarder that an attempt was not made. The Forwarder
// counts it as an attempt, and the journal must do the same: the Forwarder ignores an
// outcome whose number differs from its own, and would never release the attempt's
// slot and message.
func (l *Engine) reportNotSent(e *entry, target string) {
	l.events = append(l.events, decide.Outcome{Message: e.saved.ID, Attempt: e.attempts, Target: target,
		Result: decide.NotSent})
	e.attempts++
	l.recordOutcome(e.saved.ID, inFlight{}, false)
}

// completeCall records the outcome of a call in the journal, and completes the message if it needs no further call. A call without a connection that the
// end of the loop has interrupted is not recorded: the next process must find its message as if the call had not begun.
func (l *Engine) completeCall(ctx context.Context, v callCompleted) {
	o := v.outcome
	v.wait.callCompleted(&o)
	v.slot.Complete(v.written && answered(o.Result), !v.written)
	e := l.entries[o.Message]
	if e == nil {
		return // completed meanwhile; the Forwarder still counts its call
	}
	call := e.removeCall(o.Attempt)
	if o.NoAnswerNeeded {
		for _, c := range e.calls { // a hedged request is no longer needed
			c.cancel(nil)
		}
		outcome := journal.Undelivered
		if o.Result == decide.Succeeded {
			outcome = journal.Delivered
			l.reportOutcome(e, "delivered")
			l.countOutcome(e, func(t *ClassStats) { t.Delivered++ })
		}
		l.countOutcome(e, func(t *ClassStats) { t.Withdrawn++ })
		l.closeMessage(e, outcome)
		return
	}
	mayHaveRun := !neverRan(o.Result)
	if wasInterrupted := ctx.Err() != nil && !call.recorded && !mayHaveRun; !wasInterrupted {
		l.recordOutcome(o.Message, call, mayHaveRun)
	}
}

// send starts a call. If a connection is ready, the attempt is recorded in the journal before; otherwise the call asks for that once it has one.
// An attempt for a message whose client has not received +OK waits for that.
func (l *Engine) send(ctx context.Context, s pendingAttempt) {
	e := l.entries[s.Message]
	if e == nil {
		slog.Error("an attempt was decided for an unknown message", "id", s.Message)
		return
	}
	if !e.acked || l.accounting.fenceClosed() || l.journal.Failure() != nil && !l.mayRepeat(e.saved.Class) { // also waits while the fence is closed or the attempt can't be recorded
		e.pending = append(e.pending, s)
		return
	}
	if l.accounting.fencedOff != "" { // decided before that, while it waited for the client's +OK or the fence
		l.reportNotSent(e, s.Target)
		return
	}
	if s.caller == nil || len(e.calls) == maxCallsPerMessage || e.completed {
		slog.Error("a decided attempt can't be made", "id", s.Message, "target", s.Target, "out", len(e.calls))
		l.reportNotSent(e, s.Target)
		return
	}
	l.start(ctx, l.prepareCall(ctx, e, s))
}

// sendAllPending makes the attempts that waited for the fence or the journal and not for their client's +OK.
func (l *Engine) sendAllPending(ctx context.Context) {
	for _, e := range l.entries {
		if e.acked && !e.completed {
			l.sendPending(ctx, e)
		}
	}
}

// sendPending makes the attempts of a message that could not be made before, unless their endpoint was withdrawn or drains meanwhile: those do not begin, so
// that the audit log has no call under the list that has the drain.
func (l *Engine) sendPending(ctx context.Context, e *entry) {
	pending := e.pending
	e.pending = nil
	for _, s := range pending {
		if reason := l.withheldReason(s); reason != "" {
			slog.Info("message withheld", "id", s.Message, "target", s.Target, "destination", e.saved.Dest, "why", reason)
			l.counters.onWithheld(reason)
			l.reportNotSent(e, s.Target)
			continue
		}
		l.send(ctx, s)
	}
}

// withdrawnWhilePending is the reason for not making an attempt whose endpoint was withdrawn before the attempt could be made.
const withdrawnWhilePending = "endpoint withdrawn while the attempt was pending"

// withheldReason says why a pending attempt is not made any more, or "".
func (l *Engine) withheldReason(s pendingAttempt) string {
	if s.caller == nil {
		return ""
	}
	if s.caller != l.back.Endpoint(s.Target) {
		return withdrawnWhilePending
	}
	if w, ok := s.caller.(Withholder); ok {
		return w.WithheldReason()
	}
	return ""
}

// callReporter reports to the loop how a call ended, or that it is handed over.
type callReporter struct {
	engine *Engine
	wait   *routeWait
	handedOver
	messageWritten bool
}

func (k *callReporter) handOver(p *InFlightCall) {
	k.pending = p
	k.engine.post(k.handedOver)
}

func (k *callReporter) report(o *decide.Outcome) {
	if k.pending == nil {
		o.Message, o.Attempt, o.Target = k.message, k.attempt, k.endpoint
		k.wait.addRemaining(o)
		k.engine.post(callCompleted{*o, k.slot, k.messageWritten, k.wait})
	}
}

func (k *callReporter) markWritten() {
	k.messageWritten = true
	k.engine.counters.countRelayed()
}

func (l *Engine) cancelAttempt(c decide.Cancel) {
	e := l.entries[c.Message]
	if e == nil {
		return
	}
	for _, o := range e.calls {
		if o.attempt == c.Attempt {
			l.addEffect(effectFree, nil, func() { o.cancel(nil) })
		}
	}
	if n := c.Attempt - e.attempts; n >= 0 && n < len(e.pending) { // they are numbered in order, so all of them are dropped or none
		l.dropPending(e)
	}
}

// answered reports whether a result comes from an answer to a completely written message.
func answered(r decide.Result) bool {
	return r == decide.Succeeded || r == decide.Rejected || r == decide.Errored || r == decide.Overloaded || r == decide.NotSent
}

// neverRan reports whether a result proves that the attempt did not run.
func neverRan(r decide.Result) bool {
	return r == decide.Overloaded || r == decide.ConnectFailed || r == decide.NotSent || r == decide.Rejected
}
