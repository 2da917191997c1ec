package engine

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/intake"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/message"
	"scaleroute/internal/version"
)

const (
	intakeSlack = 10 * time.Millisecond // a client's time began before its request was read
	diskWait    = time.Second           // advice when the journal has no room
	mailbox     = 1024
	drainMost   = 256 // events of one Step
	mostCalls   = 2   // out at once for one message
)

// What the loop is told, besides [List] and [decide.Stopping].
type (
	arrival struct { // a client handed a message in
		msg    *message.Message
		answer chan<- reply
	}
	ackWritten struct { // its +OK was written, or could not be
		entry *entry
		ok    bool
	}
	callEnded struct {
		outcome decide.Outcome
		slot    *ledger.Slot
		wrote   bool  // its message was written whole
		told    *told // what it told to wait; nil: its endpoint was never listed
	}
	heard  struct{ ids []string } // final answers that have arrived
	listed struct {               // a list, and whom to tell that it binds
		List
		bound chan<- struct{}
	}
	finish  struct{} // no client comes any more
	changed struct { // something else than a list that the vector names
		version.Change
		do   func() // what takes effect with it, on the loop
		list *List  // the same
		done chan<- struct{}
	}
	syncEnded struct { // what had been written by then is synced, or can't be
		written int64
		err     error
	}
)

// reply is the answer to a message handed in, and the entry that was taken on, if any.
type reply struct {
	Answer
	entry *entry
}

// entry is a message that the loop holds.
type entry struct {
	saved   *journal.Saved
	answer  chan<- reply  // its client waits for an answer; nil after that
	acked   bool          // the client has its +OK
	pending []decide.Send // decided before that, in order
	sendBy  time.Time     // when the first byte of the attempt decided last is written at the latest; zero: whenever
	calls   []out         // two at most: one, and a second copy
	ended   bool          // a notice is owed, or nothing any more
	counted bool          // among those that are open
	cost    int64         // of the room
	cap     intake.Cap    // under which it is counted, if a rule says so
}

// out is a call that is out.
type out struct {
	attempt  int
	cancel   context.CancelCauseFunc
	portable bool // it can be handed over
	slot     *ledger.Slot
}

// callOver takes a call off those that are out.
func (e *entry) callOver(attempt int) {
	e.calls = slices.DeleteFunc(e.calls, func(c out) bool {
		if c.attempt == attempt {
			c.cancel(nil)
		}
		return c.attempt == attempt
	})
}

// batch is what may show outside once the journal is synced so far.
type batch struct {
	written int64
	effects []func()
}

// Config is what an Engine works with.
type Config struct {
	Settings decide.Settings
	Journal  *journal.Journal // the engine's alone from now on
	Back     Back
	// Resumer goes on with calls of another process, whatever Back is made of; nil where none are handed over.
	Resumer Resumer
	// SyncEvery is how often a journal is synced that is synced at intervals.
	SyncEvery time.Duration
	// Limits are those of a class towards a destination, by a route if its name is not empty; nil for none.
	Limits func(class string, destination int, route string) Limits
	// Ended is told of each message that was taken on and is over, by the loop: it must not wait. nil if nobody asks.
	Ended func(Ending)
	// Holding is called by the loop, which it must not have wait, as it begins and ends to hold a message for a destination. nil if nobody asks.
	Holding func(destination int, begins bool)
	// Steps is shown each step of the module, by the loop: it must not wait. nil if nobody asks.
	Steps func(now time.Duration, events []decide.Event, actions []decide.Action)
	// Figures has the figures published for Engine.Figures.
	Figures bool
	// Acting has the loop keep account of the version vector that it acts under; nil: it does not.
	Acting *Acting
	// Before is the last figures of an engine before in this process, to be counted on from; nil if there was none.
	Before *Figures
	// Finals by the front that took a message; the one under "" takes what no other does.
	Finals map[string]Finals
}

