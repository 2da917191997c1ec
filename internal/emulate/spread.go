package emulate

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"scaleroute/internal/decide"
)

// Spread is a fleet of rare senders before one destination of many targets: how evenly do their calls go there, and how many connections does that take?
type Spread struct {
	Forwarders, Targets int
	Settings            decide.Settings // Seed and Forwarders are set for each
	Rate                float64         // calls a second of each forwarder
	Weights             []float64       // of targets: their part against the others; nil: equal ones
	Takes               time.Duration   // a call, and up to as much again
	Length              time.Duration
	Settle              time.Duration // not counted: at first nobody has a connection
	Away                []Absence     // targets that drain for a while, and serve again
	Choose              Chooser       // nil: the decision module

	Part  func(forwarder int) float64              // of the calls, against the others; nil: all make as many
	Lacks func(forwarder, target int) bool         // its list does not have that target; nil: all have all
	Holds int                                      // connections that a target takes, and refuses more; 0: any number
	Fault func(target int, at time.Duration) Fault // nil: all work
}

// Absence is one target's, told to each forwarder within 100 ms.
type Absence struct {
	Target    int
	From, For time.Duration
}

// Fault is how a target works at some time. The zero Fault is that it does.
type Fault struct {
	Slower float64       // calls take so many times as long; 0 is 1
	Fails  decide.Result // how they end; Done is well
}

// Chooser is a rival: it picks the target of a forwarder's call.
type Chooser func(s *Sender) int

// Sender is what a rival may look at.
type Sender struct {
	Index, Calls int
	Out          []int // calls out of its own
	Idle         []int // its idle connections
	Rng          *rand.Rand
	All          []float64 // calls that each target has had of late, of all senders: only who sees all looks there
	Of           *Spread
}

// The rivals, from their published descriptions (docs/even-load.md names the sources).
var Rivals = map[string]Chooser{
	"random":      func(s *Sender) int { return s.Rng.IntN(s.Of.Targets) },
	"round robin": func(s *Sender) int { return (s.Index*7919 + s.Calls) % s.Of.Targets },
	"least of two, own counts": func(s *Sender) int {
		a, b := s.Rng.IntN(s.Of.Targets), s.Rng.IntN(s.Of.Targets)
		if s.Out[b] < s.Out[a] {
			return b
		}
		return a
	},
	"idle connection first": func(s *Sender) int {
		if i := slices.IndexFunc(s.Idle, func(n int) bool { return n > 0 }); i >= 0 {
			return i
		}
		return s.Rng.IntN(s.Of.Targets)
	},
	"subset of five on a ring": func(s *Sender) int {
		size := min(5, s.Of.Targets)
		return (s.Index*size + s.Rng.IntN(size)) % s.Of.Targets
	},
	"sees all": func(s *Sender) int {
		least := s.Rng.IntN(s.Of.Targets)
		for i := range s.Of.Targets {
			if s.All[i] < s.All[least] {
				least = i
			}
		}
		return least
	},
}

// Evenness is what one run has come to.
type Evenness struct {
	Calls       int
	Connections float64       // opened, a call
	Held        float64       // open at the end, a forwarder
	Second      Multiple      // by windows of a second
	Ten         Multiple      // of ten seconds
	Idle        time.Duration // the longest that a target had no call
	Back        float64       // calls to the one that was away first in the first second after, in times its share
	Parts       []float64     // each target's, in times its share
	Failed      float64       // calls that failed, or found no room for their connection, a call
	Undelivered int           // messages
}

// Multiple is the part of the most loaded target in a window, in times its share.
type Multiple struct{ Mean, Worst float64 }

type spreadCall struct {
	at     time.Duration
	target int
}

type spreadRun struct {
	Spread
	rng    *rand.Rand
	now    time.Duration
	queue  queue
	seq    int
	calls  []spreadCall
	opened int
	failed int
	ended  int   // messages that were not delivered
	open   []int // connections at each target, idle ones of which some may be over among them
	nodes  []*spreadNode
	recent []float64
	faded  time.Duration
}

type spreadNode struct {
	Sender
	run    *spreadRun
	module *decide.Forwarder
	free   [][]time.Duration // idle connections, since when
	tries  map[string]int    // of messages that are held
	wake   int
}

