package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/door"
	"scaleroute/internal/engine"
	"scaleroute/internal/gossip"
	"scaleroute/internal/ledger"
	"scaleroute/internal/straggler"
)

// Timing and limits of the membership in a fleet.
const (
	memberTickInterval     = 200 * time.Millisecond // between two steps of the evaluator
	aliveInterval          = time.Second            // between two updates of which members are alive
	sidecarRestartInterval = 2 * time.Second        // between two starts of the gossip sidecar
	reportInterval         = 30 * time.Second       // between status reports that have not changed
	reportRepeatDelay      = 2 * time.Second        // a changed status report is sent again after this time and after three times this time: the first one has spread by then, and a member that missed it would take this one to be out of date
	reportTTL              = 4 * time.Second        // on top of the time in which the gossip library detects that a member is gone
	detectionTime          = 15 * time.Second       // how long the library takes for that at most, among some hundreds of members
	settleTime             = 20 * time.Second       // longer than the library takes to detect a death among 300 members plus reportTTL
	newerListGrace         = time.Second
	refreshTimeout         = 3 * time.Second
	desiredFileName        = "want"
	maxDesiredSize         = 4 << 10

	sidecarDescriptors = 6                        // for the gossip sidecar, and for a new one that replaces it
	quickFleetVariable = "SCALEROUTE_QUICK_FLEET" // for tests: shorter times, for a few members on one machine
	quickSettleTime    = 1500 * time.Millisecond
	quickReportTTL     = time.Second
	quickRepeatDelay   = 300 * time.Millisecond
)

// member is this forwarder as a member of the fleet. It passes the reports of other members to the evaluator and carries out the evaluator's decisions.
type member struct {
	fleet          *fleetState
	evaluator      *straggler.Evaluator // guarded by mu
	mu             sync.Mutex
	started        time.Time
	gossipConfig   *gossip.Config                 // nil: this forwarder does not gossip
	sidecar        atomic.Pointer[gossip.Sidecar] // set while the member runs
	reloadRequests chan struct{}                  // receives a value when the operators' file should be read again
	fencedOff      atomic.Pointer[string]         // the reason; nil: it is not fenced off
	refreshing     atomic.Bool                    // a refresh of the endpoint list is in progress
	repeatDelay    time.Duration
}

// savedDesired is the fleet's desired version as it is stored in the state folder.
type savedDesired struct {
	Desired    straggler.Desired `json:"want"`
	ReceivedAt time.Time         `json:"at"` // by this machine's clock
}

func newMember(fleet *fleetState) (*member, error) {
	config := fleet.forwarder.operators.current.Fleet
	evaluatorConfig := straggler.Config{Name: fleet.forwarder.config.Name, Zone: fleet.forwarder.config.Settings.Zone, MaxOutFraction: config.MaxFencedShare, ReportTTL: reportTTL, SettleTime: settleTime, DetectionTime: detectionTime, NewerListGrace: newerListGrace, Seed: fleet.forwarder.config.Settings.Seed}
	shortTimes := os.Getenv(quickFleetVariable) != ""
	if shortTimes {
		evaluatorConfig.ReportTTL, evaluatorConfig.SettleTime, evaluatorConfig.DetectionTime = quickReportTTL, quickSettleTime, quickSettleTime
	}
	m := &member{fleet: fleet, evaluator: straggler.New(evaluatorConfig, ledger.Clock), started: fleet.started, reloadRequests: make(chan struct{}, 1), repeatDelay: reportRepeatDelay}
	if shortTimes {
		m.repeatDelay = quickRepeatDelay
	}
	m.restoreDesired()
	if config.Gossip == nil {
		return m, nil
	}
	listen := config.Gossip.Listen
	if fleet.forwarder.config.GossipListen != "" {
		listen = fleet.forwarder.config.GossipListen
	}
	advertise := cmp.Or(fleet.forwarder.config.GossipAdvertise, config.Gossip.Advertise)
	var key []byte
	if file := config.Gossip.KeyFile; file != "" {
		var err error
		if key, err = os.ReadFile(file); err != nil {
			return nil, fmt.Errorf("fleet.gossip.key_file: %w", err)
		}
	}
	m.gossipConfig = &gossip.Config{Name: evaluatorConfig.Name, Started: fleet.started, Listen: listen, Advertise: advertise, Join: config.Gossip.Join, Key: key, Seed: evaluatorConfig.Seed, ShortTimeouts: shortTimes}
	return m, m.gossipConfig.Validate()
}

func (m *member) receiveReport(n straggler.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evaluator.Receive(m.elapsed(), n)
}

