// Package agent speaks to the platform's agent on this machine: it watches
// discovery's list of endpoints, and takes final answers to the platform as notices.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/version"
)

// What a watch misses that has fallen silent counts as told 6 s after that, or 2 s after the end of the wait that it may last, if that is later
// (the platform's page on the standing test). So where asking costs nothing a watch waits for no longer than makes the two the same; and it is
// given up in the middle of those 2 s, so that there is time left to ask anew.
const (
	silentTold = 6 * time.Second
	waitTold   = 2 * time.Second
	pushedHold = silentTold - waitTold
	askedHold  = 20 * time.Second // where each call is work for discovery
	holdMargin = waitTold / 2
)

const (
	listTime    = 2 * time.Second
	askedTime   = 5 * time.Second / 2    // where the list must be asked for: a refusal may take 2 s to come, and tells more than silence
	noticeTime  = 100 * time.Millisecond // the first time; twice as long each time after
	noticeMost  = time.Second
	maxList     = 64 << 20 // bytes of a list
	maxOther    = 4 << 10  // of any other answer
	noticeBatch = 256

	// Draining and Deleted are states of a target; any other is that it serves.
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// List is a list of targets in discovery's form.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one target in such a list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
}

// ToEngineList is the list in the engine's terms.
func (l *List) ToEngineList(scope decide.ListScope) engine.List {
	v := engine.List{Scope: scope, Endpoints: make([]engine.Endpoint, len(l.Endpoints))}
	for i, t := range l.Endpoints {
		state := decide.Active
		switch t.Status {
		case Draining:
			state = decide.Draining
		case Deleted:
			state = decide.Gone
		}
		v.Endpoints[i] = engine.Endpoint{Address: t.Address, Target: decide.Target{ID: t.Name, Destination: t.Group,
			Kind: t.Type, Zone: t.Zone, State: state, Weight: t.Weight}}
	}
	return v
}

// EngineUpdate is the list as told by a watch: whole, or what changed.
func (l *List) EngineUpdate() engine.List {
	if l.Snapshot {
		return l.ToEngineList(decide.Snapshot)
	}
	return l.ToEngineList(decide.Delta)
}

// Platform speaks to discovery and takes notices to the platform.
type Platform struct {
	fleet Fleet

	mu      sync.Mutex
	last    map[string]Endpoint // the list as told last, where Last is wanted
	version int64               // its
	agent   *agent
	pending []notice
	look    func()            // ends the wait of the watch that is out, or of the pause; nil while none is
	asked   []chan<- struct{} // who waits for an answer to a call that begins from now on
	wake    chan struct{}
}

// agent is one address of discovery, until move names another.
type agent struct {
	base   string
	client *http.Client
	left   context.Context // ends when another address is used
	leave  context.CancelFunc
}

// notice is the end of a message that was not delivered.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// New makes a Platform that speaks to an address, host:port, as one of a fleet.
func New(address string, fleet Fleet) *Platform {
	return &Platform{fleet: fleet, agent: newAgent(address), wake: make(chan struct{}, 1)}
}

func newAgent(address string) *agent {
	a := &agent{base: "http://" + address, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	a.left, a.leave = context.WithCancel(context.Background())
	return a
}

// current is the agent to speak to now.
func (p *Platform) current() *agent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agent
}

// SetAddress goes on at another address: calls that are out at the old one are given
// up, so that a held watch ends and notices without an answer are sent again there.
func (p *Platform) SetAddress(address string) {
	p.mu.Lock()
	old := p.agent
	if old.base == "http://"+address {
		p.mu.Unlock()
		return
	}
	p.agent = newAgent(address)
	p.mu.Unlock()
	slog.Info("discovery has moved", "address", address)
	old.leave()
	old.client.CloseIdleConnections()
}

// do makes one call and has its answer read; the context ends with limit and when the agent is left.
func (a *agent) do(ctx context.Context, limit time.Duration, method, path string, body []byte,
	read func(status int, body io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(a.left, cancel)()
	req, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = method == http.MethodPost // a second copy of its answer must not count as the next notice's
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := read(resp.StatusCode, resp.Body); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOther)) // so that its connection is used again
	return err
}

// FetchSnapshot fetches the whole list, if it comes in so short a time. Where the list must be asked for it returns nil: what has
// changed since it was last told is told by the watch, and a fleet that starts together must not ask twice.
func (p *Platform) FetchSnapshot(limit time.Duration) (*List, error) {
	if p.fleet.MustSubscribe {
		return nil, nil
	}
	return p.current().listAt(context.Background(), "/v1/servers", true, limit)
}