// Run plays it.
func (s Spread) Run(seed uint64) (*Evenness, error) {
	r := &spreadRun{Spread: s, rng: rand.New(rand.NewPCG(seed, 0x5e9d)), recent: make([]float64, s.Targets), open: make([]int, s.Targets)}
	list := decide.TargetList{}
	for i := range s.Targets {
		list.Targets = append(list.Targets, decide.Target{ID: fmt.Sprint(i), Destination: 1, Kind: s.Settings.Kinds[0].Name, Zone: s.Settings.Zone, Weight: s.weight(i), Share: s.weight(i)})
	}
	whole := 0.0
	for i := range s.Forwarders {
		whole += s.part(i)
	}
	for i := range s.Forwarders {
		n := &spreadNode{run: r, free: make([][]time.Duration, s.Targets), tries: map[string]int{}}
		n.Sender = Sender{Index: i, Out: make([]int, s.Targets), Idle: make([]int, s.Targets), Rng: rand.New(rand.NewPCG(seed, uint64(i))), All: r.recent, Of: &r.Spread}
		r.nodes = append(r.nodes, n)
		if s.Choose == nil {
			set := s.Settings
			set.Seed, set.Forwarders = r.rng.Uint64(), s.Forwarders
			var err error
			if n.module, err = decide.New(set); err != nil {
				return nil, err
			}
			shuffled := decide.TargetList{}
			for j, t := range list.Targets {
				if s.Lacks == nil || !s.Lacks(i, j) {
					shuffled.Targets = append(shuffled.Targets, t)
				}
			}
			r.rng.Shuffle(len(shuffled.Targets), func(i, j int) {
				shuffled.Targets[i], shuffled.Targets[j] = shuffled.Targets[j], shuffled.Targets[i]
			})
			r.at(0, func() { n.step(shuffled) })
			for _, a := range s.Away { // each hears of it a little later than another
				late := time.Duration(r.rng.Int64N(int64(100 * time.Millisecond)))
				tell := func(at time.Duration, state decide.TargetState) {
					t := list.Targets[a.Target]
					t.State = state
					r.at(at+late, func() { n.step(decide.TargetList{Scope: decide.Delta, Targets: []decide.Target{t}}) })
				}
				tell(a.From, decide.Draining)
				tell(a.From+a.For, decide.Active)
			}
		}
		var next func()
		rate := s.Rate * float64(s.Forwarders) * s.part(i) / whole
		after := func() {
			if at := r.now + time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)); at < s.Length {
				r.at(at, next)
			}
		}
		next = func() {
			n.handIn()
			after()
		}
		r.at(0, after)
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		if r.now > s.Length {
			break
		}
		e.do()
	}
	return r.evenness(), nil
}

func (s *Spread) weight(i int) float64 {
	if s.Weights == nil {
		return 1
	}
	return s.Weights[i]
}

func (s *Spread) part(forwarder int) float64 {
	if s.Part == nil {
		return 1
	}
	return s.Part(forwarder)
}

func (r *spreadRun) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{at, r.seq, do})
}

func (n *spreadNode) handIn() {
	if n.module == nil {
		n.look()
		n.call(n.run.Choose(&n.Sender), nil)
		return
	}
	n.run.seq++
	n.step(decide.Message{ID: fmt.Sprint("m", n.run.seq), Class: n.run.Settings.Classes[0].Name, Destination: 1, TimeLeft: n.run.Settings.Classes[0].Deadline})
}

// look counts the idle connections that are still open.
func (n *spreadNode) look() {
	for t, list := range n.free {
		open := slices.IndexFunc(list, func(since time.Duration) bool { return n.run.now-since < n.run.Settings.ConnIdle })
		if open < 0 {
			open = len(list)
		}
		n.run.open[t] -= open
		n.free[t] = list[open:]
		n.Idle[t] = len(n.free[t])
	}
}

func (n *spreadNode) step(events ...decide.Event) {
	for _, a := range n.module.Step(n.run.now, events) {
		switch a := a.(type) {
		case decide.Send:
			target := 0
			fmt.Sscan(a.Target, &target)
			sent := n.run.now
			try := n.tries[a.Message]
			n.tries[a.Message]++
			n.call(target, func(result decide.Result) {
				if result == decide.Succeeded {
					delete(n.tries, a.Message)
				}
				n.step(decide.Outcome{Message: a.Message, Attempt: try, Target: a.Target, Result: result, Latency: n.run.now - sent, NoAnswerNeeded: result == decide.Succeeded})
			})
		case decide.Refuse:
			n.end(a.Message)
		case decide.Fail:
			n.end(a.Message)
		case decide.CloseIdle:
			target := 0
			fmt.Sscan(a.Target, &target)
			n.look()
			n.run.open[target] -= len(n.free[target])
			n.free[target] = nil
		case decide.Wake:
			n.wake++
			mine := n.wake
			n.run.at(n.run.now+max(a.After, time.Microsecond), func() {
				if n.wake == mine {
					n.step(decide.Woken{})
				}
			})
		}
	}
}

