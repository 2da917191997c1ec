package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Member is what was heard of one.
type Member struct {
	Source   string        // its door
	Offset   time.Duration // its clock less that of who asks
	Snapshot *Snapshot
	Err      string // why there is none
}

// Report is what all come to.
type Report struct {
	Members      int           `json:"members"` // that have answered
	Until        int64         `json:"until_s"` // the last second that all have told, Unix time by the clock of who asks
	Seconds      int           `json:"seconds"` // that are looked at
	Destinations []Destination `json:"destinations"`
	Caveats      []string      `json:"caveats,omitempty"`
}

// Destination is the spread over its targets.
type Destination struct {
	Destination int      `json:"destination"`
	Calls       int      `json:"calls"`
	Second      Multiple `json:"second"`
	Ten         Multiple `json:"ten_seconds"`
	Targets     []Load   `json:"targets"`
	Herds       []Herd   `json:"herds,omitempty"`
	Idle        []Idle   `json:"idle,omitempty"`
}

// Multiple is the part of the most loaded target in windows of one length, in times its share.
type Multiple struct {
	Windows int     `json:"windows"` // with so many calls that each share is one call at least
	Mean    float64 `json:"mean"`
	Worst   float64 `json:"worst"`
	Chance  float64 `json:"chance"` // the mean, if each call drew its target by chance
}

// Load is one target's.
type Load struct {
	Name        string         `json:"name"`
	Share       float64        `json:"share"` // of the calls, by weight among those that serve
	Calls       int            `json:"calls"`
	Bad         int            `json:"bad"`
	Now         float64        `json:"now"`            // calls a second in the last ten
	Times       float64        `json:"times"`          // its part of the calls, in times its share
	Members     int            `json:"members"`        // that have a connection to it
	Connections int            `json:"connections"`    // of all
	Held        map[string]int `json:"held,omitempty"` // members that would not call it now, by reason
	Drains      int            `json:"drains"`         // members for which it does not serve
	Seconds     []int          `json:"seconds"`        // calls in each
}

// Herd is a target with more in a window than chance gives.
type Herd struct {
	Target string  `json:"target"`
	From   int64   `json:"from_s"` // the window of ten seconds
	Calls  int     `json:"calls"`
	Times  float64 `json:"times"` // its share
	Ground Ground  `json:"ground"`
	Detail string  `json:"detail,omitempty"`
}

// Ground is why a herd is one, as far as the counts say.
type Ground string

// The grounds.
const (
	OneSender Ground = "one sender"       // one member has most of what is too much
	Return    Ground = "return"           // it has just begun to serve
	Lists     Ground = "lists differ"     // members do not list others that the rest do
	Held      Ground = "others are held"  // members would not call others now
	Connected Ground = "connections kept" // members go back to the few that they are connected to
	Unknown   Ground = "unknown"
)

// Idle is a target that should have calls and has none.
type Idle struct {
	Target string  `json:"target"`
	For    int     `json:"for_s"`
	Due    float64 `json:"due"` // calls a second
	Why    string  `json:"why"`
}

// Bounds of what is told as one.
const (
	idleDue    = 3.0 // calls a second: a target with so much due
	idleFor    = 3   // and none for so many seconds is idle
	sigmas     = 4.0 // standard deviations: a window in 30,000 has more by chance
	tens       = 10
	chanceRuns = 200 // that Chance is the mean of
)

// Merge puts together what members have told. Each one's seconds are moved by its clock's error, in whole seconds.
func Merge(members []Member, seconds int) *Report {
	r := &Report{Seconds: min(max(seconds, tens), Kept-2), Until: math.MaxInt64}
	var told []*Snapshot
	var shift []int64
	for _, m := range members {
		if m.Snapshot == nil {
			r.Caveats = append(r.Caveats, fmt.Sprintf("%s has told nothing: %s", m.Source, m.Err))
			continue
		}
		by := int64(math.Round(m.Offset.Seconds()))
		told, shift = append(told, m.Snapshot), append(shift, by)
		r.Until = min(r.Until, m.Snapshot.Until-by)
	}
	if r.Members = len(told); r.Members == 0 {
		r.Until = 0
		return r
	}
	from := r.Until - int64(r.Seconds) + 1
	dests := map[int]*merging{}
	for i, s := range told {
		if s.Began-shift[i] > from {
			r.Caveats = append(r.Caveats, fmt.Sprintf("%s has counted for %d s only", s.Name, max(0, r.Until-(s.Began-shift[i])+1)))
		}
		if s.Others > 0 {
			r.Caveats = append(r.Caveats, fmt.Sprintf("%s had no room to count %d calls", s.Name, s.Others))
		}
		for j := range s.Targets {
			t := &s.Targets[j]
			d := dests[t.Destination]
			if d == nil {
				d = &merging{targets: map[string]*merged{}}
				dests[t.Destination] = d
			}
			d.take(i, s, t, from, r.Seconds, shift[i])
		}
	}
	for id, d := range dests {
		r.Destinations = append(r.Destinations, d.report(id, r, from))
	}
	slices.SortFunc(r.Destinations, func(a, b Destination) int { return cmp.Compare(a.Destination, b.Destination) })
	return r
}

