package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Forwarder decides for one forwarder. It is made by New.
type Forwarder struct {
	settings      Settings
	defaultLimits Limits // where no others are set
	classes       map[string]*Class
	kinds         map[string]Kind
	tenants       map[string]*tenant
	idleLoss      [idleSteps]decayingMean // share of calls lost, by idle time of the connection
	longCallLoss  decayingMean            // share lost of the long calls to working routes
	latencyFactor map[*Class]float64      // latency of a class, relative to its route's
	rng           *rand.Rand
	rngSource     *rand.PCG // of rng
	now           time.Duration

	messages     map[string]*message
	pending      int // messages not completed
	seq          uint64
	keyQueues    map[string]*keyQueue
	restingKeys  []*keyQueue // empty, by idleUntil
	destinations map[int]*destination
	endpoints    map[string]*endpoint
	inFlight     callList
	suspectCalls [suspicionKinds]int // by kind of suspicion
	snapshotSeq  uint64
	meanLatency  time.Duration // over all routes; 0 if none was measured
	startedAt    time.Duration // the first Step
	stopsAt      time.Duration // when the host stops
	fenced       bool          // no call may begin; the host must repeat it after a restart
	nextDue      time.Duration // when something falls due without an event

	hedges       heap[*message]                     // in flight, by the time when a hedged request is due
	answers      heap[*message]                     // queued, by the time when they must be answered
	ready        heap[*destination]                 // with messages that may be eligible, in fair order
	blocked      [suspicionKinds]heap[*destination] // by a quota of suspect calls
	parked       heap[*destination]                 // by the next eligible time
	overdue      heap[*route]                       // by the time when a call becomes overdue
	overdueStale []*route
	expiring     heap[*destination] // without endpoints, by the time when they expire
	shedIndex    map[shedKey]*heap[*group]
	shedStale    []*destination
	spareGroups  []*group

	usableRoutes, blockedRoutes []*route        // scratch
	turningAges                 []time.Duration // scratch

	actions     []Action
	wakeAt      time.Duration
	subscribed  bool
	subscribeAt time.Duration
	rotation    rotation
}

type tenant struct {
	quota, tokens float64
	filled        time.Duration
}

// New makes a Forwarder. The error names the setting that is invalid.
func New(s Settings) (*Forwarder, error) {
	if err := checkSettings(s); err != nil {
		return nil, err
	}
	s.Forwarders, s.OverloadFactor = max(s.Forwarders, 1), cmp.Or(s.OverloadFactor, 1) // by default a cold route gets what it can do
	source := rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)
	f := &Forwarder{
		settings: s, defaultLimits: Limits{MaxAttempts: s.MaxAttempts}, classes: map[string]*Class{}, kinds: map[string]Kind{}, tenants: map[string]*tenant{},
		latencyFactor: map[*Class]float64{},
		rng:           rand.New(source), rngSource: source,
		messages: map[string]*message{}, keyQueues: map[string]*keyQueue{},
		destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, startedAt: never, stopsAt: never,
		shedIndex: map[shedKey]*heap[*group]{},
		answers: heap[*message]{less: func(a, b *message) bool {
			return a.answerBy < b.answerBy || a.answerBy == b.answerBy && a.seq < b.seq
		}, place: func(m *message) *int { return &m.answerIndex }},
		hedges: heap[*message]{less: func(a, b *message) bool {
			return a.hedgeAt < b.hedgeAt || a.hedgeAt == b.hedgeAt && a.seq < b.seq
		}, place: func(m *message) *int { return &m.hedgeIndex }},
		ready:    heap[*destination]{less: scheduledBefore, place: func(d *destination) *int { return &d.readyIndex }},
		parked:   heap[*destination]{less: func(a, b *destination) bool { return a.eligibleAt < b.eligibleAt }, place: func(d *destination) *int { return &d.parkedIndex }},
		expiring: heap[*destination]{less: func(a, b *destination) bool { return a.expiresAt < b.expiresAt }, place: func(d *destination) *int { return &d.expiryIndex }},
		overdue:  heap[*route]{less: func(a, b *route) bool { return a.overdueAt < b.overdueAt }, place: func(r *route) *int { return &r.overdueIndex }},
	}
	for by := range f.blocked {
		f.blocked[by] = heap[*destination]{less: scheduledBefore, place: func(d *destination) *int { return &d.blockedIndex }}
	}
	for i := range s.Classes {
		f.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for _, k := range s.Kinds {
		f.kinds[k.Name] = k
	}
	for _, t := range s.Tenants {
		q := t.Quota / float64(s.Forwarders)
		f.tenants[t.Name] = &tenant{quota: q, tokens: q}
	}
	return f, nil
}

