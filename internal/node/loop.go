package node

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"scaleroute/internal/decide"
)

const (
	intakeSlack = 10 * time.Millisecond // a client's time began before its request was read
	diskWait    = time.Second           // advice when the journal has no room
	mailbox     = 1024
	drainMost   = 256 // events of one Step
)

// What the loop is told, besides [*List] and [decide.Stopping].
type (
	arrival struct { // a client handed a message in
		req    *request
		answer chan<- reply
	}
	ackWritten struct { // its +OK was written, or could not be
		entry *entry
		ok    bool
	}
	callEnded struct{ outcome decide.Outcome }
	noticed   struct{ refs []string }
	finish    struct{} // no client comes any more
)

// reply is the answer to a request, and the entry that it took on, if any.
type reply struct {
	text  string
	entry *entry
}

// entry is a message that the loop holds.
type entry struct {
	saved   *saved
	answer  chan<- reply            // its client waits for an answer; nil after that
	acked   bool                    // the client has its +OK
	pending *decide.Send            // decided before that
	attempt int                     // number of the call that is out
	cancel  context.CancelCauseFunc // ends that call; nil if none is out
	ended   bool                    // a notice is owed, or nothing any more
}

// loop owns the Forwarder and the journal: nothing else touches them. It never
// waits for the network.
type loop struct {
	module   *decide.Forwarder
	journal  *journal
	targets  *targets
	platform *platform
	clock    time.Time
	inbox    chan any
	done     chan struct{}

	classes   map[string]decide.Class
	dests     map[int]bool // those that discovery has ever named: one exists while its targets are away
	entries   map[string]*entry
	events    []decide.Event
	arrived   []*entry // in this round
	effects   []func() // after the journal has been written
	wake      *time.Timer
	finishing bool
	empty     bool
	idle      chan struct{} // closed when finishing with nothing left
}

func newLoop(c *Config, j *journal, p *platform) (*loop, error) {
	m, err := decide.New(c.Settings)
	if err != nil {
		return nil, err
	}
	l := &loop{module: m, journal: j, targets: newTargets(c), platform: p, clock: time.Now(),
		inbox: make(chan any, mailbox), done: make(chan struct{}), idle: make(chan struct{}),
		classes: map[string]decide.Class{}, dests: map[int]bool{},
		entries: map[string]*entry{}, wake: time.NewTimer(time.Hour)}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	return l, nil
}

// tell hands the loop something, unless it has ended.
func (l *loop) tell(v any) {
	select {
	case l.inbox <- v:
	case <-l.done:
	}
}

// take is the intake of the client server.
func (l *loop) take(req *request) (string, func(bool)) {
	answer := make(chan reply, 1)
	l.tell(arrival{req, answer})
	var a reply
	select {
	case a = <-answer:
	case <-l.done:
		// The loop may have taken the message on just before it ended. To refuse it then would let the
		// client hand it in again beside the copy that the next start takes from the journal.
		select {
		case a = <-answer:
		default:
			a = reply{text: busy(0)}
		}
	}
	if a.entry == nil {
		return a.text, nil
	}
	return a.text, func(ok bool) { l.tell(ackWritten{a.entry, ok}) }
}

const answerOK = "+OK\r\n"

// recover hands the module the list as last known, the present one if there is
// one, and what the journal held.
func (l *loop) recover(known, present *List) {
	l.list(known, decide.Restored)
	if present != nil {
		l.list(present, decide.Whole)
	}
	now := time.Now()
	for _, s := range l.journal.held() {
		e := &entry{saved: s, acked: true}
		l.entries[s.id] = e
		if s.end != 0 {
			l.notify(e)
			continue
		}
		l.events = append(l.events, decide.Message{ID: s.id, Class: s.class, Destination: s.dest,
			Left: s.deadline.Sub(now), Recovered: true, Attempts: s.attempts, Open: s.open, MayHaveRun: s.ran()})
	}
	if n := len(l.entries); n > 0 {
		slog.Info("taken up from the journal", "messages", n)
	}
}

// run carries events to the module until ctx ends. An error means that the
// journal can't be kept: then nothing more may be taken on.
func (l *loop) run(ctx context.Context) error {
	defer close(l.done)
	for {
		if err := l.round(ctx); err != nil {
			return err
		}
		if len(l.events) > 0 {
			continue // what could not be carried out is told at once
		}
		if l.finishing && len(l.entries) == 0 && !l.empty {
			l.empty = true
			close(l.idle)
		}
		select {
		case <-ctx.Done():
			l.rest()
			return l.journal.flush()
		case v := <-l.inbox:
			if err := l.receive(ctx, v); err != nil {
				return err
			}
		case <-l.wake.C:
			l.events = append(l.events, decide.Woken{})
		}
		for n := 1; n < drainMost && len(l.inbox) > 0; n++ {
			if err := l.receive(ctx, <-l.inbox); err != nil {
				return err
			}
		}
	}
}

