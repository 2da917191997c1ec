// Package emulate runs many decision modules against one modelled destination in virtual time: what is harmless in one
// forwarder and harmful when a fleet does it shows only in company. It has no sockets and does not sleep; one seed gives one
// history.
package emulate

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"scaleroute/internal/decide"
)

// Destination is what the forwarders call.
type Destination struct {
	Limit        func(at time.Duration) float64 // calls a second, of all senders together; nil for none
	Span         time.Duration                  // the limit's allowance holds what it allows in this time
	RefusedCount bool                           // refused calls use the allowance up, too
	TellsWait    float64                        // share of refusals above the limit that tell a wait
	Wait         time.Duration                  // that they tell
	Capacity     float64                        // calls a second that it can work on when warm
	Queue        time.Duration                  // of work that it lets wait; more is refused
	Latency      time.Duration                  // each way
	DownFrom     time.Duration                  // it refuses connections from then on
	DownFor      time.Duration
	ColdFrom     float64       // share of its capacity with which it comes back
	Cold         time.Duration // it has all of it after this
	ReportEvery  time.Duration // what answers tell of the allowance is refreshed so often
}

// Fleet is who calls it.
type Fleet struct {
	Forwarders int
	Settings   decide.Settings                // Seed and Forwarders are set for each
	Rate       func(at time.Duration) float64 // messages a second that are handed in, to all together
	Shares     func(i int) float64            // weight of a forwarder's part of them; nil: equal parts
	Unsafe     float64                        // share of them that may not be repeated
	Left       time.Duration                  // how long each may be delivered
	Restart    func(i int) time.Duration      // when a forwarder is killed and begins anew with what it held; nil or 0: never
	Quiet      func(i int) bool               // it gets no message before the destination is back, and so hears of no outage; nil: none
}

// Second counts what happened in one second.
type Second struct {
	Handed, Calls, Further   int
	Done, InTime, Over, Down int // calls answered well, those within the aim, refused, not connected
	Refused, Failed          int // messages
}

// Report is what became of a run.
type Report struct {
	Seconds  []Second
	Total    Second
	Pushed   float64 // the largest multiple of what it could do that a cold destination was sent in any window of Settings.Fall
	Broken   []string
	Attempts int
	Cold     ColdLoad
	Useless  int // forwarders that rejected all that came, uselessCount messages or more, for uselessTime on end without an attempt
}

const (
	uselessCount = 15
	uselessTime  = 4 * time.Second
)

