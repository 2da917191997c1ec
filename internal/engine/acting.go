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

// Acting is how the loop keeps account of that.
type Acting struct {
	Vector version.Vector // at the start; lists that are told before the loop runs belong to it
	Ledger *ledger.Ledger // the loop's alone; nil: none is kept
	Fence  *fence.Fence   // nil: there is none
	Load   *load.Meter    // the loop's alone
	// ShutOut is why no call is to be begun from the first Step on; empty: they are.
	ShutOut string
	// Asleep is told by the loop that the process slept, and under which number to confirm that it may go on. It must not wait.
	Asleep func(epoch uint64, slept time.Duration)
}

// Standing is what the loop acts under, as of one moment.
type Standing struct {
	Seq     uint64         `json:"seq"` // of the ledger
	Cause   string         `json:"cause"`
	By      string         `json:"by,omitempty"`
	At      time.Time      `json:"at"`
	Vector  version.Vector `json:"vector"`
	Fenced  bool           `json:"fenced"`
	ShutOut string         `json:"shut_out,omitempty"` // why
}

// ToldWait is a wait that a target told this forwarder itself.
type ToldWait struct {
	Target string
	Until  time.Time
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
	*Acting
	now       version.Vector
	started   bool
	epoch     uint64 // of the sleep that was told last
	out       string // why no call is begun; empty: it is
	published atomic.Pointer[Standing]
	waits     atomic.Pointer[[]ToldWait]
}

func (a *acting) init(c *Acting) {
	if c == nil {
		return
	}
	a.Acting, a.now, a.out = c, c.Vector, c.ShutOut
	a.published.Store(&Standing{Vector: a.now, ShutOut: a.out})
}

// start is the first entry, once what is known at the start has been told.
func (a *acting) start(cause string) {
	if a.Acting == nil {
		return
	}
	a.started = true
	a.change(version.Change{Cause: cause})
}

// change goes on under another vector.
func (a *acting) change(c version.Change) {
	if a.Acting == nil {
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
	a.published.Store(&Standing{Seq: a.Ledger.Last().Seq, Cause: c.Cause, By: c.By, At: now, Vector: a.now, Fenced: a.closed(), ShutOut: a.out})
}

// begin counts a call that is about to be made.
func (a *acting) begin(target string) *ledger.Slot {
	if a.Acting == nil {
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

func (a *acting) resume(c Call) *ledger.Slot {
	if a.Acting == nil || c.Under == 0 {
		return nil
	}
	return a.Ledger.Resume(c.Under, c.Endpoint)
}

// closed tells whether the process slept and has not been confirmed since.
func (a *acting) closed() bool { return a.Acting != nil && a.Fence != nil && a.Fence.Closed() }

// beat is when the lease is to be renewed.
func (a *acting) beat() (<-chan time.Time, func()) {
	if a.Acting == nil || a.Fence == nil {
		return nil, func() {}
	}
	t := time.NewTicker(a.Fence.RenewInterval())
	return t.C, t.Stop
}

// fenced has calls ask before their first byte, and the loop told of a sleep that they find.
func (l *Engine) fenced() func() bool {
	if l.acting.Acting == nil || l.acting.Fence == nil {
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
	if a.Asleep != nil {
		a.Asleep(epoch, slept)
	}
}

// Confirm tells that what was known before a sleep has been asked for again, or why calls may begin all the same.
func (l *Engine) Confirm(epoch uint64, cause string) { l.tell(confirmed{epoch, cause}) }

func (l *Engine) confirmed(ctx context.Context, c confirmed) {
	a := &l.acting
	if a.Acting == nil || a.Fence == nil || !a.Fence.Open(c.epoch) {
		return // it has slept again: that is confirmed on its own
	}
	slog.Info("calls begin again", "why", c.cause)
	a.change(version.Change{Cause: c.cause})
	l.sendAllPending(ctx)
}

// Change has something take effect between two Steps, as a change of the vector, with a list if there is one, and waits until it has, for so long at most.
func (l *Engine) Change(c version.Change, do func(), list *List, limit time.Duration) bool {
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
	if a.Acting == nil || a.Load == nil {
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
	if a.Acting == nil || a.Load == nil {
		return
	}
	switch o.Result {
	case decide.Errored, decide.Overloaded, decide.ConnectFailed, decide.Reset, decide.TimedOut:
		a.Load.Bad(o.Target, time.Now())
	}
}

// toldToWait keeps a wait for others to hear of.
func (a *acting) toldToWait(o *decide.Outcome, now time.Time) {
	if a.Acting == nil || o.RetryAfter < leastWait {
		return
	}
	list := []ToldWait{{o.Target, now.Add(o.RetryAfter)}}
	if old := a.waits.Load(); old != nil {
		for _, w := range *old {
			if w.Target != o.Target && w.Until.After(now) {
				list = append(list, w)
			} else if w.Target == o.Target && w.Until.After(list[0].Until) {
				list[0] = w
			}
		}
	}
	a.waits.Store(&list)
}

// ToldWaits lists the waits of a second and more that this forwarder was told itself, the newest first, some that are over among them. It may be called from any goroutine.
func (l *Engine) ToldWaits() []ToldWait {
	if list := l.acting.waits.Load(); list != nil {
		return *list
	}
	return nil
}

// PeerWaits tells of waits that others were told.
func (l *Engine) PeerWaits(list []decide.PeerRetryAfter) { l.tell(peerWaits(list)) }

// ShutOut has no call begun any more, and what waits answered at once; an empty reason ends that.
func (l *Engine) ShutOut(why, by string) {
	cause := ledger.Back
	if why != "" {
		cause = ledger.Shut
	}
	l.tell(changed{version.Change{Cause: cause, By: by}, func() {
		l.acting.out = why
		l.events = append(l.events, decide.Fenced{On: why != ""})
	}, nil, make(chan struct{})})
}

// Standing is what was published last; nil: no account is kept. It may be called from any goroutine, and waits for nothing.
func (l *Engine) Standing() *Standing { return l.acting.published.Load() }

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
	if l.acting.Acting != nil && l.acting.Load != nil {
		l.acting.Load.Counts(s, time.Now())
	}
	asked.answer <- s
}