// Watch tells each change after the list known - or the whole list, if none
// is or discovery has moved - until ctx ends. A call that fails is made again
// from where the last one ended. A list that is older than what was told last is not told, unless discovery says the same when it is asked for all
// that there is: then it counts anew.
func (p *Platform) Watch(ctx context.Context, known *List, tell func(*List)) {
	index := int64(-1)
	if known != nil {
		index = known.Index
		p.note(known)
	}
	fetch := func(ctx context.Context, a *agent, at *position, wait bool) (*List, error) {
		l, err := a.list(ctx, at.from, p.fleet.hold(), p.fleet.callTime(), wait)
		if err == nil {
			err = at.accept(l.Index, l.Snapshot)
		}
		return l, err
	}
	warn := func(err error, wait time.Duration) { slog.Warn("discovery", "err", err, "again_in", wait) }
	p.watch(ctx, index, p.fleet.again(), warn, fetch, func(l *List) {
		p.note(l)
		tell(l)
	})
}

// position is how far a watch has come.
type position struct {
	from  int64 // which changes are asked for; -1: the whole list
	told  int64 // the index that was told last, -1: none
	older int64 // the index of a whole list that was older than what was told
}

// startingAt is where a watch begins, with an index that is known or -1.
func startingAt(index int64) position { return position{from: index, told: index, older: -1} }

// accept refuses a list that is older than what was told, unless it is whole and discovery says so for the second time.
func (at *position) accept(index int64, snapshot bool) error {
	if index >= at.told || snapshot && index == at.older {
		return nil
	}
	at.from, at.older = -1, -1
	if snapshot {
		at.older = index
	}
	return fmt.Errorf("list: version %d, after %d was told: discovery is asked for the whole list, and this one is not heeded unless it says so again", index, at.told)
}

// fetchList makes one call for what comes after a position.
type fetchList func(ctx context.Context, a *agent, at *position, wait bool) (*List, error)

// watch makes one call after another, and tells what came of those that did not fail; warn is told of the others.
func (p *Platform) watch(ctx context.Context, index int64, again backoff, warn func(error, time.Duration), fetch fetchList, tell func(*List)) {
	at, last := startingAt(index), p.current()
	failing := false // the call before failed, or was given up: this one is to come back at once
	last.pause(ctx, time.Duration(p.fleet.random()*float64(p.fleet.firstWait())))
	for ctx.Err() == nil {
		a := p.current()
		if a != last {
			at, last = startingAt(-1), a
			again.worked()
		}
		call, done, waiting := p.begin(ctx)
		began := time.Now()
		held := len(waiting) == 0 && at.from >= 0 && !failing
		l, err := fetch(call, a, &at, held)
		if err != nil {
			p.put(waiting)
			if a.left.Err() == nil && call.Err() == nil {
				wait := p.fleet.retryPause(&again, time.Since(began), err)
				if held && time.Since(began) >= p.fleet.hold() { // it has fallen silent: whoever waits now is told too late
					again.worked()
					wait = min(wait, time.Duration(p.fleet.random()*float64(reopenPause)))
				}
				failing = p.fleet.MustSubscribe
				warn(err, wait)
				if p.fleet.MustSubscribe { // each call is work there, whoever wants it
					a.pause(ctx, wait)
				} else {
					a.pause(call, wait)
				}
			}
			done()
			continue
		}
		done()
		again.worked()
		failing = false
		at = startingAt(l.Index)
		tell(l)
		for _, w := range waiting {
			close(w)
		}
	}
}

// begin readies the next call of the watch. Its context ends when somebody must know what there is now; who did so before is returned.
func (p *Platform) begin(ctx context.Context) (call context.Context, done func(), waiting []chan<- struct{}) {
	call, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, p.asked = p.asked, nil
	p.look = cancel
	return call, func() {
		p.mu.Lock()
		p.look = nil
		p.mu.Unlock()
		cancel()
	}, waiting
}

func (p *Platform) put(waiting []chan<- struct{}) {
	p.mu.Lock()
	p.asked = append(p.asked, waiting...)
	p.mu.Unlock()
}

