package engine

import (
	"context"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
)

// preparedCall is a call that the engine counts as in flight and that has not started yet.
type preparedCall struct {
	entry    *entry
	caller   Caller
	context  context.Context // of the call
	attempt  Attempt
	decided  time.Time
	reporter callReporter
}

// prepareCall makes the next attempt of a message a call in flight. If a connection is ready, it is reserved.
func (l *Engine) prepareCall(ctx context.Context, e *entry, s pendingAttempt) *preparedCall {
	number := e.attempts
	e.attempts++
	call, cancel := context.WithCancelCause(ctx)
	_, portable := s.caller.(Portable)
	slot, wait := l.accounting.beginCall(s.Target), l.routeWaits.forEndpoint(s.Target)
	e.calls = append(e.calls, inFlight{attempt: number, cancel: cancel, portable: portable, slot: slot})
	p := &preparedCall{entry: e, caller: s.caller, context: call, attempt: l.newAttempt(e, s, number), decided: time.Now(),
		reporter: callReporter{engine: l, wait: wait, handedOver: handedOver{message: s.Message, endpoint: s.Target, attempt: number, slot: slot}}}
	if wait.callBegan(); wait != nil {
		p.attempt.MayBegin, p.attempt.OnRetryAfter = wait.mayBegin, wait.extend
	}
	if !e.sendBy.IsZero() {
		p.attempt.MayBegin = beginBefore(e.sendBy, p.attempt.MayBegin)
	}
	if p.attempt.Connection = reserveConnection(s.caller); p.attempt.Connection == nil {
		p.attempt.RecordSending = func(ctx context.Context) bool { return l.recordSending(ctx, e, number) }
	}
	return p
}

// newAttempt returns an attempt with what it takes from its message and from operators.
func (l *Engine) newAttempt(e *entry, s pendingAttempt, number int) Attempt {
	a := Attempt{ID: s.Message, Class: e.saved.Class, Destination: e.saved.Extras.RequestedDestination(e.saved.Dest), Number: number, Body: e.saved.Body, Timeout: s.Timeout,
		MayBegin: l.routeWaits.otherCheck, OnWritten: l.counters.countRelayed, OnWithheld: l.counters.onWithheld}
	if x := e.saved.Extras; x != nil {
		a.Header = x.Header
	}
	if l.limits != nil {
		a.ConnectTimeout = l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.RouteName()).Connect
	}
	return a
}

// reserveConnection returns a connection to an endpoint that is ready, or nil.
func reserveConnection(c Caller) ReservedConnection {
	if reserver, ok := c.(ConnectionReserver); ok {
		return reserver.ReserveConnection()
	}
	return nil
}

// start starts a call. One with a reserved connection is recorded before; any other asks for its record when it has a connection.
func (l *Engine) start(ctx context.Context, p *preparedCall) {
	run := func() { p.run(l.journal.Durability()) }
	if p.attempt.Connection == nil {
		l.addEffect(effectFree, nil, run)
		return
	}
	p.entry.findCall(p.attempt.Number).recorded = true
	l.journal.RecordSending(p.attempt.ID)
	l.effects = append(l.effects, effect{kind: effectSend, entry: p.entry, run: run, undo: func() { p.abandon(ctx) }})
}

// run makes the call in a goroutine of its own.
func (p *preparedCall) run(durability journal.Durability) {
	if durability == journal.Group { // it may have waited for a journal sync
		p.attempt.Timeout = max(time.Millisecond, p.attempt.Timeout-time.Since(p.decided))
	}
	go func() { // little stack is used before the call: growing the stack costs a tenth of a call
		p.attempt.HandOver = p.reporter.handOver
		if p.reporter.slot != nil {
			p.attempt.OnWritten = p.reporter.markWritten
		}
		o := decide.Outcome{Result: decide.NotSent}
		switch {
		case p.context.Err() == nil:
			o = p.caller.Call(p.context, p.attempt)
		case p.attempt.Connection != nil:
			p.attempt.Connection.Release()
		}
		p.reporter.report(&o)
	}()
}

// abandon reports to the loop that the call is not made, since the attempt can't be recorded.
func (p *preparedCall) abandon(ctx context.Context) {
	p.attempt.Connection.Release()
	r := &p.reporter
	o := decide.Outcome{Message: r.message, Attempt: r.attempt, Target: r.endpoint, Result: decide.NotSent}
	r.wait.addRemaining(&o)
	r.engine.receive(ctx, callCompleted{outcome: o, slot: r.slot, wait: r.wait})
}
