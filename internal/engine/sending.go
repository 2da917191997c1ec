package engine

import "context"

// A message may have run once its first byte may have left, and not before: a connection may take seconds to be established, and a restart
// meanwhile must find the message untried. Where a connection is idle, [Engine.send] reserves it and records the attempt at once. Any other call asks
// the loop for permission when its connection is ready: the loop records the attempt, and the message is written once that record is as durable as
// configured.

// sendingRequest asks the loop to record that an attempt may run from now on. permitted receives whether the message may be written.
type sendingRequest struct {
	entry     *entry
	attempt   int
	permitted chan bool
}

// recordSending is the [Attempt.RecordSending] of an attempt.
func (l *Engine) recordSending(ctx context.Context, e *entry, attempt int) bool {
	request := sendingRequest{e, attempt, make(chan bool, 1)}
	l.post(request)
	select {
	case permitted := <-request.permitted:
		return permitted
	case <-ctx.Done():
	case <-l.done:
	}
	return false
}

// permitSending records an attempt whose connection is ready. The message may be written after that, unless it has been completed meanwhile, or
// can't be recorded and must not run twice.
func (l *Engine) permitSending(r sendingRequest) {
	e := r.entry
	call := e.findCall(r.attempt)
	if l.entries[e.saved.ID] != e || e.completed || call == nil {
		r.permitted <- false
		return
	}
	call.recorded = true
	l.journal.RecordSending(e.saved.ID)
	l.effects = append(l.effects, effect{kind: effectSend, entry: e,
		run:  func() { r.permitted <- true },
		undo: func() { r.permitted <- false }})
}

// recordOutcome records the outcome of an attempt. One that was never recorded as being sent still counts as an attempt.
func (l *Engine) recordOutcome(id string, call inFlight, mayHaveRun bool) {
	if !call.recorded {
		l.journal.RecordSending(id)
	}
	l.journal.RecordOutcome(id, mayHaveRun)
}
