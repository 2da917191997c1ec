package engine

import (
	"context"
	"log/slog"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
)

// unsendPending tells the module that what was decided is not carried out.
func (l *Engine) unsendPending(e *entry) {
	for _, s := range e.pending {
		l.unsent(e, s.Target)
	}
	e.pending = nil
}

// unsent tells the module that a send was not carried out. It counts as an
// attempt there, and so it must here: an outcome with another number than the
// module's would be passed over, and its slot and message never come free.
func (l *Engine) unsent(e *entry, target string) {
	l.events = append(l.events, decide.Outcome{Message: e.saved.ID, Attempt: e.saved.Attempts, Target: target,
		Result: decide.NotSent})
	l.journal.RecordSending(e.saved.ID)
	l.journal.RecordOutcome(e.saved.ID, false)
}

// callEnded notes an outcome in the journal.
func (l *Engine) callEnded(v callEnded) {
	o := v.outcome
	v.told.over(&o)
	v.slot.Over(v.wrote && answered(o.Result), !v.wrote)
	e := l.entries[o.Message]
	if e == nil {
		return // ended meanwhile; the module still counts its call
	}
	e.callOver(o.Attempt)
	if o.NoAnswerNeeded {
		for _, c := range e.calls { // a second copy serves nobody any more
			c.cancel(nil)
		}
		if o.Result == decide.Succeeded {
			l.tellEnd(e, "delivered")
			l.endedAs(e, func(t *ClassStats) { t.Delivered++ })
		}
		l.endedAs(e, func(t *ClassStats) { t.Withdrawn++ })
		l.forget(e)
	} else {
		l.journal.RecordOutcome(o.Message, !neverRan(o.Result))
	}
}

// send starts a call once the journal says that it is about to be made. One for
// a message whose client has no +OK yet waits for that.
func (l *Engine) send(ctx context.Context, s decide.Send) {
	e := l.entries[s.Message]
	if e == nil {
		slog.Error("a send for a message that is not held", "id", s.Message)
		return
	}
	if !e.acked || l.acting.closed() || l.journal.Failure() != nil && !l.mayRepeat(e) { // what is fenced, or can't be recorded, waits, too
		e.pending = append(e.pending, s)
		return
	}
	to := l.back.Endpoint(s.Target)
	if l.acting.out != "" { // decided before that, while its client's +OK or the fence was waited for
		l.unsent(e, s.Target)
		return
	}
	if to == nil || len(e.calls) == mostCalls || e.ended {
		slog.Error("a send that can't be made", "id", s.Message, "target", s.Target, "out", len(e.calls))
		l.unsent(e, s.Target)
		return
	}
	n := e.saved.Attempts
	l.journal.RecordSending(s.Message)
	call, cancel := context.WithCancelCause(ctx)
	_, portable := to.(Portable)
	slot := l.acting.begin(s.Target)
	e.calls = append(e.calls, out{n, cancel, portable, slot})
	try, decided := Attempt{ID: s.Message, Class: e.saved.Class, Destination: e.saved.Extras.RequestedDestination(e.saved.Dest), Number: n,
		Body: e.saved.Body, Timeout: s.Timeout, OnWritten: l.counts.wrote, MayBegin: l.waits.mayBeginElse}, time.Now()
	told := l.waits.of(s.Target)
	if told.began(); told != nil {
		try.MayBegin, try.OnRetryAfter = told.begin, told.tell
	}
	if !e.sendBy.IsZero() {
		try.MayBegin = beginsBy(e.sendBy, try.MayBegin)
	}
	if x := e.saved.Extras; x != nil {
		try.Header = x.Header
	}
	if l.limits != nil {
		try.ConnectTimeout = l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.RouteName()).Connect
	}
	undo := func(ctx context.Context) {
		o := decide.Outcome{Message: s.Message, Attempt: n, Target: s.Target, Result: decide.NotSent}
		told.rest(&o)
		l.receive(ctx, callEnded{outcome: o, slot: slot, told: told})
	}
	show := func() {
		if l.journal.Durability() == journal.Group { // it has waited for a sync
			try.Timeout = max(time.Millisecond, try.Timeout-time.Since(decided))
		}
		go func() { // little stack is used on the way to the call: to have it grow costs a tenth of a call
			keep := keeper{l: l, told: told, carried: carried{message: s.Message, endpoint: s.Target, attempt: n, slot: slot}}
			try.HandOver = keep.keep
			if slot != nil {
				try.OnWritten = keep.written
			}
			o := decide.Outcome{Result: decide.NotSent}
			if call.Err() == nil {
				o = to.Call(call, try)
			}
			keep.over(&o)
		}()
	}
	l.effects = append(l.effects, effect{kind: effectSend, entry: e, show: show, undo: undo})
}

// sendAllPending goes on with the attempts that waited for more than their client.
func (l *Engine) sendAllPending(ctx context.Context) {
	for _, e := range l.entries {
		if !e.acked || e.ended || len(e.pending) == 0 {
			continue
		}
		pending := e.pending
		e.pending = nil
		for _, s := range pending {
			l.send(ctx, s)
		}
	}
}

// keeper tells the loop how a call ended, or that it is handed over.
type keeper struct {
	l    *Engine
	told *told
	carried
	wrote bool
}

func (k *keeper) keep(p *InFlightCall) {
	k.pending = p
	k.l.tell(k.carried)
}

func (k *keeper) over(o *decide.Outcome) {
	if k.pending == nil {
		o.Message, o.Attempt, o.Target = k.message, k.attempt, k.endpoint
		k.told.rest(o)
		k.l.tell(callEnded{*o, k.slot, k.wrote, k.told})
	}
}

func (k *keeper) written() {
	k.wrote = true
	k.l.counts.wrote()
}

func (l *Engine) callOff(c decide.Cancel) {
	e := l.entries[c.Message]
	if e == nil {
		return
	}
	for _, o := range e.calls {
		if o.attempt == c.Attempt {
			l.add(effectFree, nil, func() { o.cancel(nil) })
		}
	}
	if n := c.Attempt - e.saved.Attempts; n >= 0 && n < len(e.pending) { // their numbers go on in order: all or none
		l.unsendPending(e)
	}
}

// answered tells whether an outcome is an answer's, of a message that was written whole.
func answered(r decide.Result) bool {
	return r == decide.Succeeded || r == decide.Rejected || r == decide.Errored || r == decide.Overloaded || r == decide.NotSent
}

// neverRan tells whether an outcome proves that the attempt did not run.
func neverRan(r decide.Result) bool {
	return r == decide.Overloaded || r == decide.ConnectFailed || r == decide.NotSent || r == decide.Rejected
}
