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
	modelEndpoints    = 2 // per destination
)

// history holds the whole list at each index. Control servers that are out of date answer from an older index.
type history []map[string]string // for each index: status by endpoint name

func endpointName(destination, n int) string { return fmt.Sprintf("%d-%d", destination, n) }

func entry(destination int, name, status string) agent.Endpoint {
	return agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "std", Group: destination, Status: status, Weight: 1}
}

// at returns the endpoints of a destination at an index, as status by name.
func (h history) at(destination int, index int64) map[string]string {
	list := map[string]string{}
	for n := range modelEndpoints {
		name := endpointName(destination, n)
		if status, exists := h[index][name]; exists {
			list[name] = status
		}
	}
	return list
}

// changed reports whether an endpoint changed between two indexes, even if it changed back.
func (h history) changed(name string, from, to int64) bool {
	for i := from; i < to; i++ {
		if h[i][name] != h[i+1][name] {
			return true
		}
	}
	return false
}

// answer returns the answer of a server at an index: the changes of the requested destinations since another index, or a snapshot.
func (h history) answer(asked DestinationFilter, from, index int64) Answer {
	a := Answer{Index: index, Snapshot: from == NoIndex}
	for d := range modelDestinations {
		if !asked(d) {
			continue
		}
		for n := range modelEndpoints {
			name := endpointName(d, n)
			status, exists := h[index][name]
			if from != NoIndex && !h.changed(name, from, index) {
				continue
			}
			switch {
			case exists:
				a.Endpoints = append(a.Endpoints, entry(d, name, status))
			case from != NoIndex:
				a.Endpoints = append(a.Endpoints, entry(d, name, agent.Deleted))
			}
		}
	}
	return a
}

// model drives a State and keeps what it must know.
type model struct {
	t                 *rapid.T
	limits            Limits
	state             *State
	history           history
	now               time.Duration
	ownedDestinations map[int]bool
	applied           map[int]int64 // newest index received for each known destination
	newestEver        map[int]int64 // like applied, but evicted destinations stay
	view              map[string]agent.Endpoint
	messages          []int // destination of each message
	waiting           []int
	batches           [][]int
	spent             float64
	overrun           float64 // bytes by which lookups cost more than was deducted in advance
	occurrences       map[string]int
}

func newModel(t *rapid.T, occurrences map[string]int) *model {
	limits := Limits{MaxFetched: 2, MaxExtraWatched: 2, MaxWaiting: 6, MaxBatch: 2, MaxInFlight: 2, LookupBytesPerSecond: 1000, Burst: 1200, MaxBudgetDelay: 500 * time.Millisecond, MissingTTL: time.Second, MaxMissing: 2}
	return &model{t: t, limits: limits, state: New(limits), history: history{{}}, ownedDestinations: map[int]bool{}, applied: map[int]int64{}, newestEver: map[int]int64{},
		view: map[string]agent.Endpoint{}, occurrences: occurrences}
}

// recoverMessages adds messages that were accepted before the State was created.
func (m *model) recoverMessages() {
	for range rapid.IntRange(0, 2).Draw(m.t, "recovered") {
		d := rapid.IntRange(0, modelDestinations-1).Draw(m.t, "recovered for")
		m.state.AddRecoveredMessage(d)
		m.messages = append(m.messages, d)
	}
}

// applyUpdate applies an update as the engine does.
func (m *model) applyUpdate(u Update) {
	for _, e := range u.Evicted {
		if slices.Contains(m.messages, e.Destination) {
			m.t.Fatalf("destination %d is evicted although messages refer to it: %v", e.Destination, m.messages)
		}
		for _, name := range e.Endpoints {
			delete(m.view, name)
		}
		delete(m.applied, e.Destination)
		m.occurrences["evicted"]++
	}
	for _, e := range u.Changed {
		if e.Status == agent.Deleted {
			delete(m.view, e.Name)
		} else {
			m.view[e.Name] = e
		}
	}
}

