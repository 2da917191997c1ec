package partial

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/agent"
)

const (
	modelDestinations = 8
	modelEndpoints    = 2 // of each destination
)

// history is the whole list at each index, as control servers have it that are more or less behind.
type history []map[string]string // status by name; by index

func endpointName(destination, n int) string { return fmt.Sprintf("%d-%d", destination, n) }

func entry(destination int, name, status string) agent.Endpoint {
	return agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "std", Group: destination, Status: status, Weight: 1}
}

// at lists a destination as it was at an index.
func (h history) at(destination int, index int64) map[string]string {
	list := map[string]string{}
	for n := range modelEndpoints {
		name := endpointName(destination, n)
		if status, there := h[index][name]; there {
			list[name] = status
		}
	}
	return list
}

// changed tells whether an endpoint changed between two indexes, be it as it was again.
func (h history) changed(name string, from, to int64) bool {
	for i := from; i < to; i++ {
		if h[i][name] != h[i+1][name] {
			return true
		}
	}
	return false
}

// answer is what a server at an index tells about what is asked for, since another index.
func (h history) answer(asked DestinationFilter, from, index int64) Answer {
	a := Answer{Index: index, Snapshot: from == NoIndex}
	for d := range modelDestinations {
		if !asked(d) {
			continue
		}
		for n := range modelEndpoints {
			name := endpointName(d, n)
			now, there := h[index][name]
			if from != NoIndex && !h.changed(name, from, index) {
				continue
			}
			switch {
			case there:
				a.Endpoints = append(a.Endpoints, entry(d, name, now))
			case from != NoIndex:
				a.Endpoints = append(a.Endpoints, entry(d, name, agent.Deleted))
			}
		}
	}
	return a
}

// model drives a State and knows what must come of it.
type model struct {
	t        *rapid.T
	limits   Limits
	state    *State
	history  history
	now      time.Duration
	part     map[int]bool
	applied  map[int]int64 // the newest index received for each destination that is known
	ever     map[int]int64 // the same, also of those that are not known any more
	view     map[string]agent.Endpoint
	messages []int // destinations that are referred to, one for each message
	waiting  []int
	batches  [][]int
	spent    float64
	excess   float64 // of look-ups that were dearer than they were paid for
	visited  map[string]int
}

func newModel(t *rapid.T, visited map[string]int) *model {
	limits := Limits{MaxFetched: 2, MaxExtraWatched: 2, MaxWaiting: 6, MaxBatch: 2, MaxInFlight: 2, LookupBytesPerSecond: 1000, Burst: 1200, MaxBudgetDelay: 500 * time.Millisecond, MissingTTL: time.Second, MaxMissing: 2}
	return &model{t: t, limits: limits, state: New(limits), history: history{{}}, part: map[int]bool{}, applied: map[int]int64{}, ever: map[int]int64{},
		view: map[string]agent.Endpoint{}, visited: visited}
}

// expect has a State know of messages that were accepted before it was made.
func (m *model) expect() {
	for range rapid.IntRange(0, 2).Draw(m.t, "recovered") {
		d := rapid.IntRange(0, modelDestinations-1).Draw(m.t, "recovered for")
		m.state.AddRecoveredMessage(d)
		m.messages = append(m.messages, d)
	}
}

// take does with an update what an engine would.
func (m *model) take(u Update) {
	for _, e := range u.Evicted {
		if slices.Contains(m.messages, e.Destination) {
			m.t.Fatalf("destination %d is evicted, and has messages %v", e.Destination, m.messages)
		}
		for _, name := range e.Endpoints {
			delete(m.view, name)
		}
		delete(m.applied, e.Destination)
		m.visited["evicted"]++
	}
	for _, e := range u.Changed {
		if e.Status == agent.Deleted {
			delete(m.view, e.Name)
		} else {
			m.view[e.Name] = e
		}
	}
}

// received notes an answer that was applied.
func (m *model) received(asked DestinationFilter, index int64) {
	for d := range modelDestinations {
		if asked(d) && (m.part[d] || m.state.destinations[d] != nil) {
			m.applied[d] = max(m.applied[d], index)
			m.ever[d] = max(m.ever[d], index)
		}
	}
}