// rest notes the outcomes that came too late for the module to see.
func (l *loop) rest() {
	for len(l.inbox) > 0 {
		switch v := (<-l.inbox).(type) {
		case callEnded:
			l.callEnded(v.outcome)
		case noticed:
			l.noticed(v)
		case arrival:
			v.answer <- reply{text: busy(0)}
		}
	}
}

func (l *loop) receive(ctx context.Context, v any) error {
	switch v := v.(type) {
	case arrival:
		return l.arrive(v)
	case ackWritten:
		l.acked(ctx, v)
	case callEnded:
		l.callEnded(v.outcome)
		l.events = append(l.events, v.outcome)
	case noticed:
		l.noticed(v)
	case *List:
		scope := decide.Changes
		if v.Snapshot {
			scope = decide.Whole
		}
		l.list(v, scope)
	case finish:
		l.finishing = true
	case decide.Stopping:
		l.events = append(l.events, v)
	}
	return nil
}

func (l *loop) list(v *List, scope decide.ListScope) {
	l.targets.list(v)
	for _, e := range v.Endpoints {
		l.dests[e.Group] = true
	}
	l.events = append(l.events, v.event(scope))
}

func (l *loop) arrive(a arrival) error {
	req := a.req
	turnAway := func(text string) { a.answer <- reply{text: text} }
	class, known := l.classes[req.class]
	switch e := l.entries[req.id]; {
	case e != nil && e.acked: // handed in twice: it is held already
		turnAway(answerOK)
		return nil
	case e != nil: // whether that one is taken on is still open, and not for this client to say
		turnAway("-ERR handed in twice at once\r\n")
		return nil
	// What can't be delivered is no -BUSY: that asks the client to come again.
	case !known:
		turnAway("-ERR unknown class\r\n")
		return nil
	case !l.dests[req.dest]:
		turnAway("-ERR unknown destination\r\n")
		return nil
	}
	room, err := l.journal.reserve(len(req.body))
	if err != nil {
		return err
	}
	if !room {
		turnAway(busy(diskWait))
		return nil
	}
	deadline := req.read.Add(min(req.left, class.Deadline) - intakeSlack)
	e := &entry{answer: a.answer, saved: &saved{id: req.id, class: req.class, dest: req.dest, body: req.body,
		deadline: deadline}}
	l.entries[req.id] = e
	l.arrived = append(l.arrived, e)
	l.events = append(l.events, decide.Message{ID: req.id, Class: req.class, Destination: req.dest,
		Left: time.Until(deadline), Again: req.again, Repeat: req.repeat})
	return nil
}

func busy(wait time.Duration) string {
	if wait <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", wait.Milliseconds())
}

// acked goes on with what waited until the client had its +OK.
func (l *loop) acked(ctx context.Context, a ackWritten) {
	e := a.entry
	if e.acked || l.entries[e.saved.id] != e {
		return
	}
	e.acked = true
	switch {
	case !a.ok: // the client will hand it in again: nothing is owed
		if e.pending != nil {
			l.unsent(e, e.pending.Target)
		}
		l.events = append(l.events, decide.Withdrawn{Message: e.saved.id})
		l.forget(e)
	case e.saved.end != 0:
		l.notify(e)
	case e.pending != nil:
		s := *e.pending
		e.pending = nil
		l.send(ctx, s)
	}
}

// unsent tells the module that a send was not carried out. It counts as an
// attempt there, and so it must here: an outcome with another number than the
// module's would be passed over, and its slot and message never come free.
func (l *loop) unsent(e *entry, target string) {
	l.events = append(l.events, decide.Outcome{Message: e.saved.id, Attempt: e.saved.attempts, Target: target,
		Result: decide.NotSent})
	l.journal.sending(e.saved.id)
	l.journal.outcome(e.saved.id, false)
}

// callEnded notes an outcome in the journal.
func (l *loop) callEnded(o decide.Outcome) {
	e := l.entries[o.Message]
	if e == nil {
		return // ended meanwhile; the module still counts its call
	}
	if e.cancel != nil {
		e.cancel(nil)
		e.cancel = nil
	}
	if o.Over {
		l.forget(e)
	} else {
		l.journal.outcome(o.Message, !neverRan(o.Result))
	}
}

