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
	intakeSlack        = 10 * time.Millisecond // the client's deadline started before its request was read
	storageRetryAfter  = time.Second           // retry-after time of messages refused at intake for lack of space
	inboxSize          = 1024
	maxEventsPerStep   = 256 // events per Step
	maxCallsPerMessage = 2   // calls in flight per message: the attempt and one hedged request
)

// Events of the loop's inbox, besides [List] and [decide.Stopping].
type (
	arrival struct { // a client submitted a message
		msg    *message.Message
		answer chan<- reply
	}
	ackWritten struct { // the client's +OK was written, or could not be written
		entry *entry
		ok    bool
	}
	callCompleted struct {
		outcome decide.Outcome
		slot    *ledger.CallCounter
		written bool       // the message was completely written
		wait    *routeWait // retry-after state of its route; nil if the endpoint was never listed
	}
	acknowledged struct{ ids []string } // messages whose completion notices have arrived
	listUpdate   struct {               // a list, and a channel that is closed once the list is in force
		List
		applied chan<- struct{}
	}
	finish        struct{} // no further client will submit a message
	versionChange struct { // a change of the version vector that is not just a list
		version.Change
		do      func() // carried out with it, on the loop; may be nil
		list    *List  // applied with it; may be nil
		applied chan<- struct{}
	}
	syncCompleted struct { // everything up to this offset is synced, or the sync failed
		written int64
		err     error
	}
)

// Config configures an Engine.
type Config struct {
	Settings decide.Settings
	Journal  *journal.Journal // owned by the engine from now on
	Back     Back
	// Resumer resumes in-flight calls of another process, whatever Back consists of; nil if calls are never handed over.
	Resumer Resumer
	// SyncEvery is the sync interval of a journal with durability Interval.
	SyncEvery time.Duration
	// Limits returns the limits for a class and destination, and for a route if its name is not empty; nil for none.
	Limits func(class string, destination int, route string) Limits
	// OnOutcome, if not nil, receives the outcome of each accepted message that is not withdrawn. The loop calls it: it must not block.
	OnOutcome func(MessageOutcome)
	// OnQueueChange, if not nil, is called when a message for a destination enters or leaves the queue. The loop calls it: it must not block.
	OnQueueChange func(destination int, added bool)
	// OnStep, if not nil, receives each Step of the Forwarder. The loop calls it: it must not block.
	OnStep func(now time.Duration, events []decide.Event, actions []decide.Action)
	// PublishStats enables the statistics that Engine.Stats returns.
	PublishStats bool
	// Accounting records the version vector that the loop acts under; nil if it is not recorded.
	Accounting *Accounting
	// PreviousStats are the last statistics of a previous engine in this process, from which counting continues; nil if there was none.
	PreviousStats *Stats
	// CompletionNotifiers are keyed by the front that submitted the message; the one under "" is the default.
	CompletionNotifiers map[string]CompletionNotifier
}

// Engine is the event loop between fronts and backs. The loop owns the Forwarder and
// the journal: nothing else touches them. It never blocks on the network.
type Engine struct {
	forwarder *decide.Forwarder
	journal   *journal.Journal
	back      Back
	resumer   Resumer
	notifiers map[string]CompletionNotifier
	clock     time.Time
	inbox     chan any
	done      chan struct{}

	classes        map[string]decide.Class
	routeWaits     routeWaits
	addressOwners  addressOwners
	destinations   map[int]bool // every destination that discovery has ever listed: it stays known while it has no endpoints
	entries        map[string]*entry
	notRepeatable  int // entries of classes whose messages must not run twice
	events         []decide.Event
	arrived        []*entry // accepted in this Step unless the Forwarder refuses them
	fairShare      intake.FairShare
	caps           intake.Caps
	limits         func(class string, destination int, route string) Limits
	onOutcome      func(MessageOutcome)
	onQueueChange  func(destination int, added bool)
	onStep         func(time.Duration, []decide.Event, []decide.Action)
	effects        []effect // to run once the journal has been written
	awaitingSync   []batch  // effects that need a journal sync first, with durability Group
	journalFailure journalFailure
	// journalFailingSince publishes journalFailure.since to other goroutines; nil for zero.
	journalFailingSince atomic.Pointer[time.Time]
	syncing             bool
	syncEvery           time.Duration
	counters            counters
	accounting          accounting
	wakeTimer           *time.Timer
	finishing           bool
	detaching           *detachState // set while it hands over to another process
	drained             bool
	idle                chan struct{} // closed once finishing is set and no message is left
}