// change makes the next version of the list.
func (m *model) change() {
	next := maps.Clone(m.history[len(m.history)-1])
	d := rapid.IntRange(0, modelDestinations-2).Draw(m.t, "destination") // the last one never exists
	name := endpointName(d, rapid.IntRange(0, modelEndpoints-1).Draw(m.t, "endpoint"))
	if status := rapid.SampledFrom([]string{agent.Serving, agent.Serving, agent.Draining, agent.Deleted}).Draw(m.t, "status"); status == agent.Deleted {
		delete(next, name)
	} else {
		next[name] = status
	}
	m.history = append(m.history, next)
}

// index is that of some control server.
func (m *model) index() int64 {
	newest := len(m.history) - 1
	return int64(rapid.IntRange(max(0, newest-3), newest).Draw(m.t, "index"))
}

func (m *model) watch() {
	w := m.state.NextWatch()
	if rapid.IntRange(0, 4).Draw(m.t, "lost") == 0 {
		return
	}
	index := m.index()
	if index < w.From { // a server that is behind says so
		return
	}
	from := w.From
	if rapid.IntRange(0, 3).Draw(m.t, "changes known") == 0 {
		from = NoIndex
	}
	asked := func(d int) bool { return m.part[d] || slices.Contains(w.Destinations, d) }
	meanwhile := rapid.IntRange(0, 2).Draw(m.t, "meanwhile")
	answer := m.history.answer(asked, from, index)
	for range meanwhile { // while it is held, look-ups are answered
		m.lookup()
		m.arrive()
	}
	requested := func(d int) bool {
		known := m.state.destinations[d]
		return m.part[d] || known != nil && known.requested == w.sequence
	}
	u, err := m.state.ApplyWatch(w, answer)
	if err != nil {
		m.visited["older watch"]++
		return
	}
	m.received(requested, index)
	m.take(u)
	m.visited["watch"]++
}

func (m *model) scope() {
	next := map[int]bool{}
	for d := range modelDestinations {
		if rapid.IntRange(0, 2).Draw(m.t, "owns") == 0 {
			next[d] = true
		}
	}
	before := m.part
	gained := func(d int) bool { return next[d] && !before[d] }
	owns := func(d int) bool { return next[d] }
	if !m.state.Complete() || rapid.IntRange(0, 3).Draw(m.t, "whole") == 0 {
		u, err := m.state.ApplyScope(owns, gained, nil)
		if err != nil {
			m.t.Fatal(err)
		}
		m.state.Reset()
		m.part = next
		m.take(u)
		return
	}
	index := m.index()
	answer := m.history.answer(gained, NoIndex, index)
	u, err := m.state.ApplyScope(owns, gained, &answer)
	if err != nil {
		m.visited["older scope"]++
		return
	}
	m.part = next
	m.received(gained, index)
	m.take(u)
	m.visited["scope"]++
}

func (m *model) arrive() {
	d := rapid.IntRange(0, modelDestinations-1).Draw(m.t, "for")
	switch m.state.Admit(m.now, d).Action {
	case Proceed:
		if _, received := m.applied[d]; !received && !m.state.missing.has(m.now, d) && !(m.part[d] && m.state.Complete()) {
			m.t.Fatalf("a message for %d passes, of which nothing was received", d)
		}
		m.messages = append(m.messages, d)
	case Wait:
		m.messages = append(m.messages, d)
		m.waiting = append(m.waiting, d)
	case Reject:
		m.visited["rejected"]++
	}
}

// release completes one message that does not wait.
func (m *model) release() {
	for i, d := range m.messages {
		if slices.Contains(m.waiting, d) {
			continue
		}
		m.messages = slices.Delete(m.messages, i, i+1)
		m.take(m.state.Release(d))
		return
	}
}

