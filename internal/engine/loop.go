package engine

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
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
	// OnOutcome is told of each message that was taken on and is over, by the loop: it must not wait. nil if nobody asks.
	OnOutcome func(MessageOutcome)
	// OnQueueChange is called by the loop, which it must not have wait, as it begins and ends to hold a message for a destination. nil if nobody asks.
	OnQueueChange func(destination int, begins bool)
	// OnStep is shown each step of the module, by the loop: it must not wait. nil if nobody asks.
	OnStep func(now time.Duration, events []decide.Event, actions []decide.Action)
	// PublishStats has the figures published for Engine.PublishStats.
	PublishStats bool
	// Accounting has the loop keep account of the version vector that it acts under; nil: it does not.
	Accounting *Accounting
	// PreviousStats is the last figures of an engine before in this process, to be counted on from; nil if there was none.
	PreviousStats *Stats
	// CompletionNotifiers by the front that took a message; the one under "" takes what no other does.
	CompletionNotifiers map[string]CompletionNotifier
}

// Engine is the loop between fronts and backs. Its loop owns the Forwarder and
// the journal: nothing else touches them. It never waits for the network.
type Engine struct {
	module  *decide.Forwarder
	journal *journal.Journal
	back    Back
	resumer Resumer
	finals  map[string]CompletionNotifier
	clock   time.Time
	inbox   chan any
	done    chan struct{}

	classes map[string]decide.Class
	waits   waits
	dests   map[int]bool // those that discovery has ever named: one exists while its targets are away
	entries map[string]*entry
	events  []decide.Event
	arrived []*entry // in this round
	shares  intake.FairShare
	caps    intake.Caps
	limits  func(class string, destination int, route string) Limits
	ended   func(MessageOutcome)
	holds   func(destination int, begins bool)
	steps   func(time.Duration, []decide.Event, []decide.Action)
	effects []effect // after the journal has been written
	waiting []batch  // until it has been synced, where that is promised
	failing failing
	// failingSince is failing.since, for other goroutines; nil for zero.
	failingSince atomic.Pointer[time.Time]
	syncing      bool
	syncEvery    time.Duration
	counts       counts
	acting       acting
	wake         *time.Timer
	finishing    bool
	leaving      *leaving // it hands over
	empty        bool
	idle         chan struct{} // closed when finishing with nothing left
}

// New makes an Engine. The error names the setting that is impossible.
func New(c Config) (*Engine, error) {
	m, err := decide.New(c.Settings)
	if err != nil {
		return nil, err
	}
	l := &Engine{module: m, journal: c.Journal, back: c.Back, resumer: c.Resumer, finals: c.CompletionNotifiers, clock: time.Now(), syncEvery: c.SyncEvery, limits: c.Limits, ended: c.OnOutcome, holds: c.OnQueueChange, steps: c.OnStep,
		inbox: make(chan any, mailbox), done: make(chan struct{}), idle: make(chan struct{}),
		classes: map[string]decide.Class{}, dests: map[int]bool{},
		entries: map[string]*entry{}, wake: time.NewTimer(time.Hour), failing: newFailing()}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	l.counts.init(c.PublishStats, c.Settings.Classes, c.PreviousStats)
	l.acting.init(c.Accounting)
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

// UpdateEndpoints tells what a source of servers has told.
func (l *Engine) UpdateEndpoints(v List) { l.tell(v) }

// UpdateEndpointsAndWait does so and waits until it binds, for so long at most. Lists bind in the order in which they are told.
func (l *Engine) UpdateEndpointsAndWait(v List, limit time.Duration) bool {
	bound := make(chan struct{})
	l.tell(listed{v, bound})
	select {
	case <-bound:
		return true
	case <-time.After(limit):
		return false
	}
}

// Acknowledge tells that the final answers of these messages have arrived.
func (l *Engine) Acknowledge(ids []string) { l.tell(heard{ids}) }

// NotifyStopping tells that the process ends after this time.
func (l *Engine) NotifyStopping(left time.Duration) { l.tell(decide.Stopping{TimeLeft: left}) }

// Finish tells that no message comes any more.
func (l *Engine) Finish() { l.tell(finish{}) }

// Idle is closed once Finish has been called and nothing is held any more.
func (l *Engine) Idle() <-chan struct{} { return l.idle }

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
	for _, s := range l.journal.Queued() {
		e := &entry{saved: s, acked: true}
		l.keep(e)
		if s.Completion != 0 {
			l.notify(e)
			continue
		}
		l.taken(e)
		list = append(list, decide.Message{ID: s.ID, Class: s.Class, Destination: s.Dest,
			TimeLeft: s.Deadline.Sub(now), Filter: among(s.Extras), Route: s.Extras.RouteName(), Recovered: true, Attempts: s.Attempts, HasOpenAttempt: s.InFlight, MayHaveRun: s.PossiblyRan()})
	}
	return list
}