// Engine is the loop between fronts and backs. Its loop owns the Forwarder and
// the journal: nothing else touches them. It never waits for the network.
type Engine struct {
	module  *decide.Forwarder
	journal *journal.Journal
	back    Back
	resumer Resumer
	finals  map[string]Finals
	clock   time.Time
	inbox   chan any
	done    chan struct{}

	classes   map[string]decide.Class
	waits     waits
	dests     map[int]bool // those that discovery has ever named: one exists while its targets are away
	entries   map[string]*entry
	events    []decide.Event
	arrived   []*entry // in this round
	shares    intake.Shares
	caps      intake.Caps
	limits    func(class string, destination int, route string) Limits
	ended     func(Ending)
	holds     func(destination int, begins bool)
	steps     func(time.Duration, []decide.Event, []decide.Action)
	effects   []func() // after the journal has been written
	waiting   []batch  // until it has been synced, where that is promised
	syncing   bool
	syncEvery time.Duration
	counts    counts
	acting    acting
	wake      *time.Timer
	finishing bool
	leaving   *leaving // it hands over
	empty     bool
	idle      chan struct{} // closed when finishing with nothing left
}

// New makes an Engine. The error names the setting that is impossible.
func New(c Config) (*Engine, error) {
	m, err := decide.New(c.Settings)
	if err != nil {
		return nil, err
	}
	l := &Engine{module: m, journal: c.Journal, back: c.Back, resumer: c.Resumer, finals: c.Finals, clock: time.Now(), syncEvery: c.SyncEvery, limits: c.Limits, ended: c.Ended, holds: c.Holding, steps: c.Steps,
		inbox: make(chan any, mailbox), done: make(chan struct{}), idle: make(chan struct{}),
		classes: map[string]decide.Class{}, dests: map[int]bool{},
		entries: map[string]*entry{}, wake: time.NewTimer(time.Hour)}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	l.counts.init(c.Figures, c.Settings.Classes, c.Before)
	l.acting.init(c.Acting)
	l.waits.init(c.Settings.Kinds, l.clock, l.fenced())
	return l, nil
}

// tell hands the loop something, unless it has ended.
func (l *Engine) tell(v any) {
	select {
	case l.inbox <- v:
	case <-l.done:
	}
}

// answers are channels for one reply each; one that may still get its reply does not come back.
var answers = sync.Pool{New: func() any { return make(chan reply, 1) }}

// Take takes a message on or turns it away. It waits until that is decided,
// which is soon: the loop waits for nothing outside.
func (l *Engine) Take(m *message.Message) Answer {
	answer := answers.Get().(chan reply)
	l.tell(arrival{m, answer})
	var a reply
	select {
	case a = <-answer:
		answers.Put(answer)
	case <-l.done:
		// The loop may have taken the message on just before it ended. To refuse it then would let the
		// client hand it in again beside the copy that the next start takes from the journal.
		select {
		case a = <-answer:
		default:
			a = reply{Answer: refused(0)}
		}
	}
	if a.entry != nil {
		a.Written = func(ok bool) { l.tell(ackWritten{a.entry, ok}) }
	}
	return a.Answer
}

// List tells what a source of servers has told.
func (l *Engine) List(v List) { l.tell(v) }

// ListWithin does so and waits until it binds, for so long at most. Lists bind in the order in which they are told.
func (l *Engine) ListWithin(v List, limit time.Duration) bool {
	bound := make(chan struct{})
	l.tell(listed{v, bound})
	select {
	case <-bound:
		return true
	case <-time.After(limit):
		return false
	}
}

// Heard tells that the final answers of these messages have arrived.
func (l *Engine) Heard(ids []string) { l.tell(heard{ids}) }

// Stopping tells that the process ends after this time.
func (l *Engine) Stopping(left time.Duration) { l.tell(decide.Stopping{Left: left}) }

// Finish tells that no message comes any more.
func (l *Engine) Finish() { l.tell(finish{}) }

// Idle is closed once Finish has been called and nothing is held any more.
func (l *Engine) Idle() <-chan struct{} { return l.idle }

func refused(wait time.Duration) Answer { return Answer{Kind: Refused, Wait: wait} }
func rejected(why string) Answer        { return Answer{Kind: Rejected, Why: why} }

// Recover hands the module the lists given, oldest first, and what the journal
// held. It comes before Run.
func (l *Engine) Recover(lists ...List) {
	for _, v := range lists {
		l.list(v)
	}
	for _, m := range l.held() {
		l.events = append(l.events, m)
	}
	if n := len(l.entries); n > 0 {
		slog.Info("taken up from the journal", "messages", n)
	}
	l.acting.start(ledger.Start)
}

