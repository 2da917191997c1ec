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

// How a member meets the others.
const (
	beatEvery  = 200 * time.Millisecond // between two looks at what is to be done
	whoEvery   = time.Second            // who is there
	startEvery = 2 * time.Second        // between two starts of the process that speaks for this one
	tellEvery  = 30 * time.Second       // news that have not changed
	againAfter = 2 * time.Second        // news are told again so long after a change, and three times as long: by then the first have passed, and whoever missed them would take this member to be behind
	newsFresh  = 4 * time.Second        // who is not there any more is found by the library; this is what comes on top
	deathTime  = 15 * time.Second       // and this is how long the library takes at most, among some hundreds
	settleTime = 20 * time.Second       // longer than the library takes to find a death among 300, and newsFresh
	listGrace  = time.Second
	lookFor    = 3 * time.Second
	wantName   = "want"
	mostWant   = 4 << 10

	speakerDescriptors = 6                        // for the process that speaks for this one, and for one that takes its place
	quickFleet         = "SCALEROUTE_QUICK_FLEET" // for tests: times for a few members on one machine
	quickSettle        = 1500 * time.Millisecond
	quickFresh         = time.Second
	quickAgain         = 300 * time.Millisecond
)

// member is this forwarder among others: what is heard goes to the judge, and what the judge decides is carried out.
type member struct {
	p      *auditing
	judge  *straggler.Evaluator // by mu
	mu     sync.Mutex
	began  time.Time
	set    *gossip.Config                 // nil: it hears of nobody
	gossip atomic.Pointer[gossip.Sidecar] // while it serves
	read   chan struct{}                  // the operators' file is to be read again
	out    atomic.Pointer[string]
	looked atomic.Bool // discovery is being asked
	again  time.Duration
}

// keptWant is the want as it outlasts the process.
type keptWant struct {
	Want straggler.Desired `json:"want"`
	At   time.Time         `json:"at"` // when it was heard, by this machine's clock
}

func newMember(p *auditing) (*member, error) {
	set := p.f.operators.now.Fleet
	c := straggler.Config{Name: p.f.c.Name, Zone: p.f.c.Settings.Zone, MaxOutFraction: set.Share, ReportTTL: newsFresh, SettleTime: settleTime, DetectionTime: deathTime, NewerListGrace: listGrace, Seed: p.f.c.Settings.Seed}
	quick := os.Getenv(quickFleet) != ""
	if quick {
		c.ReportTTL, c.SettleTime, c.DetectionTime = quickFresh, quickSettle, quickSettle
	}
	m := &member{p: p, judge: straggler.New(c, ledger.Clock), began: p.began, read: make(chan struct{}, 1), again: againAfter}
	if quick {
		m.again = quickAgain
	}
	m.resume()
	if set.Gossip == nil {
		return m, nil
	}
	listen := set.Gossip.Listen
	if p.f.c.GossipListen != "" {
		listen = p.f.c.GossipListen
	}
	advertise := cmp.Or(p.f.c.GossipAdvertise, set.Gossip.Advertise)
	var key []byte
	if file := set.Gossip.Key; file != "" {
		var err error
		if key, err = os.ReadFile(file); err != nil {
			return nil, fmt.Errorf("fleet.gossip.key_file: %w", err)
		}
	}
	m.set = &gossip.Config{Name: c.Name, Started: p.began, Listen: listen, Advertise: advertise, Join: set.Gossip.Join, Key: key, Seed: c.Seed, ShortTimeouts: quick}
	return m, m.set.Validate()
}

func (m *member) heard(n straggler.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.judge.Receive(m.now(), n)
}

// meet has a process meet the others.
func (m *member) meet() {
	g, err := gossip.Start(m.p.f.operators.gossip, *m.set, m.heard, func(w straggler.Desired) { m.want(w) })
	if err != nil {
		slog.Warn("this forwarder hears of no other: put scaleroute-gossip beside it, or name it by -gossip-host", "again_in", startEvery, "err", err)
		return
	}
	m.gossip.Store(g)
	m.mu.Lock()
	w, _ := m.judge.Desired()
	m.mu.Unlock()
	if w != nil {
		g.SendDesired(*w) // it fits: it came that way, or was checked
	}
}