// received records the index of an answer that was applied.
func (m *model) received(asked DestinationFilter, index int64) {
	for d := range modelDestinations {
		if asked(d) && (m.ownedDestinations[d] || m.state.destinations[d] != nil) {
			m.applied[d] = max(m.applied[d], index)
			m.newestEver[d] = max(m.newestEver[d], index)
		}
	}
}

// change appends a new version of the list.
func (m *model) change() {
	next := maps.Clone(m.history[len(m.history)-1])
	d := rapid.IntRange(0, modelDestinations-2).Draw(m.t, "destination") // the last destination never exists
	name := endpointName(d, rapid.IntRange(0, modelEndpoints-1).Draw(m.t, "endpoint"))
	if status := rapid.SampledFrom([]string{agent.Serving, agent.Serving, agent.Draining, agent.Deleted}).Draw(m.t, "status"); status == agent.Deleted {
		delete(next, name)
	} else {
		next[name] = status
	}
	m.history = append(m.history, next)
}

// index draws the index of the control server that answers.
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
	if index < w.From { // a server that is out of date sends no list
		return
	}
	from := w.From
	if rapid.IntRange(0, 3).Draw(m.t, "changes known") == 0 {
		from = NoIndex
	}
	asked := func(d int) bool { return m.ownedDestinations[d] || slices.Contains(w.Destinations, d) }
	lookupsInBetween := rapid.IntRange(0, 2).Draw(m.t, "meanwhile")
	answer := m.history.answer(asked, from, index)
	for range lookupsInBetween { // the server holds the watch while lookups are answered
		m.lookup()
		m.arrive()
	}
	requested := func(d int) bool {
		known := m.state.destinations[d]
		return m.ownedDestinations[d] || known != nil && known.requestedBy == w.sequence
	}
	u, err := m.state.ApplyWatch(w, answer)
	if err != nil {
		m.occurrences["older watch"]++
		return
	}
	m.received(requested, index)
	m.applyUpdate(u)
	m.occurrences["watch"]++
}

func (m *model) scope() {
	next := map[int]bool{}
	for d := range modelDestinations {
		if rapid.IntRange(0, 2).Draw(m.t, "owns") == 0 {
			next[d] = true
		}
	}
	before := m.ownedDestinations
	gained := func(d int) bool { return next[d] && !before[d] }
	owns := func(d int) bool { return next[d] }
	if !m.state.Complete() || rapid.IntRange(0, 3).Draw(m.t, "whole") == 0 {
		u, err := m.state.ApplyScope(owns, gained, nil)
		if err != nil {
			m.t.Fatal(err)
		}
		m.state.Reset()
		m.ownedDestinations = next
		m.applyUpdate(u)
		return
	}
	index := m.index()
	answer := m.history.answer(gained, NoIndex, index)
	u, err := m.state.ApplyScope(owns, gained, &answer)
	if err != nil {
		m.occurrences["older scope"]++
		return
	}
	m.ownedDestinations = next
	m.received(gained, index)
	m.applyUpdate(u)
	m.occurrences["scope"]++
}

func (m *model) arrive() {
	d := rapid.IntRange(0, modelDestinations-1).Draw(m.t, "for")
	switch m.state.Admit(m.now, d).Action {
	case Proceed:
		if _, received := m.applied[d]; !received && !m.state.missing.has(m.now, d) && !(m.ownedDestinations[d] && m.state.Complete()) {
			m.t.Fatalf("a message for destination %d proceeds although no answer for it was received", d)
		}
		m.messages = append(m.messages, d)
	case Wait:
		m.messages = append(m.messages, d)
		m.waiting = append(m.waiting, d)
	case Reject:
		m.occurrences["rejected"]++
	}
}