// held takes up what the journal holds, and returns what the module is to know of it.
func (l *Engine) held() (list []decide.Message) {
	now := time.Now()
	for _, s := range l.journal.Held() {
		e := &entry{saved: s, acked: true}
		l.keep(e)
		if s.End != 0 {
			l.notify(e)
			continue
		}
		l.taken(e)
		list = append(list, decide.Message{ID: s.ID, Class: s.Class, Destination: s.Dest,
			Left: s.Deadline.Sub(now), Among: among(s.Extras), Route: s.Extras.Took(), Recovered: true, Attempts: s.Attempts, Open: s.Open, MayHaveRun: s.Ran()})
	}
	return list
}

// Run carries events to the module until ctx ends. An error means that the
// journal can't be kept: then nothing more may be taken on.
func (l *Engine) Run(ctx context.Context) error {
	defer close(l.done)
	var sync <-chan time.Time
	if l.journal.Durability() == journal.Interval && l.syncEvery > 0 {
		t := time.NewTicker(l.syncEvery)
		defer t.Stop()
		sync = t.C
	}
	var figures <-chan time.Time
	if l.counts.on {
		t := time.NewTicker(publishWithin)
		defer t.Stop()
		figures = t.C
	}
	beat, stop := l.acting.beat()
	defer stop()
	defer func() { l.publish(time.Now(), true) }()
	if l.acting.out != "" { // before whatever the first Step decides
		l.events = slices.Insert(l.events, 0, decide.Event(decide.ShutOut{On: true}))
	}
	for {
		if err := l.round(ctx); err != nil {
			return err
		}
		l.publish(time.Now(), false)
		if len(l.events) > 0 {
			continue // what could not be carried out is told at once
		}
		if l.leaving != nil && l.home() {
			return l.left()
		}
		if l.finishing && len(l.entries) == 0 && !l.empty {
			l.empty = true
			close(l.idle)
		}
		select {
		case <-ctx.Done():
			l.rest()
			return l.settle()
		case <-sync:
			l.sync()
		case <-figures: // what time alone has changed, too
			l.publish(time.Now(), true)
			continue
		case <-beat:
			l.lookAwake()
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
func (l *Engine) rest() {
	for len(l.inbox) > 0 {
		switch v := (<-l.inbox).(type) {
		case callEnded:
			l.callEnded(v)
		case heard:
			l.heard(v)
		case arrival:
			v.answer <- reply{Answer: refused(0)}
		}
	}
}

// settle makes the journal's end as durable as the rest, and lets what waited for that show outside.
func (l *Engine) settle() error {
	if err := l.journal.Flush(); err != nil {
		return err
	}
	written, sync := l.journal.Unsynced()
	var err error
	if sync != nil {
		err = sync()
	}
	return l.synced(written, err)
}

// sync has a goroutine sync what is written, unless one does, or nothing is to be synced.
func (l *Engine) sync() {
	if l.syncing {
		return
	}
	if written, sync := l.journal.Unsynced(); sync != nil {
		l.syncing = true
		go func() { l.tell(syncEnded{written, sync()}) }()
	}
}

// synced lets what waited for a sync show outside.
func (l *Engine) synced(written int64, err error) error {
	if err := l.journal.Synced(written, err); err != nil {
		return err
	}
	n := 0
	for ; n < len(l.waiting) && l.journal.Covered(l.waiting[n].written); n++ {
		for _, do := range l.waiting[n].effects {
			do()
		}
	}
	l.waiting = slices.Delete(l.waiting, 0, n)
	if len(l.waiting) > 0 {
		l.sync()
	}
	return nil
}

func (l *Engine) receive(ctx context.Context, v any) error {
	switch v := v.(type) {
	case arrival:
		return l.arrive(v)
	case ackWritten:
		l.acked(ctx, v)
	case callEnded:
		l.callEnded(v)
		l.acting.toldToWait(&v.outcome, time.Now())
		l.acting.ended(&v.outcome)
		l.events = append(l.events, v.outcome)
	case heard:
		l.heard(v)
	case List:
		l.list(v)
	case listed:
		l.list(v.List)
		close(v.bound)
	case changed:
		l.change(v)
	case evicted:
		l.evict(v)
	case asleep:
		l.lookAwake()
	case peerWaits:
		for _, w := range v {
			l.events = append(l.events, w)
		}
	case loadAsked:
		l.tellLoad(v)
	case confirmed:
		l.confirmed(ctx, v)
	case finish:
		l.finishing = true
	case detach:
		l.detach(v)
	case cutOff:
		l.cutOff()
	case carried:
		l.carried(v)
	case syncEnded:
		l.syncing = false
		return l.synced(v.written, v.err)
	case decide.Stopping:
		l.events = append(l.events, v)
	}
	return nil
}

func (l *Engine) list(v List) {
	if v.Version != nil {
		l.acting.change(*v.Version)
	}
	l.back.List(v)
	event := l.targets(v)
	l.acting.listed(&event)
	l.events = append(l.events, event)
}

// targets is a list as the module is told it.
func (l *Engine) targets(v List) decide.TargetList {
	event := decide.TargetList{Scope: v.Scope, Targets: make([]decide.Target, len(v.Endpoints))}
	for i, e := range v.Endpoints {
		l.dests[e.Destination] = true
		event.Targets[i] = e.Target
	}
	if v.Scope != decide.Unavailable {
		l.waits.list(event.Targets, v.Scope != decide.Changes)
	}
	return event
}

func (l *Engine) arrive(a arrival) error {
	m := a.msg
	turnAway := func(answer Answer) {
		l.countAway(m.Class, answer.Kind)
		a.answer <- reply{Answer: answer}
	}
	class, known := l.classes[m.Class]
	switch e := l.entries[m.ID]; {
	case e != nil && e.acked: // handed in twice: it is held already
		turnAway(Answer{Kind: Taken})
		return nil
	case e != nil: // whether that one is taken on is still open, and not for this client to say
		turnAway(rejected("handed in twice at once"))
		return nil
	// What can't be delivered is not refused: that asks the client to come again.
	case !known:
		turnAway(rejected("unknown class"))
		return nil
	case !l.dests[m.Destination]:
		turnAway(rejected("unknown destination"))
		return nil
	}
	left, limits := min(m.Left, class.Deadline), Limits{}
	if l.limits != nil {
		limits = l.limits(m.Class, m.Destination, m.Extras.Took())
	}
	if limits.Whole > 0 {
		left = min(left, limits.Whole)
	}
	s := &journal.Saved{ID: m.ID, Origin: m.Origin, Class: m.Class, Dest: m.Destination, Body: m.Body, Extras: m.Extras,
		Deadline: m.Read.Add(left - intakeSlack)}
	if limits.Held > 0 && !l.caps.Admits(intake.Cap{Rule: limits.Rule, Destination: m.Destination}, limits.Held) {
		turnAway(refused(diskWait))
		return nil
	}
	if !l.shares.Admits(m.Destination, s.Cost(), l.journal.Full(), len(l.dests)) {
		turnAway(refused(diskWait))
		return nil
	}
	room, err := l.journal.Reserve(s.Size())
	if err != nil {
		return err
	}
	if !room {
		turnAway(refused(diskWait))
		l.events = append(l.events, decide.Crowded{})
		return nil
	}
	e := &entry{answer: a.answer, saved: s}
	l.keep(e)
	l.arrived = append(l.arrived, e)
	l.events = append(l.events, decide.Message{ID: m.ID, Class: m.Class, Destination: m.Destination,
		Left: time.Until(s.Deadline), Again: m.Again, Repeat: m.Repeat, Among: among(m.Extras), Route: m.Extras.Took()})
	return nil
}

// among is what the module is told of a message's endpoints.
func among(x *message.Extras) *decide.Among {
	if x == nil || len(x.Only)+len(x.Prefer) == 0 {
		return nil
	}
	return &decide.Among{Only: x.Only, Prefer: x.Prefer}
}

// acked goes on with what waited until the client had its +OK.
func (l *Engine) acked(ctx context.Context, a ackWritten) {
	e := a.entry
	if e.acked || l.entries[e.saved.ID] != e {
		return
	}
	e.acked = true
	switch {
	case !a.ok: // the client will hand it in again: nothing is owed
		l.unsendPending(e)
		l.endedAs(e, func(t *Tally) { t.Withdrawn++ })
		l.events = append(l.events, decide.Withdrawn{Message: e.saved.ID})
		l.forget(e)
	case e.saved.End != 0:
		l.notify(e)
	default:
		pending := e.pending
		e.pending = nil
		for _, s := range pending {
			l.send(ctx, s)
		}
	}
}

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
	l.journal.Sending(e.saved.ID)
	l.journal.Outcome(e.saved.ID, false)
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
	if o.Over {
		for _, c := range e.calls { // a second copy serves nobody any more
			c.cancel(nil)
		}
		if o.Result == decide.Done {
			l.tellEnd(e, "delivered")
			l.endedAs(e, func(t *Tally) { t.Fulfilled++ })
		}
		l.endedAs(e, func(t *Tally) { t.Withdrawn++ })
		l.forget(e)
	} else {
		l.journal.Outcome(o.Message, !neverRan(o.Result))
	}
}

func (l *Engine) heard(h heard) {
	for _, id := range h.ids {
		if e := l.entries[id]; e != nil {
			l.forget(e)
		}
	}
}

func (l *Engine) keep(e *entry) {
	l.entries[e.saved.ID] = e
	e.cost = e.saved.Cost()
	l.shares.Add(e.saved.Dest, e.cost)
	l.holding(e.saved.Dest, true)
	if l.limits == nil {
		return
	}
	if i := l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.Took()); i.Held > 0 {
		e.cap = intake.Cap{Rule: i.Rule, Destination: e.saved.Dest}
		l.caps.Add(e.cap, 1)
	}
}

func (l *Engine) leave(e *entry) {
	delete(l.entries, e.saved.ID)
	l.shares.Add(e.saved.Dest, -e.cost)
	l.holding(e.saved.Dest, false)
	if e.cap.Rule != "" {
		l.caps.Add(e.cap, -1)
	}
}

// forget closes a message for which nothing is owed any more.
func (l *Engine) forget(e *entry) {
	l.journal.Closed(e.saved.ID)
	l.leave(e)
}

// round makes one Step and does what it decides, in this order: the journal
// is written before anything that it records can be seen outside.
func (l *Engine) round(ctx context.Context) error {
	events := l.events
	l.events = nil
	now := time.Since(l.clock)
	actions := l.module.Step(now, events)
	if l.steps != nil {
		l.steps(now, events, actions)
	}
	for _, a := range actions {
		l.act(ctx, a)
	}
	for _, e := range l.arrived {
		if e.answer == nil {
			continue // turned away in this Step
		}
		if err := l.journal.Accepted(e.saved); err != nil {
			return err
		}
		answer := e.answer
		e.answer = nil
		l.taken(e)
		l.effects = append(l.effects, func() { answer <- reply{Answer{Kind: Taken}, e} })
	}
	clear(l.arrived)
	l.arrived = l.arrived[:0]
	if err := l.journal.Flush(); err != nil {
		return err
	}
	if l.journal.Durability() == journal.Group && len(l.effects) > 0 {
		l.waiting = append(l.waiting, batch{l.journal.Written(), l.effects})
		l.effects = nil
		return l.synced(0, nil)
	}
	for _, do := range l.effects {
		do()
	}
	clear(l.effects)
	l.effects = l.effects[:0]
	return nil
}

func (l *Engine) act(ctx context.Context, a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		if e := l.entries[a.Message]; e != nil {
			e.sendBy = time.Time{}
			if a.Within > 0 {
				e.sendBy = time.Now().Add(a.Within)
			}
		}
		l.send(ctx, a)
	case decide.Refuse:
		l.end(a.Message, 'b', a.Wait)
	case decide.Fail:
		l.end(a.Message, 'd', 0)
	case decide.Cancel:
		l.callOff(a)
	case decide.CloseIdle:
		if c := l.back.Endpoint(a.Target); c != nil {
			l.effects = append(l.effects, c.CloseIdle)
		}
	case decide.Wake:
		l.wake.Reset(a.After)
	case decide.Subscribe: // the watch is always on
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
	if !e.acked || l.acting.closed() { // what is fenced waits, too
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
	l.journal.Sending(s.Message)
	call, cancel := context.WithCancelCause(ctx)
	_, portable := to.(Portable)
	slot := l.acting.begin(s.Target)
	e.calls = append(e.calls, out{n, cancel, portable, slot})
	try, decided := Attempt{ID: s.Message, Class: e.saved.Class, Destination: e.saved.Extras.Asked(e.saved.Dest), Number: n,
		Body: e.saved.Body, Timeout: s.Timeout, Wrote: l.counts.wrote, Begin: l.waits.mayBeginElse}, time.Now()
	told := l.waits.of(s.Target)
	if told.began(); told != nil {
		try.Begin, try.Told = told.begin, told.tell
	}
	if !e.sendBy.IsZero() {
		try.Begin = beginsBy(e.sendBy, try.Begin)
	}
	if x := e.saved.Extras; x != nil {
		try.Header = x.Header
	}
	if l.limits != nil {
		try.Connect = l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.Took()).Connect
	}
	l.effects = append(l.effects, func() {
		if l.journal.Durability() == journal.Group { // it has waited for a sync
			try.Timeout = max(time.Millisecond, try.Timeout-time.Since(decided))
		}
		go func() { // little stack is used on the way to the call: to have it grow costs a tenth of a call
			keep := keeper{l: l, told: told, carried: carried{message: s.Message, endpoint: s.Target, attempt: n, slot: slot}}
			try.Keep = keep.keep
			if slot != nil {
				try.Wrote = keep.written
			}
			o := decide.Outcome{Result: decide.NotSent}
			if call.Err() == nil {
				o = to.Call(call, try)
			}
			keep.over(&o)
		}()
	})
}

// keeper tells the loop how a call ended, or that it is handed over.
type keeper struct {
	l    *Engine
	told *told
	carried
	wrote bool
}

func (k *keeper) keep(p *Pending) {
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
			l.effects = append(l.effects, func() { o.cancel(nil) })
		}
	}
	if n := c.Attempt - e.saved.Attempts; n >= 0 && n < len(e.pending) { // their numbers go on in order: all or none
		l.unsendPending(e)
	}
}

