// Package agent is the client of the platform's agent on this machine: it follows
// discovery's endpoint list and delivers completion notices to the platform.
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
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/version"
)

// The platform's standing test counts a change as received 6 s after the watch that should have carried it fell silent, or 2 s after the end of
// that watch's hold time if that is later. Where a request costs discovery nothing, the hold time is the one at which the two limits coincide.
const (
	receiptLimit          = 6 * time.Second
	receiptLimitAfterHold = 2 * time.Second
	pushedHold            = receiptLimit - receiptLimitAfterHold
	subscribedHold        = 20 * time.Second // where discovery works on each request
)

const (
	subscribedListTimeout = 5 * time.Second / 2    // after which another request follows, with a back-off, where discovery works on each: a refusal may take 2 s to arrive, and says more than silence
	noticeTimeout         = 100 * time.Millisecond // of the first attempt; doubled after each timeout
	maxNoticeTimeout      = time.Second
	maxListBytes          = 64 << 20 // of a list
	maxOtherBytes         = 4 << 10  // of any other response
	maxNoticeBatch        = 256

	// Draining and Deleted are endpoint states; an endpoint in any other state is serving.
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// List is an endpoint snapshot or delta in discovery's format.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one entry of a List.
type Endpoint struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Type    string    `json:"type"`
	Group   int       `json:"group"`
	Status  string    `json:"status"`
	Weight  float64   `json:"weight"`
	SinceMS UnixMilli `json:"since_ms,omitempty"` // when its process started; 0: long ago, or unknown
}

// UnixMilli is a time in milliseconds since 1970. A value that is no number in range is read as 0, so that it does not spoil its list.
type UnixMilli int64

// UnmarshalJSON reads a number, also one with decimals.
func (u *UnixMilli) UnmarshalJSON(text []byte) error {
	*u = 0
	if n, err := strconv.ParseFloat(string(text), 64); err == nil && n > 0 && n < 1<<53 {
		*u = UnixMilli(n)
	}
	return nil
}

// ToEngineList converts the list to the engine's form, with the given scope.
func (l *List) ToEngineList(scope decide.ListScope) engine.List {
	list := engine.List{Scope: scope, Endpoints: make([]engine.Endpoint, len(l.Endpoints))}
	for i, e := range l.Endpoints {
		state := decide.Active
		switch e.Status {
		case Draining:
			state = decide.Draining
		case Deleted:
			state = decide.Gone
		}
		list.Endpoints[i] = engine.Endpoint{Address: e.Address, StartedMS: int64(e.SinceMS), Target: decide.Target{ID: e.Name, Destination: e.Group,
			Kind: e.Type, Zone: e.Zone, State: state, Weight: e.Weight}}
	}
	return list
}

// EngineUpdate converts a list that a watch reported to the engine's form, as a snapshot or a delta.
func (l *List) EngineUpdate() engine.List {
	if l.Snapshot {
		return l.ToEngineList(decide.Snapshot)
	}
	return l.ToEngineList(decide.Delta)
}

// Platform follows discovery's endpoint list and delivers completion notices to the platform.
type Platform struct {
	// AwaitRecorded returns once the reported lists are recorded for the next process. Watch then confirms to discovery that it has them, by the index of
	// its next call. It is set before Watch; nil: they are not recorded.
	AwaitRecorded func()

	fleet Fleet

	mu             sync.Mutex
	latest         map[string]Endpoint // the endpoints by name as last reported; nil unless RetainLatest was called
	latestIndex    int64               // the index of that report
	client         *discoveryClient
	pending        []notice
	refreshWaiters []chan<- struct{} // each is closed once a call that begins after its registration was answered
	refreshQueued  chan struct{}     // signals that there are such
	noticeQueued   chan struct{}
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error) // to discovery's next address; nil: the usual one

	follower *listFollower // of FetchSnapshot, whose calls Watch continues; nil: none
}

// discoveryClient sends requests to one address of discovery, until SetAddress replaces it.
type discoveryClient struct {
	base         string
	httpClient   *http.Client
	replaced     context.Context // cancelled when another address is in use
	markReplaced context.CancelFunc
}

// notice is the wire form of a completion notice, which reports a message that was not delivered.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// New returns a Platform for discovery's address, host:port. fleet describes the forwarders that share it.
func New(address string, fleet Fleet) *Platform {
	return &Platform{fleet: fleet, client: newDiscoveryClient(address, nil), noticeQueued: make(chan struct{}, 1), refreshQueued: make(chan struct{}, 1)}
}

func newDiscoveryClient(address string, dialContext func(ctx context.Context, network, address string) (net.Conn, error)) *discoveryClient {
	c := &discoveryClient{base: "http://" + address, httpClient: &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dialContext}}}
	c.replaced, c.markReplaced = context.WithCancel(context.Background())
	return c
}

