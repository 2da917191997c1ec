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

// The loop acts under one version vector at a time. Changes of the vector come through the inbox like all other events and take effect between two
// Steps, so that each decision is made under exactly one vector.

// Accounting is what the loop needs to record the version vector that it acts under and the calls that it makes.
type Accounting struct {
	Vector version.Vector // at the start; it covers the lists that are reported before the loop runs
	Ledger *ledger.Ledger // used by the loop alone; nil if no audit log is kept
	Fence  *fence.Fence   // nil if there is no lease to check
	Load   *load.Meter    // used by the loop alone
	// FencedOff is the reason why no call may begin from the first Step on; empty if calls may begin.
	FencedOff string
	// OnSuspended is called by the loop when the process was suspended or starved for longer than its lease. epoch is the number to pass to
	// Engine.ReopenFence. It must not block.
	OnSuspended func(epoch uint64, duration time.Duration)
}

// VersionStatus is the version vector that the loop acts under, at one point in time.
type VersionStatus struct {
	Seq         uint64         `json:"seq"` // sequence number in the audit log
	Cause       string         `json:"cause"`
	By          string         `json:"by,omitempty"`
	At          time.Time      `json:"at"`
	Vector      version.Vector `json:"vector"`
	FenceClosed bool           `json:"fenced"`             // no call may begin until the fence is reopened
	FencedOff   string         `json:"shut_out,omitempty"` // the reason
}

// RetryAfter is a retry-after time that an endpoint sent to this forwarder.
type RetryAfter struct {
	Endpoint string
	Until    time.Time
}

// minSharedRetryAfter is the shortest retry-after time that is shared with other forwarders: a shorter one would expire before they received it.
const minSharedRetryAfter = time.Second

type (
	peerWaits      []decide.PeerRetryAfter
	suspended      struct{}
	loadRequest    struct{ answer chan *load.Snapshot }
	fenceReopening struct {
		epoch uint64
		cause string
	}
)

type accounting struct {
	*Accounting
	vector      version.Vector
	started     bool
	epoch       uint64 // of the suspension that was reported last
	fencedOff   string // why no call may begin; empty if calls may begin
	published   atomic.Pointer[VersionStatus]
	retryAfters atomic.Pointer[[]RetryAfter]
}

func (a *accounting) init(c *Accounting) {
	if c == nil {
		return
	}
	a.Accounting, a.vector, a.fencedOff = c, c.Vector, c.FencedOff
	a.published.Store(&VersionStatus{Vector: a.vector, FencedOff: a.fencedOff})
}

// start records the first change, once the lists that are known at the start have been applied.
func (a *accounting) start(cause string) {
	if a.Accounting == nil {
		return
	}
	a.started = true
	a.recordChange(version.Change{Cause: cause})
}

// recordChange changes the vector, and records the change once start has been called.
func (a *accounting) recordChange(c version.Change) {
	if a.Accounting == nil {
		return
	}
	if c.Apply != nil {
		c.Apply(&a.vector)
	}
	if !a.started {
		return
	}
	now := ledger.Clock()
	a.Ledger.RecordChange(c.Cause, c.By, now, a.vector)
	a.published.Store(&VersionStatus{Seq: a.Ledger.LastChange().Seq, Cause: c.Cause, By: c.By, At: now, Vector: a.vector, FenceClosed: a.fenceClosed(), FencedOff: a.fencedOff})
}

// beginCall counts a call that is about to be made.
func (a *accounting) beginCall(target string) *ledger.CallCounter {
	if a.Accounting == nil {
		return nil
	}
	if a.Load != nil {
		a.Load.Call(target, time.Now())
	}
	if a.Ledger == nil {
		return nil
	}
	return a.Ledger.BeginCall(target, ledger.Clock())
}

// resumeCall counts a call that another process began.
func (a *accounting) resumeCall(c HandoverCall) *ledger.CallCounter {
	if a.Accounting == nil || c.LedgerSeq == 0 {
		return nil
	}
	return a.Ledger.ResumeCall(c.LedgerSeq, c.Endpoint)
}

// fenceClosed reports whether the process was suspended and the fence has not been reopened since.
func (a *accounting) fenceClosed() bool {
	return a.Accounting != nil && a.Fence != nil && a.Fence.Closed()
}

// renewals returns the ticker for renewing the lease, and a function that stops it.
func (a *accounting) renewals() (<-chan time.Time, func()) {
	if a.Accounting == nil || a.Fence == nil {
		return nil, func() {}
	}
	t := time.NewTicker(a.Fence.RenewInterval())
	return t.C, t.Stop
}

// fenceCheck returns the check of the lease that calls make before their first byte, or nil if there is no fence. A failed check notifies the loop.
func (l *Engine) fenceCheck() func() bool {
	if l.accounting.Accounting == nil || l.accounting.Fence == nil {
		return nil
	}
	f := l.accounting.Fence
	return func() bool {
		if f.Check() {
			return true
		}
		l.post(suspended{})
		return false
	}
}

// renewLease renews the lease, or records that the process was suspended.
func (l *Engine) renewLease() {
	a := &l.accounting
	epoch, duration := a.Fence.Renew()
	if epoch == 0 || epoch == a.epoch {
		return
	}
	a.epoch = epoch
	slog.Warn("the process was suspended: no call begins until discovery has been queried again", "slept", duration)
	a.recordChange(version.Change{Cause: ledger.CauseFenced})
	if a.OnSuspended != nil {
		a.OnSuspended(epoch, duration)
	}
}