// New makes an Engine. The error names the setting that is invalid.
func New(c Config) (*Engine, error) {
	forwarder, err := decide.New(c.Settings)
	if err != nil {
		return nil, err
	}
	l := &Engine{forwarder: forwarder, journal: c.Journal, back: c.Back, resumer: c.Resumer, notifiers: c.CompletionNotifiers, clock: time.Now(), syncEvery: c.SyncEvery, limits: c.Limits, onOutcome: c.OnOutcome, onQueueChange: c.OnQueueChange, onStep: c.OnStep,
		inbox: make(chan any, inboxSize), done: make(chan struct{}), idle: make(chan struct{}),
		classes: map[string]decide.Class{}, destinations: map[int]bool{},
		entries: map[string]*entry{}, wakeTimer: time.NewTimer(time.Hour), journalFailure: newJournalFailure()}
	for _, class := range c.Settings.Classes {
		l.classes[class.Name] = class
	}
	l.counters.init(c.PublishStats, c.Settings.Classes, c.PreviousStats)
	l.accounting.init(c.Accounting)
	l.routeWaits.init(c.Settings.Kinds, l.clock, l.fenceCheck())
	l.addressOwners.init()
	return l, nil
}

// post sends an event to the loop, unless the loop has ended.
func (l *Engine) post(v any) {
	select {
	case l.inbox <- v:
	case <-l.done:
	}
}

// UpdateEndpoints reports a list from a source of endpoints.
func (l *Engine) UpdateEndpoints(v List) { l.post(v) }

// UpdateEndpointsAndWait does the same and waits until the list is in force, up to the limit; it reports whether it is. Lists take effect in the order
// in which they are reported.
func (l *Engine) UpdateEndpointsAndWait(v List, limit time.Duration) bool {
	applied := make(chan struct{})
	l.post(listUpdate{v, applied})
	select {
	case <-applied:
		return true
	case <-time.After(limit):
		return false
	}
}

// Acknowledge reports that the completion notices of these messages have arrived.
func (l *Engine) Acknowledge(ids []string) { l.post(acknowledged{ids}) }

// NotifyStopping reports that the process ends after this time.
func (l *Engine) NotifyStopping(left time.Duration) { l.post(decide.Stopping{TimeLeft: left}) }

// Finish reports that no further message will be submitted.
func (l *Engine) Finish() { l.post(finish{}) }

// Idle returns a channel that is closed once Finish has been called and no message is queued.
func (l *Engine) Idle() <-chan struct{} { return l.idle }

// Recover passes the lists, oldest first, and the messages in the journal to the
// Forwarder. It must be called before Run.
func (l *Engine) Recover(lists ...List) {
	for _, v := range lists {
		l.applyList(v)
	}
	for _, m := range l.recoverMessages() {
		l.events = append(l.events, m)
	}
	if n := len(l.entries); n > 0 {
		slog.Info("messages recovered from the journal", "messages", n)
	}
	l.accounting.start(ledger.CauseStart)
}