// currentClient returns the client for the address in use.
func (p *Platform) currentClient() *discoveryClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// SetAddress switches to another address of discovery. Calls in flight to the old one are cancelled,
// so that a held watch ends and notices without a response are sent again to the new address.
func (p *Platform) SetAddress(address string) {
	p.mu.Lock()
	old := p.client
	if old.base == "http://"+address {
		p.mu.Unlock()
		return
	}
	p.client = newDiscoveryClient(address, p.dialContext)
	p.mu.Unlock()
	slog.Info("discovery address changed", "address", address)
	old.markReplaced()
	old.httpClient.CloseIdleConnections()
}

// do sends one request and has read consume the response. The request is cancelled after limit, and when the client is replaced.
func (c *discoveryClient) do(ctx context.Context, limit time.Duration, method, path string, body []byte,
	read func(status int, body io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(c.replaced, cancel)()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = method == http.MethodPost // a duplicate of this response must not be read as the response to the next notice
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := read(resp.StatusCode, resp.Body); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOtherBytes)) // drained, so that the connection can be reused
	return err
}

// FetchSnapshot fetches the endpoint snapshot within limit. A call without an answer by then goes on, and Watch continues it. It returns nil where the
// forwarder has to subscribe (Fleet.MustSubscribe): the watch reports what has changed since the last known list, and forwarders that start together must
// not request the list twice each.
func (p *Platform) FetchSnapshot(limit time.Duration) (*List, error) {
	if p.fleet.MustSubscribe {
		return nil, nil
	}
	if p.follower != nil {
		p.follower.stop()
	}
	p.follower = p.newWatchFollower(-1)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.follower.first(ctx)
}

// Watch reports each change after the list known, until ctx ends. Without a known list, and after a change of discovery's address, it begins with a
// snapshot. A failed call is repeated from the last accepted index. A list that is older than the last reported one is rejected, unless discovery
// returns a snapshot with that same index twice in a row: then its numbering has restarted, and the snapshot is accepted.
func (p *Platform) Watch(ctx context.Context, known *List, report func(*List)) {
	index := int64(-1)
	if known != nil {
		index = known.Index
		p.recordLatest(known)
	}
	follower := p.follower
	p.follower = nil
	if follower == nil || follower.at.latest != index {
		if follower != nil {
			follower.stop()
		}
		follower = p.newWatchFollower(index)
	}
	follower.run(ctx, func(l *List) {
		if len(l.Endpoints) > 0 {
			slog.Info("endpoint list received", "index", l.Index, "whole", l.Snapshot, "entries", len(l.Endpoints))
		}
		p.recordLatest(l)
		report(l)
	})
}

// newWatchFollower returns a follower that decodes each list as a whole, and may have several calls in flight.
func (p *Platform) newWatchFollower(index int64) *listFollower {
	fetch := func(ctx context.Context, c *discoveryClient, at *watchPosition, held bool, progress func()) (*List, error) {
		return c.requestList(ctx, listPath(at.from, p.fleet.holdTime(), held), at.from < 0, progress)
	}
	warn := func(err error, next nextCall) {
		slog.Warn("request to discovery failed", "err", err, "again_in", next.wait, "in_flight", next.inFlight)
	}
	return newListFollower(p, index, p.fleet.listTiming(), p.fleet.newListBackoff(), fetch, warn)
}

// watchPosition is the progress of a watch.
type watchPosition struct {
	from          int64 // changes after this index are requested; -1: the snapshot
	latest        int64 // the index reported last; -1: none
	olderSnapshot int64 // the index of a rejected snapshot that was older than latest; -1: none
}

// startingAt returns the position of a watch that begins at a known index, or without one at -1.
func startingAt(index int64) watchPosition {
	return watchPosition{from: index, latest: index, olderSnapshot: -1}
}

// accept rejects a list that is older than the last reported one, unless it is a snapshot that discovery returns for the second time.
func (at *watchPosition) accept(index int64, snapshot bool) error {
	if index >= at.latest || snapshot && index == at.olderSnapshot {
		return nil
	}
	at.from, at.olderSnapshot = -1, -1
	if snapshot {
		at.olderSnapshot = index
	}
	return fmt.Errorf("list: version %d is older than version %d, which was reported before: the snapshot is requested, and an older one is ignored unless discovery returns it twice", index, at.latest)
}