// merging is a destination while it is put together.
type merging struct{ targets map[string]*merged }

// merged is a target of it: by member what that one tells.
type merged struct {
	Load
	weight float64 // the mean of those who tell one
	by     map[int]view
	listed int // members that list it as serving
}

type view struct {
	*Target
	since int64 // by the clock of who asks
	calls []int
}

func (d *merging) take(member int, s *Snapshot, t *Target, from int64, seconds int, shift int64) {
	m := d.targets[t.Name]
	if m == nil {
		m = &merged{Load: Load{Name: t.Name, Held: map[string]int{}, Seconds: make([]int, seconds)}, by: map[int]view{}}
		d.targets[t.Name] = m
	}
	v := view{t, t.Since - shift, make([]int, seconds)}
	fill := func(list []int, to func(i, n int)) {
		last := s.Until - shift
		for k, n := range list {
			if i := int(last - int64(len(list)-1-k) - from); i >= 0 && i < seconds {
				to(i, n)
			}
		}
	}
	fill(t.Calls, func(i, n int) { v.calls[i] += n; m.Seconds[i] += n; m.Calls += n })
	fill(t.Bad, func(i, n int) { m.Bad += n })
	m.by[member] = v
	m.Connections += t.Connections
	if t.Connections > 0 {
		m.Members++
	}
	if t.Held != "" && t.Serves {
		m.Held[t.Held]++
	}
	if t.Serves {
		m.listed++
		m.weight += cmp.Or(max(t.Weight, 0), 1)
	} else {
		m.Drains++
	}
}