// Refresh has the watch ask what there is now, in place of waiting for what changes, and returns once the answer to a call that began after
// that has been told.
func (p *Platform) Refresh(ctx context.Context) error {
	told := make(chan struct{})
	p.mu.Lock()
	p.asked = append(p.asked, told)
	if p.look != nil {
		p.look()
	}
	p.mu.Unlock()
	select {
	case <-told:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// list asks for the whole list, or from a version on for changes. It is held for so long until there are some, if wait says so; else it is to come at
// once, within limit.
func (a *agent) list(ctx context.Context, from int64, hold, limit time.Duration, wait bool) (*List, error) {
	if from >= 0 && wait {
		limit = hold + holdMargin
	}
	return a.listAt(ctx, listPath(from, hold, wait), from < 0, limit)
}

// listPath is the call for the whole list, or for changes.
func listPath(from int64, hold time.Duration, wait bool) string {
	switch {
	case from >= 0 && wait:
		return fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", from, hold.Milliseconds())
	case from >= 0:
		return fmt.Sprintf("/v1/servers?from=%d&hold_ms=0", from)
	}
	return "/v1/servers"
}

// listAt makes the call; whole: its answer is the whole list, whatever it says.
func (a *agent) listAt(ctx context.Context, path string, whole bool, limit time.Duration) (*List, error) {
	var l *List
	err := a.do(ctx, limit, http.MethodGet, path, nil, func(status int, body io.Reader) (err error) {
		if status != http.StatusOK {
			return &refusedError{status}
		}
		in := &io.LimitedReader{R: body, N: maxList}
		l, err = readList(in, whole)
		if err != nil && in.N <= 0 {
			return fmt.Errorf("more than %d MiB", maxList>>20)
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// Final queues the notice of a final answer; Deliver takes it out.
func (p *Platform) NotifyCompletion(f engine.Completion) {
	n := notice{Ref: f.ID, Result: "bounced", WaitMS: f.RetryAfter.Milliseconds()}
	if f.Failed {
		n = notice{Ref: f.ID, Result: "dead"}
	}
	p.mu.Lock()
	p.pending = append(p.pending, n)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// DeliverNotices sends the notices in batches, each until it gets its 204, and tells
// which have arrived, until ctx ends.
func (p *Platform) DeliverNotices(ctx context.Context, arrived func(refs []string)) {
	for {
		p.mu.Lock()
		batch := p.pending[:min(noticeBatch, len(p.pending))]
		p.pending = p.pending[len(batch):]
		p.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-p.wake:
			}
			continue
		}
		p.post(ctx, batch, arrived)
		if ctx.Err() != nil {
			return
		}
	}
}

func (p *Platform) post(ctx context.Context, batch []notice, arrived func([]string)) {
	var lines bytes.Buffer
	refs := make([]string, 0, len(batch))
	for _, n := range batch {
		json.NewEncoder(&lines).Encode(n) // ends the line; a struct of plain fields does not fail
		refs = append(refs, n.Ref)
	}
	again, limit := backoff{first: firstPause, most: noticePause, random: p.fleet.random}, noticeTime
	for ctx.Err() == nil {
		a := p.current()
		var status int
		err := a.do(ctx, limit, http.MethodPost, "/v2/finals", lines.Bytes(), func(s int, _ io.Reader) error {
			status = s
			return nil
		})
		switch {
		case err == nil && status == http.StatusNoContent:
			arrived(refs)
			return
		case err == nil && status == http.StatusBadRequest && len(batch) > 1:
			// One line that can't be read must not keep out the others.
			for i := range batch {
				p.post(ctx, batch[i:i+1], arrived)
			}
			return
		case err == nil && status == http.StatusBadRequest:
			// The journal keeps it, so the next start tries it once more.
			slog.Error("a notice can't be read", "ref", batch[0].Ref)
			return
		}
		if a.left.Err() != nil {
			continue // at once at the new address
		}
		wait := again.failed()
		if errors.Is(err, context.DeadlineExceeded) { // its connection may have fallen silent, while a notice is due: at once by a new one. Twice does no harm
			a.client.CloseIdleConnections()
			wait, limit = 0, min(2*limit, noticeMost)
		}
		slog.Warn("notices not taken", "status", status, "err", err, "first", batch[0].Ref, "count", len(batch), "again_in", wait)
		a.pause(ctx, wait)
	}
}

// RetainLatest has the list kept for Last. It is called before Watch.
func (p *Platform) RetainLatest() { p.last = map[string]Endpoint{} }

// note keeps the list, from what was told.
func (p *Platform) note(l *List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		return
	}
	if p.version = l.Index; l.Snapshot {
		clear(p.last)
	}
	for _, e := range l.Endpoints {
		if p.last[e.Name] = e; e.Status == Deleted {
			delete(p.last, e.Name)
		}
	}
}

// Latest is the whole list, as told last; nil if none was. It is asked for once Watch has ended.
func (p *Platform) Latest() *List {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) == 0 {
		return nil
	}
	l := &List{Index: p.version, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(p.last)) {
		l.Endpoints = append(l.Endpoints, p.last[name])
	}
	return l
}

// VersionEntries is a list as its digest is made of.
func (l *List) VersionEntries() []version.Entry {
	v := make([]version.Entry, len(l.Endpoints))
	for i, t := range l.Endpoints {
		v[i] = version.Entry{Name: t.Name, Address: t.Address, Zone: t.Zone, Kind: t.Type, State: t.Status, Group: t.Group, Weight: t.Weight, Gone: t.Status == Deleted}
	}
	return v
}