// ColdLoad is the fullest window of Settings.Fall in which a cold destination was called, against what it takes before it falls.
type ColdLoad struct {
	Calls  int
	Budget float64 // what the settings allow it then, with what is put down to chance
	Knew   float64 // share of these calls by forwarders that had met the outage
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is one run.
type world struct {
	dest   Destination
	fleet  Fleet
	rng    *rand.Rand
	now    time.Duration
	queue  queue
	seq    int
	nodes  []*node
	report Report

	allowance float64 // calls that fit the limit now
	filled    time.Duration
	busyTil   time.Duration
	told      decide.Allowance
	toldAt    time.Duration
	cold      []coldCall // those that reached it while it was cold
}

// coldCall is a call that reached the destination while it was cold.
type coldCall struct {
	at   time.Duration
	knew bool // its forwarder had met the outage
}

type node struct {
	w        *world
	index    int
	module   *decide.Forwarder
	wake     int
	messages map[string]*held
	process  int  // how often it has begun anew
	knows    bool // it has met the outage, also in a process before

	rejected      int // messages since its last attempt
	rejectedSince time.Duration
	useless       bool
}

type held struct {
	handed   time.Duration
	class    string
	attempts int
	out      int // calls without an outcome
	unsafe   bool
	mayRan   bool
}

// Run plays so long, and then until all is answered.
func Run(d Destination, f Fleet, length time.Duration, seed uint64) (*Report, error) {
	w := &world{dest: d, fleet: f, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), toldAt: -time.Hour}
	w.report.Seconds = make([]Second, int((length+2*f.Left)/time.Second)+2)
	if d.Limit != nil {
		w.allowance = d.Limit(0) * d.Span.Seconds()
	}
	whole := 0.0
	shares := make([]float64, f.Forwarders)
	for i := range f.Forwarders {
		n := &node{w: w, index: i, messages: map[string]*held{}}
		if err := n.start(); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		shares[i] = 1
		if f.Shares != nil {
			shares[i] = f.Shares(i)
		}
		whole += shares[i]
		w.at(0, func() { n.step(w.list()) })
		if f.Restart != nil && f.Restart(i) > 0 {
			w.at(f.Restart(i), n.restart)
		}
	}
	for i, n := range w.nodes {
		w.arrivals(n, shares[i]/whole, length)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if w.now > length+2*f.Left {
			break
		}
		e.do()
	}
	for _, n := range w.nodes {
		if len(n.messages) > 0 {
			w.report.Broken = append(w.report.Broken, fmt.Sprintf("forwarder %d holds %d messages at the end", n.index, len(n.messages)))
		}
	}
	for _, s := range w.report.Seconds {
		t := &w.report.Total
		t.Handed, t.Calls, t.Further, t.Done, t.InTime = t.Handed+s.Handed, t.Calls+s.Calls, t.Further+s.Further, t.Done+s.Done, t.InTime+s.InTime
		t.Over, t.Down, t.Refused, t.Failed = t.Over+s.Over, t.Down+s.Down, t.Refused+s.Refused, t.Failed+s.Failed
	}
	w.report.Pushed, w.report.Cold = w.pushed(), w.coldLoad()
	return &w.report, nil
}

// list is the destination's one endpoint.
func (w *world) list() decide.TargetList {
	set := w.fleet.Settings
	return decide.TargetList{Targets: []decide.Target{{ID: "t", Destination: 1, Kind: set.Kinds[0].Name, Zone: set.Zone, Weight: w.limit(0)}}}
}

// start makes the forwarder's module.
func (n *node) start() (err error) {
	set := n.w.fleet.Settings
	set.Seed, set.Forwarders = n.w.rng.Uint64(), n.w.fleet.Forwarders
	n.module, err = decide.New(set)
	return err
}

// restart ends the process as a kill does, and begins the next one with what it held.
func (n *node) restart() {
	n.process++
	n.wake++
	if err := n.start(); err != nil {
		n.w.report.Broken = append(n.w.report.Broken, err.Error())
		return
	}
	n.step(n.w.list())
	var recovered []decide.Event
	for _, id := range slices.Sorted(maps.Keys(n.messages)) {
		m := n.messages[id]
		m.mayRan = m.mayRan || m.out > 0
		recovered = append(recovered, decide.Message{ID: id, Class: m.class, Destination: 1, TimeLeft: m.handed + n.w.fleet.Left - n.w.now,
			Recovered: true, Attempts: m.attempts, HasOpenAttempt: m.out > 0, MayHaveRun: m.mayRan})
		m.out = 0
	}
	n.step(recovered...)
}

func (w *world) limit(at time.Duration) float64 {
	if w.dest.Limit == nil {
		return 0
	}
	return w.dest.Limit(at)
}

func (w *world) at(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at, w.seq, do})
}

func (w *world) second() *Second { return &w.report.Seconds[int(w.now/time.Second)] }

// arrivals hands messages in at random times, by thinning where the rate changes.
func (w *world) arrivals(n *node, part float64, length time.Duration) {
	highest := 0.0
	for t := time.Duration(0); t < length; t += 100 * time.Millisecond {
		highest = max(highest, w.fleet.Rate(t))
	}
	if highest*part <= 0 {
		return
	}
	var next func()
	after := func() {
		at := w.now + time.Duration(w.rng.ExpFloat64()/(highest*part)*float64(time.Second))
		if at < length {
			w.at(at, next)
		}
	}
	next = func() {
		quiet := w.fleet.Quiet != nil && w.fleet.Quiet(n.index) && w.now < w.dest.DownFrom+w.dest.DownFor
		if w.rng.Float64()*highest < w.fleet.Rate(w.now) && !quiet {
			n.handIn()
		}
		after()
	}
	after()
}