// release releases one message that does not wait.
func (m *model) release() {
	for i, d := range m.messages {
		if slices.Contains(m.waiting, d) {
			continue
		}
		m.messages = slices.Delete(m.messages, i, i+1)
		m.applyUpdate(m.state.Release(d))
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
	m.overrun += max(0, float64(bytes)-lookupCost(len(batch)))
	asked := func(d int) bool { return slices.Contains(batch, d) }
	if rapid.IntRange(0, 3).Draw(m.t, "failed") == 0 {
		m.applyUpdate(m.state.FailLookup(m.now, batch, bytes))
	} else {
		index := m.index()
		u, err := m.state.ApplyLookup(m.now, batch, m.history.answer(asked, NoIndex, index), bytes)
		m.applyUpdate(u)
		if err == nil {
			m.checkAppliedLookup(batch, index)
		} else {
			m.occurrences["older lookup"]++
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
			m.releaseMessage(d)
		}
	}
}

// checkAppliedLookup checks that an applied lookup answer is not older than any answer received for its destinations, and records it.
func (m *model) checkAppliedLookup(batch []int, index int64) {
	for _, d := range batch {
		if m.newestEver[d] > index {
			m.t.Fatalf("destination %d was received at index %d, but an answer of index %d was applied", d, m.newestEver[d], index)
		}
	}
	m.received(func(d int) bool { return slices.Contains(batch, d) }, index)
	m.occurrences["lookup"]++
}

// releaseMessage removes one message for a destination and releases its reference.
func (m *model) releaseMessage(d int) {
	i := slices.Index(m.messages, d)
	m.messages = slices.Delete(m.messages, i, i+1)
	m.applyUpdate(m.state.Release(d))
}

func (m *model) check() {
	if w := m.state.watchedOutside(); len(w) > m.limits.MaxExtraWatched {
		m.t.Fatalf("%d destinations outside the owned part are watched, more than the limit", len(w))
	}
	if m.state.fetched > m.limits.MaxFetched || m.state.lookups.waitingMessages > m.limits.MaxWaiting || m.state.lookups.waitingMessages != len(m.waiting) ||
		len(m.state.missing.expiry) > m.limits.MaxMissing || len(m.state.lookups.pending) > m.limits.MaxFetched {
		m.t.Fatalf("a limit of %+v is exceeded: %+v, %d missing, %d pending, %d messages wait", m.limits, m.state.Counts(), len(m.state.missing.expiry), len(m.state.lookups.pending), len(m.waiting))
	}
	if allowed := m.limits.Burst + m.limits.LookupBytesPerSecond*m.now.Seconds() + m.overrun; m.spent > allowed {
		m.t.Fatalf("lookups cost %.0f bytes in %v, but the budget allows %.0f", m.spent, m.now, allowed)
	}
	for d := range modelDestinations {
		known := m.state.destinations[d]
		if known == nil && !m.ownedDestinations[d] {
			continue
		}
		want := map[string]string{}
		if index, received := m.applied[d]; received {
			want = m.history.at(d, index)
		}
		got := map[string]string{}
		for _, e := range m.view {
			if e.Group == d {
				got[e.Name] = e.Status
			}
		}
		if !maps.Equal(got, want) {
			m.t.Fatalf("destination %d has endpoints %v; the newest answer, of index %d, has %v", d, got, m.applied[d], want)
		}
	}
	if len(m.view) != len(m.state.byName) {
		m.t.Fatalf("the engine has %d endpoints, the State has %d", len(m.view), len(m.state.byName))
	}
}

// TestStateAgainstModel runs random operations with control servers that answer late, with different indexes or not at all. After each operation every destination
// must match the newest answer received for it, no destination with messages may be evicted, no limit may be exceeded, and lookups must stay within their budget.
func TestStateAgainstModel(t *testing.T) {
	occurrences := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, occurrences)
		m.recoverMessages()
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
	for _, what := range []string{"watch", "older watch", "scope", "older scope", "lookup", "older lookup", "evicted", "rejected"} {
		if occurrences[what] == 0 {
			t.Errorf("%s never occurred, so the test did not cover it (%v)", what, occurrences)
		}
	}
	t.Log(occurrences)
}
