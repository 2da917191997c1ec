package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/fence"
	"scaleroute/internal/ledger"
	"scaleroute/internal/load"
	"scaleroute/internal/version"
)

// The loop acts under one version vector at a time. What changes it comes by the mailbox like all else, and takes effect between two Steps: each
// decision is made under exactly one.

// Accounting is how the loop keeps account of that.
type Accounting struct {
	Vector version.Vector // at the start; lists that are told before the loop runs belong to it
	Ledger *ledger.Ledger // the loop's alone; nil: none is kept
	Fence  *fence.Fence   // nil: there is none
	Load   *load.Meter    // the loop's alone
	// FencedOff is why no call is to be begun from the first Step on; empty: they are.
	FencedOff string
	// OnSuspended is told by the loop that the process slept, and under which number to confirm that it may go on. It must not wait.
	OnSuspended func(epoch uint64, slept time.Duration)
}

// VersionStatus is what the loop acts under, as of one moment.
type VersionStatus struct {
	Seq         uint64         `json:"seq"` // of the ledger
	Cause       string         `json:"cause"`
	By          string         `json:"by,omitempty"`
	At          time.Time      `json:"at"`
	Vector      version.Vector `json:"vector"`
	FenceClosed bool           `json:"fenced"`
	FencedOff   string         `json:"shut_out,omitempty"` // why
}

// RetryAfter is a wait that a target told this forwarder itself.
type RetryAfter struct {
	Endpoint string
	Until    time.Time
}

// leastWait is the shortest that others hear of: a shorter one is over before they have.
const leastWait = time.Second

type (
	peerWaits []decide.PeerRetryAfter
	asleep    struct{}
	loadAsked struct{ answer chan *load.Snapshot }
	confirmed struct {
		epoch uint64
		cause string
	}
)

type acting struct {
	*Accounting
	now       version.Vector
	started   bool
	epoch     uint64 // of the sleep that was told last
	out       string // why no call is begun; empty: it is
	published atomic.Pointer[VersionStatus]
	waits     atomic.Pointer[[]RetryAfter]
}

func (a *acting) init(c *Accounting) {
	if c == nil {
		return
	}
	a.Accounting, a.now, a.out = c, c.Vector, c.FencedOff
	a.published.Store(&VersionStatus{Vector: a.now, FencedOff: a.out})
}

// start is the first entry, once what is known at the start has been told.
func (a *acting) start(cause string) {
	if a.Accounting == nil {
		return
	}
	a.started = true
	a.change(version.Change{Cause: cause})
}

// change goes on under another vector.
func (a *acting) change(c version.Change) {
	if a.Accounting == nil {
		return
	}
	if c.Apply != nil {
		c.Apply(&a.now)
	}
	if !a.started {
		return
	}
	now := ledger.Clock()
	a.Ledger.Change(c.Cause, c.By, now, a.now)
	a.published.Store(&VersionStatus{Seq: a.Ledger.Last().Seq, Cause: c.Cause, By: c.By, At: now, Vector: a.now, FenceClosed: a.closed(), FencedOff: a.out})
}

// begin counts a call that is about to be made.
func (a *acting) begin(target string) *ledger.Slot {
	if a.Accounting == nil {
		return nil
	}
	if a.Load != nil {
		a.Load.Call(target, time.Now())
	}
	if a.Ledger == nil {
		return nil
	}
	return a.Ledger.Begin(target, ledger.Clock())
}

func (a *acting) resume(c HandoverCall) *ledger.Slot {
	if a.Accounting == nil || c.LedgerSeq == 0 {
		return nil
	}
	return a.Ledger.Resume(c.LedgerSeq, c.Endpoint)
}

// closed tells whether the process slept and has not been confirmed since.
func (a *acting) closed() bool { return a.Accounting != nil && a.Fence != nil && a.Fence.Closed() }

// beat is when the lease is to be renewed.
func (a *acting) beat() (<-chan time.Time, func()) {
	if a.Accounting == nil || a.Fence == nil {
		return nil, func() {}
	}
	t := time.NewTicker(a.Fence.RenewInterval())
	return t.C, t.Stop
}

// fenced has calls ask before their first byte, and the loop told of a sleep that they find.
func (l *Engine) fenced() func() bool {
	if l.acting.Accounting == nil || l.acting.Fence == nil {
		return nil
	}
	f := l.acting.Fence
	return func() bool {
		if f.Check() {
			return true
		}
		l.tell(asleep{})
		return false
	}
}

// lookAwake renews the lease, or notes that the process slept.
func (l *Engine) lookAwake() {
	a := &l.acting
	epoch, slept := a.Fence.Renew()
	if epoch == 0 || epoch == a.epoch {
		return
	}
	a.epoch = epoch
	slog.Warn("this process slept: no call begins until discovery has been asked again", "slept", slept)
	a.change(version.Change{Cause: ledger.Slept})
	if a.OnSuspended != nil {
		a.OnSuspended(epoch, slept)
	}
}