func (n *node) handIn() {
	w := n.w
	w.seq++
	id, class := fmt.Sprint("m", w.seq), 0
	if w.rng.Float64() < w.fleet.Unsafe {
		class = 1
	}
	w.second().Handed++
	name := w.fleet.Settings.Classes[class].Name
	n.messages[id] = &held{handed: w.now, class: name, unsafe: class == 1}
	n.step(decide.Message{ID: id, Class: name, Destination: 1, TimeLeft: w.fleet.Left})
}

// step tells a module what happened and does what it decides.
func (n *node) step(events ...decide.Event) {
	w := n.w
	for _, a := range n.module.Step(w.now, events) {
		switch a := a.(type) {
		case decide.Send:
			n.send(a)
		case decide.Refuse:
			if m := n.messages[a.Message]; m != nil && m.unsafe && m.mayRan {
				w.report.Broken = append(w.report.Broken, a.Message+" may have run and was refused")
			}
			n.over(a.Message)
			n.countRejected()
			w.second().Refused++
		case decide.Fail:
			n.over(a.Message)
			w.second().Failed++
		case decide.Wake:
			n.wake++
			mine := n.wake
			w.at(w.now+max(a.After, time.Microsecond), func() {
				if n.wake == mine {
					n.step(decide.Woken{})
				}
			})
		}
	}
}

// countRejected notes a rejected message.
func (n *node) countRejected() {
	if n.rejected == 0 {
		n.rejectedSince = n.w.now
	}
	n.rejected++
	if n.rejected >= uselessCount && n.w.now-n.rejectedSince >= uselessTime && !n.useless {
		n.useless = true
		n.w.report.Useless++
	}
}

func (n *node) over(id string) { delete(n.messages, id) }

// send makes a call: it is worked on, refused, or finds nobody there.
func (n *node) send(s decide.Send) {
	w, m := n.w, n.messages[s.Message]
	if m == nil {
		w.report.Broken = append(w.report.Broken, s.Message+" was sent after its end")
		return
	}
	if m.unsafe && m.mayRan {
		w.report.Broken = append(w.report.Broken, s.Message+" may have run and was sent again")
	}
	n.rejected = 0
	number, sent, process := m.attempts, w.now, n.process
	m.attempts++
	m.out++
	w.report.Attempts++
	w.second().Calls++
	if number > 0 {
		w.second().Further++
	}
	ended := func(o decide.Outcome) {
		if process != n.process { // it was killed meanwhile
			return
		}
		m.out--
		o.Message, o.Attempt, o.Target, o.Latency = s.Message, number, "t", w.now-sent
		switch o.Result {
		case decide.Succeeded:
			w.second().Done++
			if w.now-m.handed <= w.fleet.Settings.Classes[0].OnTime {
				w.second().InTime++
			}
			o.NoAnswerNeeded = true
			n.over(s.Message)
		case decide.Overloaded:
			w.second().Over++
		case decide.ConnectFailed:
			n.knows = true
			w.second().Down++
		}
		n.step(o)
	}
	w.at(w.now+w.dest.Latency, func() {
		o, took := w.call(n.knows)
		if o.Result == decide.Succeeded && took+2*w.dest.Latency > s.Timeout {
			m.mayRan = true
			o, took = decide.Outcome{Result: decide.TimedOut}, max(0, s.Timeout-2*w.dest.Latency)
		}
		w.at(w.now+took+w.dest.Latency, func() { ended(o) })
	})
}