// Refresh has the watch request the current state in place of waiting for a change. It returns once a list has been reported from a call that began
// afterwards.
func (p *Platform) Refresh(ctx context.Context) error {
	reported := make(chan struct{})
	p.mu.Lock()
	p.refreshWaiters = append(p.refreshWaiters, reported)
	p.mu.Unlock()
	select {
	case p.refreshQueued <- struct{}{}:
	default:
	}
	select {
	case <-reported:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listPath returns the path of a request for the snapshot, or for changes.
func listPath(from int64, hold time.Duration, wait bool) string {
	switch {
	case from >= 0 && wait:
		return fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", from, hold.Milliseconds())
	case from >= 0:
		return fmt.Sprintf("/v1/servers?from=%d&hold_ms=0", from)
	}
	return "/v1/servers"
}

// requestList sends the request, and calls progress whenever a part of the response arrived. With whole set, the response counts as a snapshot whatever it
// says.
func (c *discoveryClient) requestList(ctx context.Context, path string, whole bool, progress func()) (*List, error) {
	var l *List
	err := c.do(ctx, maxListDuration, http.MethodGet, path, nil, func(status int, body io.Reader) (err error) {
		if status != http.StatusOK {
			return &statusError{status}
		}
		limited := &io.LimitedReader{R: &progressReader{from: body, progress: progress}, N: maxListBytes}
		l, err = readList(limited, whole)
		if err != nil && limited.N <= 0 {
			return fmt.Errorf("more than %d MiB", maxListBytes>>20)
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// NotifyCompletion queues the notice of a completion for DeliverNotices.
func (p *Platform) NotifyCompletion(c engine.Completion) {
	n := notice{Ref: c.ID, Result: "bounced", WaitMS: c.RetryAfter.Milliseconds()}
	if c.Failed {
		n = notice{Ref: c.ID, Result: "dead"}
	}
	p.mu.Lock()
	p.pending = append(p.pending, n)
	p.mu.Unlock()
	select {
	case p.noticeQueued <- struct{}{}:
	default:
	}
}

// DeliverNotices sends the queued notices in batches until ctx ends. Each batch is repeated until
// the platform answers it with 204, and arrived is then called with the references of its notices.
func (p *Platform) DeliverNotices(ctx context.Context, arrived func(refs []string)) {
	for {
		p.mu.Lock()
		batch := p.pending[:min(maxNoticeBatch, len(p.pending))]
		p.pending = p.pending[len(batch):]
		p.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-p.noticeQueued:
			}
			continue
		}
		p.postNotices(ctx, batch, arrived)
		if ctx.Err() != nil {
			return
		}
	}
}

func (p *Platform) postNotices(ctx context.Context, batch []notice, arrived func([]string)) {
	var lines bytes.Buffer
	refs := make([]string, 0, len(batch))
	for _, n := range batch {
		json.NewEncoder(&lines).Encode(n) // ends the line; can't fail for a struct of plain fields
		refs = append(refs, n.Ref)
	}
	retry, timeout := backoff{initial: initialBackoff, max: maxNoticeBackoff, random: p.fleet.random}, noticeTimeout
	for ctx.Err() == nil {
		client := p.currentClient()
		var status int
		err := client.do(ctx, timeout, http.MethodPost, "/v2/finals", lines.Bytes(), func(s int, _ io.Reader) error {
			status = s
			return nil
		})
		switch {
		case err == nil && status == http.StatusNoContent:
			arrived(refs)
			return
		case err == nil && status == http.StatusBadRequest && len(batch) > 1:
			// One unreadable line must not block the others of the batch.
			for i := range batch {
				p.postNotices(ctx, batch[i:i+1], arrived)
			}
			return
		case err == nil && status == http.StatusBadRequest:
			// The journal keeps the notice, so that it is sent again after the next start.
			slog.Error("the platform rejects a notice as unreadable", "ref", batch[0].Ref)
			return
		}
		if client.replaced.Err() != nil {
			continue // without a delay, since the address is new
		}
		wait := retry.nextDelay()
		if errors.Is(err, context.DeadlineExceeded) { // the connection may have fallen silent while the notice is due: retry at once on a new one, since a duplicate does no harm
			client.httpClient.CloseIdleConnections()
			wait, timeout = 0, min(2*timeout, maxNoticeTimeout)
		}
		slog.Warn("notices not accepted", "status", status, "err", err, "first", batch[0].Ref, "count", len(batch), "again_in", wait)
		client.sleep(ctx, wait)
	}
}

// RetainLatest has reported lists kept for Latest. It is called before Watch.
func (p *Platform) RetainLatest() { p.latest = map[string]Endpoint{} }

// recordLatest applies a reported list to the retained one.
func (p *Platform) recordLatest(l *List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latest == nil {
		return
	}
	if p.latestIndex = l.Index; l.Snapshot {
		clear(p.latest)
	}
	for _, e := range l.Endpoints {
		if p.latest[e.Name] = e; e.Status == Deleted {
			delete(p.latest, e.Name)
		}
	}
}

// Latest returns the whole list as last reported, or nil if it has no endpoints or is not retained. It is called once Watch has ended.
func (p *Platform) Latest() *List {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.latest) == 0 {
		return nil
	}
	l := &List{Index: p.latestIndex, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(p.latest)) {
		l.Endpoints = append(l.Endpoints, p.latest[name])
	}
	return l
}

// VersionEntries returns the entries from which the list's digest is computed.
func (l *List) VersionEntries() []version.Entry {
	entries := make([]version.Entry, len(l.Endpoints))
	for i, e := range l.Endpoints {
		entries[i] = version.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, State: e.Status, Group: e.Group, Weight: e.Weight, Gone: e.Status == Deleted}
	}
	return entries
}