// startSidecar starts the process that gossips with the other members.
func (m *member) startSidecar() {
	sidecar, err := gossip.Start(m.fleet.forwarder.operators.gossipHostPath, *m.gossipConfig, m.receiveReport, func(w straggler.Desired) { m.setDesired(w) })
	if err != nil {
		slog.Warn("the gossip sidecar can't be started, and no other forwarder can be reached: put scaleroute-gossip into the folder of scaleroute, or name it by -gossip-host", "again_in", sidecarRestartInterval, "err", err)
		return
	}
	m.sidecar.Store(sidecar)
	m.mu.Lock()
	w, _ := m.evaluator.Desired()
	m.mu.Unlock()
	if w != nil {
		sidecar.SendDesired(*w) // it fits into a packet: it came by gossip, or was checked when an operator set it
	}
}

func (m *member) elapsed() time.Duration { return time.Since(m.started) }

// restoreDesired loads the desired version that an earlier process stored.
func (m *member) restoreDesired() {
	text, err := os.ReadFile(m.desiredPath())
	var saved savedDesired
	if err == nil && len(text) <= maxDesiredSize {
		err = json.Unmarshal(text, &saved)
	}
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil || saved.Desired.Gen == 0:
		slog.Warn("the stored desired version can't be read: it will come from other forwarders, or set it again with scaleroutectl fleet want", "file", m.desiredPath(), "err", err)
	default:
		age := min(max(0, time.Since(saved.ReceivedAt)), max(0, saved.Desired.Deadline)) // bounded, since the clock may have been set meanwhile
		m.evaluator.RestoreDesired(m.elapsed(), saved.Desired, age)
	}
}

func (m *member) desiredPath() string {
	return filepath.Join(m.fleet.forwarder.config.StateDir, desiredFileName)
}

// setDesired applies a desired version, stores it and passes it on to the other members. It reports whether it is newer than the one before.
func (m *member) setDesired(desired straggler.Desired) bool {
	m.mu.Lock()
	changed := m.evaluator.SetDesired(m.elapsed(), desired)
	m.mu.Unlock()
	if !changed {
		return false
	}
	slog.Info("a new desired version of the fleet", "want", desired.Gen, "by", desired.By, "deadline", desired.Deadline)
	text, err := json.Marshal(savedDesired{desired, time.Now()})
	if err == nil {
		next := m.desiredPath() + ".next"
		if err = os.WriteFile(next, text, 0o600); err == nil {
			err = os.Rename(next, m.desiredPath())
		} else {
			os.Remove(next)
		}
	}
	if err != nil {
		slog.Warn("the desired version can't be stored: it does not survive a restart of this process", "err", err)
	}
	if g := m.sidecar.Load(); g != nil {
		if err := g.SendDesired(desired); err != nil {
			slog.Warn("the desired version was not passed on to other forwarders", "err", err)
		}
	}
	return true
}

// run lets the evaluator step, carries out its decisions and exchanges reports with the other members until ctx ends.
func (m *member) run(ctx context.Context, e *engine.Engine) {
	tick := time.NewTicker(memberTickInterval)
	defer tick.Stop()
	defer m.closeSidecar()
	var seq uint64
	var lastAlive, lastStart, lastReport time.Time
	pending := true
	var repeats []time.Time // when the last changed report is sent again
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		sidecar := m.sidecar.Load()
		if m.gossipConfig != nil && (sidecar == nil || sidecar.Exited()) && now.Sub(lastStart) >= sidecarRestartInterval {
			lastStart, pending = now, true
			m.startSidecar()
			continue
		}
		if sidecar != nil {
			sidecar.SendHeartbeat()
		}
		if sidecar != nil && now.Sub(lastAlive) >= aliveInterval {
			lastAlive = now
			alive := sidecar.Members()
			m.mu.Lock()
			for _, a := range alive {
				m.evaluator.MarkAlive(m.elapsed(), a.Name, a.Started)
			}
			m.mu.Unlock()
		}
		m.mu.Lock()
		if s := e.VersionStatus(); s.Seq != seq || seq == 0 {
			seq = max(1, s.Seq)
			m.evaluator.SetLocal(s.Vector, m.fleet.forwarder.operators.sources.drains(), m.fleet.forwarder.adminAddress)
		}
		m.evaluator.SetRetryAfters(m.elapsed(), remainingRetryAfters(e.RetryAfters(), now))
		decision := m.evaluator.Step(m.elapsed())
		withdrawn, peerWaits := m.evaluator.Withdrawn(), m.evaluator.TakePeerRetryAfters(m.elapsed())
		var report *straggler.Report
		if decision.ReportChanged {
			repeats = []time.Time{now.Add(m.repeatDelay), now.Add(3 * m.repeatDelay)}
		}
		if len(repeats) > 0 && now.After(repeats[0]) {
			pending, repeats = true, repeats[1:]
		}
		if pending = pending || decision.ReportChanged || now.Sub(lastReport) >= reportInterval; pending && sidecar != nil {
			n := m.evaluator.NextReport(m.elapsed())
			report, pending, lastReport = &n, false, now
		}
		m.mu.Unlock()
		if report != nil {
			sidecar.SendReport(*report)
		}
		m.fleet.forwarder.operators.sources.setPeerDrains(withdrawn)
		if len(peerWaits) > 0 {
			e.NotifyPeerWaits(peerRetryAfters(peerWaits))
		}
		m.apply(ctx, e, decision)
	}
}