func (l *loop) noticed(n noticed) {
	for _, id := range n.refs {
		if e := l.entries[id]; e != nil {
			l.forget(e)
		}
	}
}

// forget closes a message for which nothing is owed any more.
func (l *loop) forget(e *entry) {
	l.journal.closed(e.saved.id)
	delete(l.entries, e.saved.id)
}

// round makes one Step and does what it decides, in this order: the journal
// is written before anything that it records can be seen outside.
func (l *loop) round(ctx context.Context) error {
	events := l.events
	l.events = nil
	for _, a := range l.module.Step(time.Since(l.clock), events) {
		l.act(ctx, a)
	}
	for _, e := range l.arrived {
		if e.answer == nil {
			continue // turned away in this Step
		}
		l.journal.accepted(e.saved)
		answer := e.answer
		e.answer = nil
		l.effects = append(l.effects, func() { answer <- reply{answerOK, e} })
	}
	clear(l.arrived)
	l.arrived = l.arrived[:0]
	if err := l.journal.flush(); err != nil {
		return err
	}
	for _, do := range l.effects {
		do()
	}
	clear(l.effects)
	l.effects = l.effects[:0]
	return nil
}

func (l *loop) act(ctx context.Context, a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.send(ctx, a)
	case decide.Refuse:
		l.end(a.Message, 'b', a.Wait)
	case decide.Fail:
		l.end(a.Message, 'd', 0)
	case decide.Cancel:
		l.callOff(a)
	case decide.CloseIdle:
		if t := l.targets.byName[a.Target]; t != nil {
			l.effects = append(l.effects, t.closeIdle)
		}
	case decide.Wake:
		l.wake.Reset(a.After)
	case decide.Subscribe: // the watch is always on
	}
}

// send starts a call once the journal says that it is about to be made. One for
// a message whose client has no +OK yet waits for that.
func (l *loop) send(ctx context.Context, s decide.Send) {
	e := l.entries[s.Message]
	if e == nil {
		slog.Error("a send for a message that is not held", "id", s.Message)
		return
	}
	if !e.acked {
		e.pending, e.attempt = &s, e.saved.attempts
		return
	}
	t := l.targets.byName[s.Target]
	if t == nil || e.cancel != nil || e.ended {
		slog.Error("a send that can't be made", "id", s.Message, "target", s.Target, "out", e.cancel != nil)
		l.unsent(e, s.Target)
		return
	}
	e.attempt = e.saved.attempts
	l.journal.sending(s.Message)
	call, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	n, body := e.attempt, e.saved.body
	l.effects = append(l.effects, func() {
		go func() {
			o := t.call(call, s.Message, body, s.Timeout)
			o.Message, o.Attempt, o.Target = s.Message, n, s.Target
			l.tell(callEnded{o})
		}()
	})
}

func (l *loop) callOff(c decide.Cancel) {
	e := l.entries[c.Message]
	switch {
	case e == nil || e.attempt != c.Attempt:
	case e.cancel != nil:
		cancel := e.cancel
		l.effects = append(l.effects, func() { cancel(errCancelled) })
	case e.pending != nil:
		l.unsent(e, e.pending.Target)
		e.pending = nil
	}
}

// end carries out a final answer: to the client that still waits for its first
// one, or else as a notice. The journal has it before the platform, so that no
// restart sends a message that its client may have handed in again.
func (l *loop) end(id string, how byte, wait time.Duration) {
	e := l.entries[id]
	if e == nil || e.ended {
		return
	}
	e.ended = true
	if e.answer != nil {
		answer, text := e.answer, busy(wait)
		if how == 'd' {
			text = "-ERR failed\r\n"
		}
		e.answer = nil
		l.journal.release(len(e.saved.body))
		delete(l.entries, id)
		l.effects = append(l.effects, func() { answer <- reply{text: text} })
		return
	}
	e.saved.end, e.saved.wait = how, wait
	l.journal.ended(id, how, wait)
	if e.acked {
		l.notify(e)
	}
}

// notify sends the notice that is owed, after the journal has been written.
func (l *loop) notify(e *entry) {
	e.ended = true
	n := notice{Ref: e.saved.id, Result: "dead"}
	if e.saved.end == 'b' {
		n.Result, n.WaitMS = "bounced", e.saved.wait.Milliseconds()
	}
	l.effects = append(l.effects, func() { l.platform.notify(n) })
}