// Run carries events to the module until ctx ends. An error means that the
// journal could not be kept to the end: what it lacks counts as sent at the next start.
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
		l.events = slices.Insert(l.events, 0, decide.Event(decide.Fenced{On: true}))
	}
	for {
		l.round(ctx)
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
			return l.settle(ctx)
		case <-sync:
			l.sync()
		case <-figures: // what time alone has changed, too
			l.publish(time.Now(), true)
			continue
		case <-beat:
			l.lookAwake()
		case <-l.failing.timer.C:
			l.lookAfterJournal(ctx)
		case v := <-l.inbox:
			l.receive(ctx, v)
		case <-l.wake.C:
			l.events = append(l.events, decide.Woken{})
		}
		for n := 1; n < drainMost && len(l.inbox) > 0; n++ {
			l.receive(ctx, <-l.inbox)
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

func (l *Engine) receive(ctx context.Context, v any) {
	switch v := v.(type) {
	case arrival:
		l.arrive(v)
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
		l.synced(ctx, v.written, v.err)
	case decide.Stopping:
		l.events = append(l.events, v)
	}
}

func (l *Engine) list(v List) {
	if v.Version != nil {
		l.acting.change(*v.Version)
	}
	l.back.UpdateEndpoints(v)
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
		l.waits.list(event.Targets, v.Scope != decide.Delta)
	}
	return event
}

// round makes one Step and does what it decides, in this order: the journal
// is written before anything that it records can be seen outside.
func (l *Engine) round(ctx context.Context) {
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
		l.journal.RecordAccepted(e.saved) // an error is Flush's, too
		answer := e.answer
		e.answer, e.revoked = nil, answer
		l.taken(e)
		l.add(effectAccept, e, func() {
			e.revoked = nil
			answer <- reply{Answer{Kind: Accepted}, e}
		})
	}
	clear(l.arrived)
	l.arrived = l.arrived[:0]
	if err := l.journal.Flush(); err != nil {
		l.journalFailed(ctx, err)
		return
	}
	if l.journal.Durability() == journal.Group && len(l.effects) > 0 {
		l.waiting = append(l.waiting, batch{l.journal.SyncTarget(), l.effects})
		l.effects = nil
		l.synced(ctx, 0, nil)
		return
	}
	l.showEffects()
}

func (l *Engine) act(ctx context.Context, a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		if e := l.entries[a.Message]; e != nil {
			e.sendBy = time.Time{}
			if a.StartWithin > 0 {
				e.sendBy = time.Now().Add(a.StartWithin)
			}
		}
		l.send(ctx, a)
	case decide.Refuse:
		l.end(a.Message, 'b', a.RetryAfter)
	case decide.Fail:
		l.end(a.Message, 'd', 0)
	case decide.Cancel:
		l.callOff(a)
	case decide.CloseIdle:
		if c := l.back.Endpoint(a.Target); c != nil {
			l.add(effectFree, nil, c.CloseIdle)
		}
	case decide.Wake:
		l.wake.Reset(a.After)
	case decide.Subscribe: // the watch is always on
	}
}