func (m *model) lookup() {
	if batch, _ := m.state.NextLookup(m.now); len(batch) > 0 {
		m.batches = append(m.batches, batch)
	}
	if len(m.batches) == 0 || rapid.Bool().Draw(m.t, "later") {
		return
	}
	batch := m.batches[0]
	m.batches = m.batches[1:]
	bytes := int64(rapid.IntRange(100, 900).Draw(m.t, "bytes"))
	m.spent += float64(bytes)
	m.excess += max(0, float64(bytes)-lookupCost(len(batch)))
	asked := func(d int) bool { return slices.Contains(batch, d) }
	if rapid.IntRange(0, 3).Draw(m.t, "failed") == 0 {
		m.take(m.state.FailLookup(m.now, batch, bytes))
	} else {
		index := m.index()
		u, err := m.state.ApplyLookup(m.now, batch, m.history.answer(asked, NoIndex, index), bytes)
		m.take(u)
		if err == nil {
			m.lookedUp(batch, index)
		} else {
			m.visited["older look-up"]++
		}
	}
	for len(m.waiting) > 0 {
		i := slices.IndexFunc(m.waiting, asked)
		if i < 0 {
			return
		}
		d := m.waiting[i]
		m.waiting = slices.Delete(m.waiting, i, i+1)
		if m.state.Resume(m.now, d).Action == Reject {
			m.drop(d)
		}
	}
}

// lookedUp checks that an answer which counts is not older than anything received of its destinations.
func (m *model) lookedUp(batch []int, index int64) {
	for _, d := range batch {
		if m.ever[d] > index {
			m.t.Fatalf("destination %d was received at index %d, and an answer of index %d is applied", d, m.ever[d], index)
		}
	}
	m.received(func(d int) bool { return slices.Contains(batch, d) }, index)
	m.visited["look-up"]++
}

// drop ends one message.
func (m *model) drop(d int) {
	i := slices.Index(m.messages, d)
	m.messages = slices.Delete(m.messages, i, i+1)
	m.take(m.state.Release(d))
}

func (m *model) check() {
	if w := m.state.beside(); len(w) > m.limits.MaxExtraWatched {
		m.t.Fatalf("%d destinations beside the part are watched", len(w))
	}
	if m.state.fetched > m.limits.MaxFetched || m.state.lookups.waiting > m.limits.MaxWaiting || m.state.lookups.waiting != len(m.waiting) ||
		len(m.state.missing.until) > m.limits.MaxMissing || len(m.state.lookups.pending) > m.limits.MaxFetched {
		m.t.Fatalf("bounds %+v: %+v, %d missing, %d pending, %d wait", m.limits, m.state.Counts(), len(m.state.missing.until), len(m.state.lookups.pending), len(m.waiting))
	}
	if most := m.limits.Burst + m.limits.LookupBytesPerSecond*m.now.Seconds() + m.excess; m.spent > most {
		m.t.Fatalf("look-ups have cost %.0f bytes in %v, and %.0f were allowed", m.spent, m.now, most)
	}
	for d := range modelDestinations {
		known := m.state.destinations[d]
		if known == nil && !m.part[d] {
			continue
		}
		want := map[string]string{}
		if index, received := m.applied[d]; received {
			want = m.history.at(d, index)
		}
		have := map[string]string{}
		for _, e := range m.view {
			if e.Group == d {
				have[e.Name] = e.Status
			}
		}
		if !maps.Equal(have, want) {
			m.t.Fatalf("destination %d: %v; by the newest answer, of index %d: %v", d, have, m.applied[d], want)
		}
	}
	if len(m.view) != len(m.state.byName) {
		m.t.Fatalf("the engine has %d endpoints, the state %d", len(m.view), len(m.state.byName))
	}
}

// TestModel: whatever control servers answer, late, behind each other or not at all, each destination is as the newest answer received for it says, none that has
// messages is evicted, no bound is exceeded, and look-ups keep to their budget.
func TestModel(t *testing.T) {
	visited := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, visited)
		m.expect()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.change()
			case 2, 3:
				m.watch()
			case 4:
				m.scope()
			case 5, 6:
				m.arrive()
			case 7:
				m.lookup()
			case 8:
				m.release()
			case 9:
				m.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			}
			m.check()
		}
	})
	for _, what := range []string{"watch", "older watch", "scope", "older scope", "look-up", "older look-up", "evicted", "rejected"} {
		if visited[what] == 0 {
			t.Errorf("%s never occurred: the test shows too little (%v)", what, visited)
		}
	}
	t.Log(visited)
}