// end carries out a final answer: to the client that still waits for its first
// one, or else as a notice. The journal has it before the platform, so that no
// restart sends a message that its client may have handed in again.
func (l *Engine) end(id string, how byte, wait time.Duration) {
	e := l.entries[id]
	if e == nil || e.ended {
		return
	}
	e.ended = true
	if e.answer != nil {
		answer, text := e.answer, refused(wait)
		if how == 'd' {
			text = rejected("failed")
		}
		l.countAway(e.saved.Class, text.Kind)
		e.answer = nil
		l.journal.Release(e.saved.Size())
		l.leave(e)
		l.effects = append(l.effects, func() { answer <- reply{Answer: text} })
		return
	}
	e.saved.End, e.saved.Wait = how, wait
	if how == 'd' {
		l.tellEnd(e, "failed")
		l.endedAs(e, func(t *Tally) { t.Faulted++ })
	} else {
		l.tellEnd(e, "refused")
		l.endedAs(e, func(t *Tally) { t.HandedBack++ })
	}
	l.journal.Ended(id, how, wait)
	if e.acked {
		l.notify(e)
	}
}

func (l *Engine) tellEnd(e *entry, how string) {
	if l.ended != nil {
		l.ended(Ending{e.saved.ID, e.saved.Class, e.saved.Extras.Asked(e.saved.Dest), how})
	}
}

// notify hands on the final answer that is owed, after the journal has been written.
func (l *Engine) notify(e *entry) {
	e.ended = true
	to := l.finals[e.saved.Origin]
	if to == nil { // its front is not set up any more
		to = l.finals[""]
	}
	f := Final{ID: e.saved.ID, Failed: e.saved.End == 'd', Wait: e.saved.Wait}
	l.effects = append(l.effects, func() { to.Final(f) })
}

// answered tells whether an outcome is an answer's, of a message that was written whole.
func answered(r decide.Result) bool {
	return r == decide.Done || r == decide.Rejected || r == decide.Errored || r == decide.Full || r == decide.NotSent
}

// neverRan tells whether an outcome proves that the attempt did not run.
func neverRan(r decide.Result) bool {
	return r == decide.Full || r == decide.ConnectFailed || r == decide.NotSent || r == decide.Rejected
}