// ReopenFence reports that the state from before a suspension has been refreshed, or that calls may begin without that; cause says which.
func (l *Engine) ReopenFence(epoch uint64, cause string) { l.post(fenceReopening{epoch, cause}) }

func (l *Engine) reopenFence(ctx context.Context, c fenceReopening) {
	a := &l.accounting
	if a.Accounting == nil || a.Fence == nil || !a.Fence.Open(c.epoch) {
		return // suspended again since: that suspension is confirmed separately
	}
	slog.Info("calls begin again", "why", c.cause)
	a.recordChange(version.Change{Cause: c.cause})
	l.sendAllPending(ctx)
}

// ApplyChange carries out do between two Steps, together with a change of the vector and a list, if there is one. It waits until that is done, up to
// the limit, and reports whether it is.
func (l *Engine) ApplyChange(c version.Change, do func(), list *List, limit time.Duration) bool {
	done := make(chan struct{})
	l.post(versionChange{c, do, list, done})
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	case <-time.After(limit):
		return false
	}
}

func (l *Engine) applyChange(v versionChange) {
	if v.do != nil {
		v.do()
	}
	if v.list != nil {
		l.applyList(*v.list)
	}
	l.accounting.recordChange(v.Change)
	close(v.applied)
}

// recordList tells the load meter which endpoints are in service.
func (a *accounting) recordList(list *decide.TargetList) {
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

// recordFailure counts a call that failed.
func (a *accounting) recordFailure(o *decide.Outcome) {
	if a.Accounting == nil || a.Load == nil {
		return
	}
	switch o.Result {
	case decide.Errored, decide.Overloaded, decide.ConnectFailed, decide.Reset, decide.TimedOut:
		a.Load.Bad(o.Target, time.Now())
	}
}

// recordRetryAfter keeps a retry-after time to be shared with other forwarders.
func (a *accounting) recordRetryAfter(o *decide.Outcome, now time.Time) {
	if a.Accounting == nil || o.RetryAfter < minSharedRetryAfter {
		return
	}
	list := []RetryAfter{{o.Target, now.Add(o.RetryAfter)}}
	if old := a.retryAfters.Load(); old != nil {
		for _, w := range *old {
			if w.Endpoint != o.Target && w.Until.After(now) {
				list = append(list, w)
			} else if w.Endpoint == o.Target && w.Until.After(list[0].Until) {
				list[0] = w
			}
		}
	}
	a.retryAfters.Store(&list)
}

// RetryAfters lists the retry-after times of at least one second that this forwarder received from endpoints, the newest first. The list may contain
// expired ones. It may be called from any goroutine.
func (l *Engine) RetryAfters() []RetryAfter {
	if list := l.accounting.retryAfters.Load(); list != nil {
		return *list
	}
	return nil
}

// NotifyPeerWaits reports retry-after times that other forwarders received.
func (l *Engine) NotifyPeerWaits(list []decide.PeerRetryAfter) { l.post(peerWaits(list)) }

// SetFencedOff prevents calls from beginning, and has queued messages answered at once; an empty reason ends that.
func (l *Engine) SetFencedOff(reason, by string) {
	cause := ledger.CauseReadmitted
	if reason != "" {
		cause = ledger.CauseFencedOff
	}
	l.post(versionChange{version.Change{Cause: cause, By: by}, func() {
		l.accounting.fencedOff = reason
		l.events = append(l.events, decide.Fenced{On: reason != ""})
	}, nil, make(chan struct{})})
}

// VersionStatus returns the latest published status, or nil if there is no accounting. It may be called from any goroutine and does not block.
func (l *Engine) VersionStatus() *VersionStatus { return l.accounting.published.Load() }

// errLoopUnresponsive is returned when the loop does not answer in time.
var errLoopUnresponsive = errors.New("the engine's event loop has not answered: check the log and the health of the forwarder")

// Load returns the distribution of this forwarder's calls over its endpoints, as the loop counts them. It waits for the loop up to the limit.
func (l *Engine) Load(limit time.Duration) (*load.Snapshot, error) {
	request := loadRequest{make(chan *load.Snapshot, 1)}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case l.inbox <- request:
	case <-l.done:
		return nil, errLoopUnresponsive
	case <-timeout.C:
		return nil, errLoopUnresponsive
	}
	select {
	case s := <-request.answer:
		return s, nil
	case <-l.done:
		return nil, errLoopUnresponsive
	case <-timeout.C:
		return nil, errLoopUnresponsive
	}
}

func (l *Engine) answerLoad(request loadRequest) {
	s := &load.Snapshot{}
	for _, t := range l.forwarder.Targets(time.Since(l.clock)) {
		s.Targets = append(s.Targets, load.Target{Name: t.ID, Destination: t.Destination, Zone: t.Zone, Weight: t.Weight, Serves: t.State == decide.Active, Held: t.BlockedReason, Out: t.InFlight, Connections: t.Connections})
	}
	if l.accounting.Accounting != nil && l.accounting.Load != nil {
		l.accounting.Load.Counts(s, time.Now())
	}
	request.answer <- s
}