// recoverMessages creates the entries for the messages in the journal and returns those that the Forwarder must still deliver.
func (l *Engine) recoverMessages() (list []decide.Message) {
	now := time.Now()
	for _, s := range l.journal.Queued() {
		if l.journal.Completed(s.ID) == journal.Delivered { // the process before was killed between the records of its ID and its end
			l.journal.RecordClosed(s.ID)
			continue
		}
		e := &entry{saved: s, acked: true, attempts: s.Attempts}
		l.enqueue(e)
		if s.Completion != 0 {
			l.addNotice(e)
			continue
		}
		l.countAccepted(e)
		list = append(list, decide.Message{ID: s.ID, Class: s.Class, Destination: s.Dest,
			TimeLeft: s.Deadline.Sub(now), Filter: among(s.Extras), Route: s.Extras.RouteName(), Recovered: true, Attempts: s.Attempts, HasOpenAttempt: s.InFlight, MayHaveRun: s.PossiblyRan()})
	}
	return list
}

// Run passes events to the Forwarder until ctx is cancelled. An error means that the
// journal could not be completed: the next start treats attempts without a recorded
// outcome as sent.
func (l *Engine) Run(ctx context.Context) error {
	defer close(l.done)
	var syncTicks <-chan time.Time
	if l.journal.Durability() == journal.Interval && l.syncEvery > 0 {
		t := time.NewTicker(l.syncEvery)
		defer t.Stop()
		syncTicks = t.C
	}
	var publishTicks <-chan time.Time
	if l.counters.enabled {
		t := time.NewTicker(maxStatsAge)
		defer t.Stop()
		publishTicks = t.C
	}
	renewalTicks, stop := l.accounting.renewals()
	defer stop()
	defer func() { l.publishStats(time.Now(), true) }()
	if l.accounting.fencedOff != "" { // ahead of the events of the first Step
		l.events = slices.Insert(l.events, 0, decide.Event(decide.Fenced{On: true}))
	}
	for {
		l.step(ctx)
		l.publishStats(time.Now(), false)
		if len(l.events) > 0 {
			continue // report at once what could not be carried out
		}
		if l.detaching != nil && l.callsCompleted() {
			return l.handOver()
		}
		if l.finishing && len(l.entries) == 0 && !l.drained {
			l.drained = true
			close(l.idle)
		}
		select {
		case <-ctx.Done():
			l.drainInbox(ctx)
			return l.flushAndSync()
		case <-syncTicks:
			l.startSync()
		case <-publishTicks: // also covers changes by the passage of time alone
			l.publishStats(time.Now(), true)
			continue
		case <-renewalTicks:
			l.renewLease()
		case <-l.journalFailure.timer.C:
			l.checkJournal(ctx)
		case v := <-l.inbox:
			l.receive(ctx, v)
		case <-l.wakeTimer.C:
			l.events = append(l.events, decide.Woken{})
		}
		for n := 1; n < maxEventsPerStep && len(l.inbox) > 0; n++ {
			l.receive(ctx, <-l.inbox)
		}
	}
}

// drainInbox records outcomes and acknowledgements that came too late for the Forwarder, and refuses messages that did.
func (l *Engine) drainInbox(ctx context.Context) {
	for len(l.inbox) > 0 {
		switch v := (<-l.inbox).(type) {
		case callCompleted:
			l.completeCall(ctx, v)
		case sendingRequest:
			v.permitted <- false
		case acknowledged:
			l.acknowledge(v)
		case arrival:
			v.answer <- reply{Answer: refused(0)}
		}
	}
}

func (l *Engine) receive(ctx context.Context, v any) {
	switch v := v.(type) {
	case arrival:
		l.admit(v)
	case ackWritten:
		l.handleAck(ctx, v)
	case sendingRequest:
		l.permitSending(v)
	case callCompleted:
		l.completeCall(ctx, v)
		l.accounting.recordRetryAfter(&v.outcome, time.Now())
		l.accounting.recordFailure(&v.outcome)
		l.events = append(l.events, v.outcome)
	case acknowledged:
		l.acknowledge(v)
	case List:
		l.applyList(v)
	case listUpdate:
		l.applyList(v.List)
		close(v.applied)
	case versionChange:
		l.applyChange(v)
	case eviction:
		l.evict(v)
	case suspended:
		l.renewLease()
	case peerWaits:
		for _, w := range v {
			l.events = append(l.events, w)
		}
	case loadRequest:
		l.answerLoad(v)
	case fenceReopening:
		l.reopenFence(ctx, v)
	case finish:
		l.finishing = true
	case detach:
		l.detach(v)
	case cancelRemaining:
		l.cancelRemaining()
	case handedOver:
		l.recordHandover(v)
	case syncCompleted:
		l.syncing = false
		l.completeSync(v.written, v.err)
	case decide.Stopping:
		l.events = append(l.events, v)
	}
}