// ReopenFence tells that what was known before a sleep has been asked for again, or why calls may begin all the same.
func (l *Engine) ReopenFence(epoch uint64, cause string) { l.tell(confirmed{epoch, cause}) }

func (l *Engine) confirmed(ctx context.Context, c confirmed) {
	a := &l.acting
	if a.Accounting == nil || a.Fence == nil || !a.Fence.Open(c.epoch) {
		return // it has slept again: that is confirmed on its own
	}
	slog.Info("calls begin again", "why", c.cause)
	a.change(version.Change{Cause: c.cause})
	l.sendAllPending(ctx)
}

// ApplyChange has something take effect between two Steps, as a change of the vector, with a list if there is one, and waits until it has, for so long at most.
func (l *Engine) ApplyChange(c version.Change, do func(), list *List, limit time.Duration) bool {
	done := make(chan struct{})
	l.tell(changed{c, do, list, done})
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	case <-time.After(limit):
		return false
	}
}

func (l *Engine) change(v changed) {
	if v.do != nil {
		v.do()
	}
	if v.list != nil {
		l.list(*v.list)
	}
	l.acting.change(v.Change)
	close(v.done)
}

// listed notes who serves from now on.
func (a *acting) listed(list *decide.TargetList) {
	if a.Accounting == nil || a.Load == nil {
		return
	}
	if list.Scope == decide.Snapshot {
		a.Load.Unlisted()
	}
	for _, t := range list.Targets {
		a.Load.Listed(t.ID, t.State == decide.Active, time.Now())
	}
}

// ended counts a call that came to nothing.
func (a *acting) ended(o *decide.Outcome) {
	if a.Accounting == nil || a.Load == nil {
		return
	}
	switch o.Result {
	case decide.Errored, decide.Overloaded, decide.ConnectFailed, decide.Reset, decide.TimedOut:
		a.Load.Bad(o.Target, time.Now())
	}
}

// toldToWait keeps a wait for others to hear of.
func (a *acting) toldToWait(o *decide.Outcome, now time.Time) {
	if a.Accounting == nil || o.RetryAfter < leastWait {
		return
	}
	list := []RetryAfter{{o.Target, now.Add(o.RetryAfter)}}
	if old := a.waits.Load(); old != nil {
		for _, w := range *old {
			if w.Endpoint != o.Target && w.Until.After(now) {
				list = append(list, w)
			} else if w.Endpoint == o.Target && w.Until.After(list[0].Until) {
				list[0] = w
			}
		}
	}
	a.waits.Store(&list)
}

// RetryAfters lists the waits of a second and more that this forwarder was told itself, the newest first, some that are over among them. It may be called from any goroutine.
func (l *Engine) RetryAfters() []RetryAfter {
	if list := l.acting.waits.Load(); list != nil {
		return *list
	}
	return nil
}

// NotifyPeerWaits tells of waits that others were told.
func (l *Engine) NotifyPeerWaits(list []decide.PeerRetryAfter) { l.tell(peerWaits(list)) }

// SetFencedOff has no call begun any more, and what waits answered at once; an empty reason ends that.
func (l *Engine) SetFencedOff(why, by string) {
	cause := ledger.Back
	if why != "" {
		cause = ledger.Shut
	}
	l.tell(changed{version.Change{Cause: cause, By: by}, func() {
		l.acting.out = why
		l.events = append(l.events, decide.Fenced{On: why != ""})
	}, nil, make(chan struct{})})
}

// VersionStatus is what was published last; nil: no account is kept. It may be called from any goroutine, and waits for nothing.
func (l *Engine) VersionStatus() *VersionStatus { return l.acting.published.Load() }

// errLoop is what a caller hears of a loop that does not answer.
var errLoop = errors.New("its loop has not answered: look at its log and its health")

// Load is how the calls of this forwarder are spread, as the loop counts them. It waits for the loop, for so long at most.
func (l *Engine) Load(limit time.Duration) (*load.Snapshot, error) {
	asked := loadAsked{make(chan *load.Snapshot, 1)}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case l.inbox <- asked:
	case <-l.done:
		return nil, errLoop
	case <-timeout.C:
		return nil, errLoop
	}
	select {
	case s := <-asked.answer:
		return s, nil
	case <-l.done:
		return nil, errLoop
	case <-timeout.C:
		return nil, errLoop
	}
}

func (l *Engine) tellLoad(asked loadAsked) {
	s := &load.Snapshot{}
	for _, t := range l.module.Targets(time.Since(l.clock)) {
		s.Targets = append(s.Targets, load.Target{Name: t.ID, Destination: t.Destination, Zone: t.Zone, Weight: t.Weight, Serves: t.State == decide.Active, Held: t.BlockedReason, Out: t.InFlight, Connections: t.Connections})
	}
	if l.acting.Accounting != nil && l.acting.Load != nil {
		l.acting.Load.Counts(s, time.Now())
	}
	asked.answer <- s
}