func (m *member) now() time.Duration { return time.Since(m.began) }

// resume goes on with the want of the process before.
func (m *member) resume() {
	text, err := os.ReadFile(m.wantFile())
	var kept keptWant
	if err == nil && len(text) <= mostWant {
		err = json.Unmarshal(text, &kept)
	}
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil || kept.Want.Gen == 0:
		slog.Warn("the want that was kept can't be read: it is heard anew from others, or put anew by scaleroutectl fleet want", "file", m.wantFile(), "err", err)
	default:
		passed := min(max(0, time.Since(kept.At)), max(0, kept.Want.Deadline)) // a clock that was set says nothing more
		m.judge.RestoreDesired(m.now(), kept.Want, passed)
	}
}

func (m *member) wantFile() string { return filepath.Join(m.p.f.c.StateDir, wantName) }

// want takes a want, keeps it, and passes it on. It tells whether it is a newer one.
func (m *member) want(w straggler.Desired) bool {
	m.mu.Lock()
	took := m.judge.SetDesired(m.now(), w)
	m.mu.Unlock()
	if !took {
		return false
	}
	slog.Info("wanted of the fleet", "want", w.Gen, "by", w.By, "deadline", w.Deadline)
	text, err := json.Marshal(keptWant{w, time.Now()})
	if err == nil {
		next := m.wantFile() + ".next"
		if err = os.WriteFile(next, text, 0o600); err == nil {
			err = os.Rename(next, m.wantFile())
		} else {
			os.Remove(next)
		}
	}
	if err != nil {
		slog.Warn("the want is not kept over a restart", "err", err)
	}
	if g := m.gossip.Load(); g != nil {
		if err := g.SendDesired(w); err != nil {
			slog.Warn("the want is not passed on", "err", err)
		}
	}
	return true
}

// run does what is to be done until ctx ends.
func (m *member) run(ctx context.Context, l *engine.Engine) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	defer m.leave()
	var seq uint64
	var who, started, told time.Time
	pending := true
	var again []time.Time // news are told again
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		g := m.gossip.Load()
		if m.set != nil && (g == nil || g.Exited()) && now.Sub(started) >= startEvery {
			started, pending = now, true
			m.meet()
			continue
		}
		if g != nil {
			g.SendHeartbeat()
		}
		if g != nil && now.Sub(who) >= whoEvery {
			who = now
			alive := g.Members()
			m.mu.Lock()
			for _, a := range alive {
				m.judge.MarkAlive(m.now(), a.Name, a.Started)
			}
			m.mu.Unlock()
		}
		m.mu.Lock()
		if s := l.VersionStatus(); s.Seq != seq || seq == 0 {
			seq = max(1, s.Seq)
			m.judge.SetLocal(s.Vector, m.p.f.operators.sources.drains(), m.p.f.door)
		}
		m.judge.SetRetryAfters(m.now(), waitsLeft(l.RetryAfters(), now))
		d := m.judge.Step(m.now())
		withdrawn, held := m.judge.Withdrawn(), m.judge.TakePeerRetryAfters(m.now())
		var news *straggler.Report
		if d.ReportChanged {
			again = []time.Time{now.Add(m.again), now.Add(3 * m.again)}
		}
		if len(again) > 0 && now.After(again[0]) {
			pending, again = true, again[1:]
		}
		if pending = pending || d.ReportChanged || now.Sub(told) >= tellEvery; pending && g != nil {
			n := m.judge.NextReport(m.now())
			news, pending, told = &n, false, now
		}
		m.mu.Unlock()
		if news != nil {
			g.SendReport(*news)
		}
		m.p.f.operators.sources.withdraw(withdrawn)
		if len(held) > 0 {
			l.NotifyPeerWaits(heldWaits(held))
		}
		m.carryOut(ctx, l, d)
	}
}

// waitsLeft says what is left of the waits that targets have told.
func waitsLeft(list []engine.RetryAfter, now time.Time) (left []straggler.RetryAfter) {
	for _, w := range list {
		left = append(left, straggler.RetryAfter{Target: w.Endpoint, Remaining: w.Until.Sub(now)})
	}
	return left
}