// serving are those that most of who know them say serve, by name, with their shares.
func (d *merging) serving() (list []*merged) {
	whole := 0.0
	for _, m := range d.targets {
		if m.listed > 0 {
			m.weight /= float64(m.listed)
		}
		if m.listed > m.Drains {
			list = append(list, m)
			whole += m.weight
		}
	}
	for _, m := range list {
		m.Share = m.weight / whole
	}
	slices.SortFunc(list, func(a, b *merged) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (d *merging) report(id int, r *Report, from int64) (to Destination) {
	to.Destination = id
	serving := d.serving()
	counts := make([][]int, len(serving)) // by target and second
	shares := make([]float64, len(serving))
	for i, m := range serving {
		counts[i], shares[i] = m.Seconds, m.Share
		to.Calls += m.Calls
	}
	to.Second, to.Ten = Multiples(counts, shares, 1), Multiples(counts, shares, tens)
	for _, m := range serving {
		last := 0
		for _, n := range m.Seconds[len(m.Seconds)-tens:] {
			last += n
		}
		m.Now = float64(last) / tens
		if to.Calls > 0 {
			m.Times = float64(m.Calls) / (float64(to.Calls) * m.Share)
		}
	}
	for at := 0; at+tens <= r.Seconds; at += tens {
		all := 0
		for _, c := range counts {
			all += sum(c[at : at+tens])
		}
		for i, m := range serving {
			n, due := sum(counts[i][at:at+tens]), float64(all)*shares[i]
			if float64(n) > due+sigmas*math.Sqrt(due)+1 {
				h := Herd{Target: m.Name, From: from + int64(at), Calls: n, Times: float64(n) / due}
				h.Ground, h.Detail = d.ground(m, serving, at, from, float64(n)-due, r.Members)
				to.Herds = append(to.Herds, h)
			}
		}
	}
	for _, m := range d.targets {
		to.Targets = append(to.Targets, m.Load)
		if idle, ok := m.idle(to.Calls, r, serving); ok {
			to.Idle = append(to.Idle, idle)
		}
	}
	slices.SortFunc(to.Targets, func(a, b Load) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(to.Idle, func(a, b Idle) int { return cmp.Compare(a.Target, b.Target) })
	return to
}

// ground says why a target has had so much too much in ten seconds, as far as the counts tell. What one member or one moment explains goes before what is so all the time.
func (d *merging) ground(m *merged, serving []*merged, at int, from int64, excess float64, members int) (Ground, string) {
	most, who, back := 0, "", 0
	for _, v := range m.by {
		if n := sum(v.calls[at : at+tens]); n > most || n == most && v.Name < who {
			most, who = n, v.Name
		}
		if begins := v.since - from; v.Serves && begins > int64(at-tens) && begins < int64(at+tens) {
			back++
		}
	}
	if others := float64(sum(m.Seconds[at:at+tens])-most) / float64(max(1, len(m.by)-1)); float64(most) > excess/2 && float64(most) > 3*others+1 {
		return OneSender, fmt.Sprintf("one member makes %d of its calls, the others %.1f each", most, others)
	}
	if 2*back > m.listed {
		return Return, fmt.Sprintf("it has begun to serve for %d members at that time", back)
	}
	worst, lack := "", 0
	held, holders := "", 0
	connected := 0
	for _, o := range serving {
		if n := members - o.listed; n > lack {
			worst, lack = o.Name, n
		}
		for _, why := range Reasons(o.Held) {
			if n := o.Held[why]; o != m && n > holders {
				held, holders = o.Name+": "+why, n
			}
		}
		connected += o.Members
	}
	switch {
	case 10*lack > members:
		return Lists, fmt.Sprintf("%d of %d members do not have %s", lack, members, worst)
	case 2*holders > members:
		return Held, fmt.Sprintf("%d members would not call %s", holders, held)
	case 2*connected < members*len(serving) && float64(m.Members) > 1.5*float64(connected)/float64(len(serving)):
		return Connected, fmt.Sprintf("%d members are connected to it, %.1f to each on average", m.Members, float64(connected)/float64(len(serving)))
	}
	return Unknown, ""
}

// Reasons lists why members would not call a target, by name.
func Reasons(m map[string]int) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// idle tells whether a target has had nothing for a while, though it should or would if it served.
func (m *merged) idle(calls int, r *Report, serving []*merged) (Idle, bool) {
	i := Idle{Target: m.Name}
	for k := len(m.Seconds) - 1; k >= 0 && m.Seconds[k] == 0; k-- {
		i.For++
	}
	share := m.Share
	if share == 0 && len(serving) > 0 { // what an equal part would be
		share = 1 / float64(len(serving)+1)
	}
	if i.Due = float64(calls) / float64(r.Seconds) * share; i.Due < idleDue || i.For < idleFor {
		return i, false
	}
	hand, held := 0, 0
	for _, v := range m.by {
		hand += btoi(v.ByHand)
	}
	var reasons []string
	for _, why := range Reasons(m.Held) {
		held += m.Held[why]
		reasons = append(reasons, fmt.Sprintf("%s (%d members)", why, m.Held[why]))
	}
	switch {
	case hand > 0:
		i.Why = fmt.Sprintf("left out by hand at %d members", hand)
	case m.Share == 0:
		i.Why = fmt.Sprintf("drains for %d members", m.Drains)
	case held > 0:
		i.Why = strings.Join(reasons, ", ")
	case m.Connections == 0:
		i.Why = "nobody is connected"
	default:
		i.Why = "unknown"
	}
	return i, true
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sum(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

// Multiples says how the most loaded target stands in windows of so many places, of counts by target and place. Shares sum to 1.
func Multiples(counts [][]int, shares []float64, window int) (m Multiple) {
	if len(counts) == 0 {
		return m
	}
	least := slices.Min(shares)
	for at := 0; at+window <= len(counts[0]); at += window {
		all := 0
		for _, c := range counts {
			all += sum(c[at : at+window])
		}
		if float64(all)*least < 1 {
			continue
		}
		most := 0.0
		for i, c := range counts {
			most = max(most, float64(sum(c[at:at+window]))/(float64(all)*shares[i]))
		}
		m.Windows++
		m.Mean, m.Worst = m.Mean+most, max(m.Worst, most)
		m.Chance += chance(all, shares, uint64(m.Windows), max(1, chanceRuns*window/max(1, len(counts[0]))))
	}
	if m.Windows > 0 {
		m.Mean, m.Chance = m.Mean/float64(m.Windows), m.Chance/float64(m.Windows)
	}
	return m
}

// chance is what the most loaded has on average, in times its share, if so many calls are drawn.
func chance(calls int, shares []float64, seed uint64, runs int) (mean float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(calls)))
	sums := make([]float64, len(shares))
	whole := 0.0
	for i, s := range shares {
		whole += s
		sums[i] = whole
	}
	drawn := make([]int, len(shares))
	for range runs {
		clear(drawn)
		for range calls {
			i, _ := slices.BinarySearch(sums, rng.Float64()*whole)
			drawn[min(i, len(drawn)-1)]++
		}
		most := 0.0
		for i, n := range drawn {
			most = max(most, float64(n)/(float64(calls)*shares[i]))
		}
		mean += most / float64(runs)
	}
	return mean
}