func (l *Engine) applyList(v List) {
	if v.Version != nil {
		l.accounting.recordChange(*v.Version)
	}
	event := l.updateBack(v)
	l.accounting.recordList(&event)
	l.events = append(l.events, event)
}

// updateBack applies a list to the back, and returns it as an event for the Forwarder.
func (l *Engine) updateBack(v List) decide.TargetList {
	v = l.addressOwners.resolve(v)
	l.back.UpdateEndpoints(v)
	return l.targetList(v)
}

// targetList records the destinations and retry-after state of a list and returns the list as an event for the Forwarder.
func (l *Engine) targetList(v List) decide.TargetList {
	event := decide.TargetList{Scope: v.Scope, Targets: make([]decide.Target, len(v.Endpoints))}
	for i, e := range v.Endpoints {
		l.destinations[e.Destination] = true
		event.Targets[i] = e.Target
	}
	if v.Scope != decide.Unavailable {
		l.routeWaits.update(event.Targets, v.Scope != decide.Delta)
	}
	return event
}

// step makes one Step and carries out its actions. It writes the journal before any
// effect that the journal records becomes visible outside.
func (l *Engine) step(ctx context.Context) {
	events := l.events
	l.events = nil
	now := time.Since(l.clock)
	actions := l.forwarder.Step(now, events)
	if l.onStep != nil {
		l.onStep(now, events, actions)
	}
	for _, a := range actions {
		l.perform(ctx, a)
	}
	for _, e := range l.arrived {
		if e.answer == nil {
			continue // refused in this Step
		}
		l.journal.RecordAccepted(e.saved) // Flush reports the same error
		answer := e.answer
		e.answer, e.unconfirmed = nil, answer
		l.countAccepted(e)
		l.addEffect(effectAccept, e, func() {
			e.unconfirmed = nil
			answer <- reply{Answer{Kind: Accepted}, e}
		})
	}
	clear(l.arrived)
	l.arrived = l.arrived[:0]
	if err := l.journal.Flush(); err != nil {
		l.journalFailed(err)
		return
	}
	if l.journal.Durability() != journal.Group {
		l.runEffects()
		return
	}
	if l.runFreeEffects(); len(l.effects) > 0 {
		l.awaitingSync = append(l.awaitingSync, batch{l.journal.SyncTarget(), l.effects})
		l.effects = nil
		l.completeSync(0, nil)
	}
}

func (l *Engine) perform(ctx context.Context, a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		if e := l.entries[a.Message]; e != nil {
			e.sendBy = time.Time{}
			if a.StartWithin > 0 {
				e.sendBy = time.Now().Add(a.StartWithin)
			}
		}
		l.send(ctx, pendingAttempt{a, l.back.Endpoint(a.Target)})
	case decide.Refuse:
		l.completeUndelivered(a.Message, 'b', a.RetryAfter)
	case decide.Fail:
		l.completeUndelivered(a.Message, 'd', 0)
	case decide.Cancel:
		l.cancelAttempt(a)
	case decide.CloseIdle:
		if c := l.back.Endpoint(a.Target); c != nil {
			l.addEffect(effectFree, nil, c.CloseIdle)
		}
	case decide.Wake:
		l.wakeTimer.Reset(a.After)
	case decide.Subscribe: // the subscription is always active
	}
}