// capacity is what the destination can work on now, in calls a second; 0 while it is down.
func (w *world) capacity(at time.Duration) float64 {
	back := w.dest.DownFrom + w.dest.DownFor
	switch {
	case w.dest.DownFor <= 0 || at < w.dest.DownFrom:
		return w.dest.Capacity
	case at < back:
		return 0
	case at-back < w.dest.Cold:
		return w.dest.Capacity * (w.dest.ColdFrom + (1-w.dest.ColdFrom)*float64(at-back)/float64(w.dest.Cold))
	}
	return w.dest.Capacity
}

// call is what becomes of one that has arrived, and how long that takes.
func (w *world) call(knew bool) (decide.Outcome, time.Duration) {
	capacity := w.capacity(w.now)
	if capacity <= 0 {
		return decide.Outcome{Result: decide.ConnectFailed}, 0
	}
	if back := w.dest.DownFrom + w.dest.DownFor; w.dest.DownFor > 0 && w.now >= back && w.now < back+w.dest.Cold {
		w.cold = append(w.cold, coldCall{w.now, knew})
	}
	limit := w.limit(w.now)
	if limit > 0 {
		most := limit * w.dest.Span.Seconds()
		w.allowance = min(most, w.allowance+limit*(w.now-w.filled).Seconds())
		w.filled = w.now
	}
	full := limit > 0 && w.allowance < 1
	if limit > 0 && (!full || w.dest.RefusedCount) {
		w.allowance = max(0, w.allowance-1)
	}
	o := decide.Outcome{Result: decide.Succeeded}
	if limit > 0 {
		if w.now-w.toldAt >= w.dest.ReportEvery {
			w.toldAt = w.now
			w.told = decide.Allowance{Reported: true, Remaining: w.allowance / (limit * w.dest.Span.Seconds()), Rate: limit}
		}
		o.Allowance = w.told
	}
	if full {
		o.Result = decide.Overloaded
		if w.rng.Float64() < w.dest.TellsWait {
			o.RetryAfter = w.dest.Wait
		}
		return o, 0
	}
	w.busyTil = max(w.busyTil, w.now)
	if w.busyTil-w.now > w.dest.Queue {
		o.Result = decide.Overloaded
		return o, 0
	}
	w.busyTil += time.Duration(w.rng.ExpFloat64() / capacity * float64(time.Second))
	return o, w.busyTil - w.now
}

// pushed is the largest multiple of its capacity that the cold destination was sent in any window of the rule's length.
func (w *world) pushed() (most float64) {
	window, first := w.fleet.Settings.OverloadOutage, 0
	for last, call := range w.cold {
		at := call.at
		for w.cold[first].at < at-window {
			first++
		}
		from := max(at-window, w.dest.DownFrom+w.dest.DownFor)
		could := (w.capacity(from) + w.capacity(at)) / 2 * window.Seconds()
		most = max(most, float64(last-first+1)/could)
	}
	if math.IsInf(most, 1) {
		return 0
	}
	return most
}

// coldLoad is the window of the rule's length that was fullest against what a cold destination takes: N calls, N being what the settings allow, and
// 2 sqrt(N) + 2 more.
func (w *world) coldLoad() (worst ColdLoad) {
	window, first, knew, fullest := w.fleet.Settings.OverloadOutage, 0, 0, math.Inf(-1)
	back := w.dest.DownFrom + w.dest.DownFor
	for last, call := range w.cold {
		knew += one(call.knew)
		for w.cold[first].at < call.at-window {
			knew -= one(w.cold[first].knew)
			first++
		}
		could := (w.capacity(max(call.at-window, back)) + w.capacity(call.at)) / 2 * window.Seconds()
		allowed := w.fleet.Settings.OverloadFactor * could
		budget, calls := allowed+2*math.Sqrt(allowed)+2, last-first+1
		if over := float64(calls) - budget; over > fullest {
			fullest = over
			worst = ColdLoad{Calls: calls, Budget: budget, Knew: float64(knew) / float64(calls)}
		}
	}
	return worst
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