// heldWaits has those that others were told held here, too.
func heldWaits(held []straggler.RetryAfter) (list []decide.PeerRetryAfter) {
	for _, w := range held {
		slog.Info("held by a wait that another forwarder was told", "target", w.Target, "left", w.Remaining)
		list = append(list, decide.PeerRetryAfter{Target: w.Target, RetryAfter: w.Remaining})
	}
	return list
}

// carryOut does what the judge has decided.
func (m *member) carryOut(ctx context.Context, l *engine.Engine, d straggler.Decision) {
	if d.RefreshList && m.looked.CompareAndSwap(false, true) {
		slog.Info("behind the others, or what is wanted: discovery is asked again")
		go func() {
			defer m.looked.Store(false)
			limit, cancel := context.WithTimeout(ctx, lookFor)
			defer cancel()
			m.p.f.platform.Refresh(limit) // silence is what made it look
		}()
	}
	if d.ReloadOperators {
		slog.Info("behind what is wanted: the operators' file is read again")
		select {
		case m.read <- struct{}{}:
		default:
		}
	}
	switch {
	case d.FenceOffReason != "":
		m.out.Store(&d.FenceOffReason)
		l.SetFencedOff(d.FenceOffReason, "the fleet")
		if err := m.p.f.control.SetFencedOff(fmt.Errorf("shut out of the fleet: %s", d.FenceOffReason)); err != nil {
			slog.Warn("clients are not sent away", "err", err)
		}
		// Once it is so: whoever reads this may count on it.
		slog.Error("shut out: no message is taken and no call begun", "why", d.FenceOffReason)
	case d.Readmitted:
		m.out.Store(nil)
		l.SetFencedOff("", "the fleet")
		if err := m.p.f.control.SetFencedOff(nil); err != nil {
			slog.Warn("clients are not taken again", "err", err)
		}
		slog.Info("let in again")
	}
}

// leave leaves the others: another process is this member from now on, or none.
func (m *member) leave() {
	if g := m.gossip.Swap(nil); g != nil {
		g.Close()
	}
}

// FleetView is what one member knows of the fleet, as its door tells it.
type FleetView struct {
	Name    string             `json:"name"`
	Want    *straggler.Desired `json:"want,omitempty"`
	Lost    *straggler.Desired `json:"lost,omitempty"` // of the same generation, that had to give way
	Share   float64            `json:"share"`
	Members []straggler.View   `json:"members"`
}

func (m *member) view() FleetView {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := FleetView{Name: m.p.f.c.Name, Share: m.p.f.operators.now.Fleet.Share, Members: m.judge.Fleet(m.now())}
	v.Want, v.Lost = m.judge.Desired()
	return v
}

// calls are those that the door answers for the fleet.
func (m *member) calls() []door.Route {
	return []door.Route{
		{Pattern: "GET /fleet", Handler: func(w http.ResponseWriter, r *http.Request) { door.WriteJSON(w, m.view()) }},
		{Pattern: "PUT /fleet/want", MaxBody: mostWant, Handler: m.put},
	}
}

// put takes a want from an operator.
func (m *member) put(w http.ResponseWriter, r *http.Request) {
	var want straggler.Desired
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&want); err != nil {
		http.Error(w, fmt.Sprintf("no want: %v: make it by scaleroutectl fleet want", err), http.StatusBadRequest)
		return
	}
	if _, err := gossip.EncodeDesired(&want); err != nil || want.Gen == 0 || want.By == "" || want.Deadline < 0 {
		http.Error(w, "a want has a generation above 0, says who wants it, and is no longer than a packet: make it by scaleroutectl fleet want", http.StatusBadRequest)
		return
	}
	if !m.want(want) {
		m.mu.Lock()
		have, _ := m.judge.Desired()
		m.mu.Unlock()
		if have == nil || have.Gen != want.Gen || have.By != want.By || have.Version != want.Version {
			http.Error(w, fmt.Sprintf("want %d of %s holds: look at it (scaleroutectl fleet status), and put yours after it", have.Gen, have.By), http.StatusConflict)
			return
		}
	}
	door.WriteResult(w, nil)
}
