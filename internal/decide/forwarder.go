package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Forwarder makes the decisions of one forwarder. New creates it.
type Forwarder struct {
	settings       Settings
	defaultLimits  Limits // those of a message for which Settings.Limits sets none
	classes        map[string]*Class
	kinds          map[string]Kind
	tenants        map[string]*tenant
	lossByIdleTime [idleSteps]decayingMean // share of calls lost, by how long the connection had been idle
	longCallLoss   decayingMean            // share of the long calls to working routes that were lost
	latencyFactor  map[*Class]float64      // latency of a class relative to that of its route
	rng            *rand.Rand
	rngSource      *rand.PCG // of rng
	now            time.Duration

	messages        map[string]*message
	openCount       int // messages not completed
	seq             uint64
	keyQueues       map[string]*keyQueue
	pausedKeyQueues []*keyQueue // those without messages, by pausedUntil
	destinations    map[int]*destination
	endpoints       map[string]*endpoint
	inFlight        inFlightList
	suspectCalls    [suspicionKinds]int // by the suspicion under which they are counted
	snapshotSeq     uint64
	meanLatency     time.Duration // over all routes; 0 if none was measured
	startedAt       time.Duration // time of the first Step
	stopsAt         time.Duration // when the host stops
	fenced          bool          // no call may begin; not part of the saved state: the host reports it again after a restart
	nextWakeAt      time.Duration // when the next Step is needed if no event comes before

	hedges       heap[*message]                     // messages in flight, by the time when a hedged request is due
	answers      heap[*message]                     // queued messages, by the time when they must be answered
	ready        heap[*destination]                 // destinations with messages that may be eligible, in fair order
	blocked      [suspicionKinds]heap[*destination] // destinations that wait for a quota of suspect calls
	parked       heap[*destination]                 // destinations that wait for their next eligible time, by it
	overdue      heap[*route]                       // routes by the time when a call becomes overdue
	overdueStale []*route
	expiring     heap[*destination] // destinations without endpoints, by the time when they expire
	shedIndex    map[shedKey]*heap[*group]
	shedStale    []*destination
	freeGroups   []*group // for reuse

	usableRoutes, blockedRoutes []*route        // scratch
	scratchAges                 []time.Duration // scratch

	actions     []Action
	wakeAt      time.Duration
	subscribed  bool
	subscribeAt time.Duration
	rotation    rotation
}

type tenant struct {
	quota, tokens float64
	refilledAt    time.Duration
}

// New creates a Forwarder. The error names the setting that is invalid.
func New(s Settings) (*Forwarder, error) {
	if err := checkSettings(s); err != nil {
		return nil, err
	}
	s.Forwarders, s.OverloadFactor = max(s.Forwarders, 1), cmp.Or(s.OverloadFactor, 1) // without a factor a returning route gets its present capacity at most
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
		}, indexOf: func(m *message) *int { return &m.answerIndex }},
		hedges: heap[*message]{less: func(a, b *message) bool {
			return a.hedgeAt < b.hedgeAt || a.hedgeAt == b.hedgeAt && a.seq < b.seq
		}, indexOf: func(m *message) *int { return &m.hedgeIndex }},
		ready:    heap[*destination]{less: scheduledBefore, indexOf: func(d *destination) *int { return &d.readyIndex }},
		parked:   heap[*destination]{less: func(a, b *destination) bool { return a.eligibleAt < b.eligibleAt }, indexOf: func(d *destination) *int { return &d.parkedIndex }},
		expiring: heap[*destination]{less: func(a, b *destination) bool { return a.expiresAt < b.expiresAt }, indexOf: func(d *destination) *int { return &d.expiryIndex }},
		overdue:  heap[*route]{less: func(a, b *route) bool { return a.overdueAt < b.overdueAt }, indexOf: func(r *route) *int { return &r.overdueIndex }},
	}
	for by := range f.blocked {
		f.blocked[by] = heap[*destination]{less: scheduledBefore, indexOf: func(d *destination) *int { return &d.blockedIndex }}
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
		return fmt.Errorf("settings: a duration is negative")
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.OnTime < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: class %q: Deadline is not positive, or OnTime or DedupWindow is negative", c.Name)
		}
	}
	return nil
}

// limitsFor returns the limits of a class at a destination, capped by those of the platform.
func (f *Forwarder) limitsFor(class string, dest int, route string) *Limits {
	if f.settings.Limits == nil {
		return &f.defaultLimits
	}
	l := f.settings.Limits(class, dest, route)
	if platformMax := f.settings.MaxAttempts; platformMax > 0 && (l.MaxAttempts == 0 || l.MaxAttempts > platformMax) {
		l.MaxAttempts = platformMax
	}
	return &l
}

// inFlightFull reports whether the limit allows no further call in flight; probes count too.
func (l *Limits) inFlightFull(inFlight int) bool {
	return l.MaxInFlight > 0 && inFlight >= l.MaxInFlight
}

// capRate caps a rate at the limit.
func (l *Limits) capRate(rate float64) float64 {
	if l.MaxRate > 0 {
		return min(rate, l.MaxRate)
	}
	return rate
}

// rateEligibleAt returns the earliest time of the next call if a rate is set, else 0.
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

// waitUntil reports whether a time is still to come; if so, it has scheduleWake ask the host for a Step by then.
func (f *Forwarder) waitUntil(t time.Duration) bool {
	if f.now < t {
		f.nextWakeAt = min(f.nextWakeAt, t)
		return true
	}
	return false
}

// scheduleWake asks the host for a Step at nextWakeAt, unless it was already asked for an earlier one.
func (f *Forwarder) scheduleWake() {
	if f.answers.len() > 0 {
		f.waitUntil(f.answers.min().answerBy)
	}
	if f.nextWakeAt < never && (f.wakeAt <= f.now || f.nextWakeAt < f.wakeAt) {
		f.wakeAt = f.nextWakeAt
		f.emit(Wake{After: f.nextWakeAt - f.now})
	}
}

// handleHostEvent handles the events about the host itself, and the retry-after times that other forwarders got.
func (f *Forwarder) handleHostEvent(e Event) {
	switch e := e.(type) {
	case Stopping:
		f.stopsAt = min(f.stopsAt, f.now+e.TimeLeft)
	case Fenced:
		f.fenced = e.On
	case Woken:
		f.wakeAt = f.now // the host may have rounded the time and be early: ask again
	case PeerRetryAfter:
		if ep := f.endpoints[e.Target]; ep != nil {
			f.closeAllIntervals(ep.route.dest)
			ep.route.retryAfter = max(ep.route.retryAfter, f.now+e.RetryAfter)
			f.invalidate(ep.route.dest)
		}
	}
}

// jitter returns a random duration up to a limit.
func (f *Forwarder) jitter(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(limit))
}