// remainingRetryAfters converts the retry-afters of endpoints to the time that is left of each.
func remainingRetryAfters(list []engine.RetryAfter, now time.Time) (remaining []straggler.RetryAfter) {
	for _, w := range list {
		remaining = append(remaining, straggler.RetryAfter{Target: w.Endpoint, Remaining: w.Until.Sub(now)})
	}
	return remaining
}

// peerRetryAfters converts retry-afters that other forwarders received, so that this one observes them, too.
func peerRetryAfters(waits []straggler.RetryAfter) (list []decide.PeerRetryAfter) {
	for _, w := range waits {
		slog.Info("held by a wait that another forwarder was told", "target", w.Target, "left", w.Remaining)
		list = append(list, decide.PeerRetryAfter{Target: w.Target, RetryAfter: w.Remaining})
	}
	return list
}

// apply carries out a decision of the evaluator.
func (m *member) apply(ctx context.Context, e *engine.Engine, decision straggler.Decision) {
	if decision.RefreshList && m.refreshing.CompareAndSwap(false, true) {
		slog.Info("the endpoint list is older than that of other forwarders, or than the desired version: refreshing it from discovery")
		go func() {
			defer m.refreshing.Store(false)
			refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
			defer cancel()
			m.fleet.forwarder.platform.Refresh(refreshCtx) // the error is ignored: that discovery does not answer is why the list is old
		}()
	}
	if decision.ReloadOperators {
		slog.Info("the operators' settings differ from the desired version: reading the operators' file again")
		select {
		case m.reloadRequests <- struct{}{}:
		default:
		}
	}
	switch {
	case decision.FenceOffReason != "":
		m.fencedOff.Store(&decision.FenceOffReason)
		e.SetFencedOff(decision.FenceOffReason, "the fleet")
		if err := m.fleet.forwarder.control.SetFencedOff(fmt.Errorf("shut out of the fleet: %s", decision.FenceOffReason)); err != nil {
			slog.Warn("the clients can't be drained", "err", err)
		}
		// Logged after the fact, since readers of the log rely on it.
		slog.Error("shut out: no message is accepted and no call begun", "why", decision.FenceOffReason)
	case decision.Readmitted:
		m.fencedOff.Store(nil)
		e.SetFencedOff("", "the fleet")
		if err := m.fleet.forwarder.control.SetFencedOff(nil); err != nil {
			slog.Warn("draining of the clients can't be ended", "err", err)
		}
		slog.Info("let in again")
	}
}

// closeSidecar ends the gossip: from now on another process is this member, or none.
func (m *member) closeSidecar() {
	if g := m.sidecar.Swap(nil); g != nil {
		g.Close()
	}
}

// FleetView is the admin API's response with what one member knows of the fleet.
type FleetView struct {
	Name       string             `json:"name"`
	Desired    *straggler.Desired `json:"want,omitempty"`
	Superseded *straggler.Desired `json:"lost,omitempty"` // another one of the same generation, which Desired prevailed over
	Share      float64            `json:"share"`
	Members    []straggler.View   `json:"members"`
}

func (m *member) view() FleetView {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := FleetView{Name: m.fleet.forwarder.config.Name, Share: m.fleet.forwarder.operators.current.Fleet.MaxFencedShare, Members: m.evaluator.Fleet(m.elapsed())}
	v.Desired, v.Superseded = m.evaluator.Desired()
	return v
}

// routes returns the routes of the admin API that are about the member.
func (m *member) routes() []door.Route {
	return []door.Route{
		{Pattern: "GET /fleet", Handler: func(w http.ResponseWriter, r *http.Request) { door.WriteJSON(w, m.view()) }},
		{Pattern: "PUT /fleet/want", MaxBody: maxDesiredSize, Handler: m.serveSetDesired},
	}
}

// serveSetDesired handles an operator's request to set the desired version.
func (m *member) serveSetDesired(w http.ResponseWriter, r *http.Request) {
	var desired straggler.Desired
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&desired); err != nil {
		http.Error(w, fmt.Sprintf("no want: %v: make it by scaleroutectl fleet want", err), http.StatusBadRequest)
		return
	}
	if _, err := gossip.EncodeDesired(&desired); err != nil || desired.Gen == 0 || desired.By == "" || desired.Deadline < 0 {
		http.Error(w, "a want has a generation above 0, says who wants it, and is no longer than a packet: make it by scaleroutectl fleet want", http.StatusBadRequest)
		return
	}
	if !m.setDesired(desired) {
		m.mu.Lock()
		current, _ := m.evaluator.Desired()
		m.mu.Unlock()
		if current == nil || current.Gen != desired.Gen || current.By != desired.By || current.Version != desired.Version {
			http.Error(w, fmt.Sprintf("want %d of %s holds: look at it (scaleroutectl fleet status), and put yours after it", current.Gen, current.By), http.StatusConflict)
			return
		}
	}
	door.WriteResult(w, nil)
}