func checkSettings(s Settings) error {
	switch {
	case s.Slots <= 0:
		return fmt.Errorf("settings: Slots is %d, must be 1 or more", s.Slots)
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.SlowStart < 0 || s.OverloadOutage < 0 || s.KeyPause < 0 || s.AnswerSlack < 0 || s.DrainGrace < 0 ||
		s.ConnIdle < 0 || s.ConnectTimeout < 0 || s.MaxRetryAfter < 0 || s.ResubscribeInterval < 0:
		return fmt.Errorf("settings: a time is negative")
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.OnTime < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: class %q: impossible Deadline, Aim or Window", c.Name)
		}
	}
	return nil
}

// limitsFor is the limits of a class towards a destination, the platform's included.
func (f *Forwarder) limitsFor(class string, dest int, route string) *Limits {
	if f.settings.Limits == nil {
		return &f.defaultLimits
	}
	l := f.settings.Limits(class, dest, route)
	if most := f.settings.MaxAttempts; most > 0 && (l.MaxAttempts == 0 || l.MaxAttempts > most) {
		l.MaxAttempts = most
	}
	return &l
}

// callsFull reports whether no more calls may be in flight, probes included.
func (l *Limits) callsFull(out int) bool { return l.MaxInFlight > 0 && out >= l.MaxInFlight }

// capRate caps a rate at the limit.
func (l *Limits) capRate(rate float64) float64 {
	if l.MaxRate > 0 {
		return min(rate, l.MaxRate)
	}
	return rate
}

// rateEligibleAt is when the next call may begin where a rate is set.
func (l *Limits) rateEligibleAt(earliest time.Duration) time.Duration {
	if l.MaxRate > 0 {
		return earliest
	}
	return 0
}

// capRatio caps a retry ratio at the limit.
func (l *Limits) capRatio(ratio float64) float64 {
	if l.MaxRetryRatio > 0 {
		return min(ratio, l.MaxRetryRatio)
	}
	return ratio
}

// emit appends an action for the host.
func (f *Forwarder) emit(a Action) { f.actions = append(f.actions, a) }

// waitUntil reports whether a time is still to come; if so, the host is asked for a Step at that time.
func (f *Forwarder) waitUntil(t time.Duration) bool {
	if f.now < t {
		f.nextDue = min(f.nextDue, t)
		return true
	}
	return false
}

// scheduleWake asks for a Step when the next thing falls due, unless one is coming before that.
func (f *Forwarder) scheduleWake() {
	if f.answers.len() > 0 {
		f.waitUntil(f.answers.min().answerBy)
	}
	if f.nextDue < never && (f.wakeAt <= f.now || f.nextDue < f.wakeAt) {
		f.wakeAt = f.nextDue
		f.emit(Wake{After: f.nextDue - f.now})
	}
}

// observeHost records what the host reports of itself, and the retry-after times that other senders got.
func (f *Forwarder) observeHost(e Event) {
	switch e := e.(type) {
	case Stopping:
		f.stopsAt = min(f.stopsAt, f.now+e.TimeLeft)
	case Fenced:
		f.fenced = e.On
	case Woken:
		f.wakeAt = f.now // the host may have rounded the time: ask again
	case PeerRetryAfter:
		if ep := f.endpoints[e.Target]; ep != nil {
			f.closeAllIntervals(ep.route.dest)
			ep.route.retryAfter = max(ep.route.retryAfter, f.now+e.RetryAfter)
			f.invalidate(ep.route.dest)
		}
	}
}

// jitter is a random duration up to a maximum.
func (f *Forwarder) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(most))
}