// end is that of a message that was not delivered.
func (n *spreadNode) end(message string) {
	delete(n.tries, message)
	n.run.ended++
}

// full tells whether a target takes no further connection.
func (r *spreadRun) full(target int) bool {
	if r.Holds > 0 && r.open[target] >= r.Holds {
		for _, n := range r.nodes { // what has been idle for too long is closed, seen or not
			n.look()
		}
	}
	return r.Holds > 0 && r.open[target] >= r.Holds
}

// call makes one, on the idle connection that was used last, or on a new one.
func (n *spreadNode) call(target int, over func(decide.Result)) {
	r := n.run
	n.look()
	f := Fault{}
	if r.Fault != nil {
		f = r.Fault(target, r.now)
	}
	if k := len(n.free[target]); k > 0 {
		n.free[target] = n.free[target][:k-1]
	} else {
		if r.now >= r.Settle {
			r.opened++
		}
		if r.full(target) {
			f.Fails = decide.ConnectFailed
		} else {
			r.open[target]++
		}
	}
	n.Calls++
	n.Out[target]++
	for r.now-r.faded >= 100*time.Millisecond {
		r.faded += 100 * time.Millisecond
		for i := range r.recent {
			r.recent[i] *= 0.9
		}
	}
	r.recent[target] += 1 / r.weight(target)
	if r.now >= r.Settle {
		r.calls = append(r.calls, spreadCall{r.now, target})
	}
	if f.Fails != decide.Succeeded && r.now >= r.Settle {
		r.failed++
	}
	takes := time.Duration(float64(r.Takes+time.Duration(r.rng.Int64N(int64(r.Takes)+1))) * cmp.Or(f.Slower, 1))
	r.at(r.now+takes, func() {
		n.Out[target]--
		if f.Fails != decide.ConnectFailed {
			n.free[target] = append(n.free[target], r.now)
		}
		if over != nil {
			over(f.Fails)
		}
	})
}

func (r *spreadRun) evenness() *Evenness {
	calls := float64(max(1, len(r.calls)))
	e := &Evenness{Calls: len(r.calls), Connections: float64(r.opened) / calls, Failed: float64(r.failed) / calls, Undelivered: r.ended, Parts: make([]float64, r.Targets)}
	for _, n := range r.nodes {
		n.look()
		for t := range n.Idle {
			e.Held += float64(n.Idle[t]+n.Out[t]) / float64(len(r.nodes))
		}
	}
	e.Second, e.Ten = r.multiple(time.Second), r.multiple(10*time.Second)
	whole := 0.0
	for i := range r.Targets {
		whole += r.weight(i)
	}
	for _, c := range r.calls {
		e.Parts[c.target] += whole / r.weight(c.target) / calls
		if len(r.Away) == 0 || c.target != r.Away[0].Target {
			continue
		}
		if back := r.Away[0].From + r.Away[0].For; c.at >= back && c.at < back+time.Second {
			e.Back += float64(r.Targets) / (float64(r.Forwarders) * r.Rate)
		}
	}
	last := make([]time.Duration, r.Targets)
	for i := range last {
		last[i] = r.Settle
	}
	for _, c := range append(slices.Clone(r.calls), r.ends()...) {
		e.Idle = max(e.Idle, c.at-last[c.target])
		last[c.target] = c.at
	}
	return e
}

// ends stands for what would come after the run.
func (r *spreadRun) ends() (list []spreadCall) {
	for i := range r.Targets {
		list = append(list, spreadCall{r.Length, i})
	}
	return list
}

func (r *spreadRun) multiple(window time.Duration) (m Multiple) {
	counts := map[time.Duration][]float64{}
	for _, c := range r.calls {
		k := (c.at - r.Settle) / window
		if counts[k] == nil {
			counts[k] = make([]float64, r.Targets)
		}
		counts[k][c.target]++
	}
	whole := 0.0
	for i := range r.Targets {
		whole += r.weight(i)
	}
	n := 0
	for k, list := range counts {
		if (k+1)*window+r.Settle > r.Length {
			continue // not a whole one
		}
		all, most := 0.0, 0.0
		for _, c := range list {
			all += c
		}
		for i, c := range list {
			most = max(most, c/(all*r.weight(i)/whole))
		}
		n++
		m.Mean += most
		m.Worst = max(m.Worst, most)
	}
	m.Mean /= float64(cmp.Or(n, 1))
	return m
}
