package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"aspenshift"
)

const (
	holdTime    = 20 * time.Second
	holdMargin  = 1500 * time.Millisecond
	listTime    = 2 * time.Second
	noticeTime  = time.Second
	retryPause  = 50 * time.Millisecond // also under the 200 ms in which a watch goes on
	maxList     = 4 << 20
	noticeBatch = 256

	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
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

// event is the list as the module takes it.
func (l *List) event(scope aspenshift.ListScope) aspenshift.TargetList {
	e := aspenshift.TargetList{Scope: scope}
	for _, t := range l.Endpoints {
		state := aspenshift.Active
		switch t.Status {
		case statusDraining:
			state = aspenshift.Draining
		case statusDeleted:
			state = aspenshift.Gone
		}
		e.Targets = append(e.Targets, aspenshift.Target{ID: t.Name, Destination: t.Group, Kind: t.Type,
			Zone: t.Zone, State: state, Weight: t.Weight})
	}
	return e
}

// platform speaks to discovery and takes notices to the platform.
type platform struct {
	base   string
	client *http.Client

	mu      sync.Mutex
	pending []notice
	wake    chan struct{}
}

// notice is the end of a message that was not delivered.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

func newPlatform(address string) *platform {
	return &platform{
		base:   "http://" + address,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
		wake:   make(chan struct{}, 1),
	}
}

// first fetches the whole list, if it comes in so short a time.
func (p *platform) first(limit time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.list(ctx, -1)
}

// watch tells each change after the list known - or the whole list, if none
// is - until ctx ends. A call that fails is made again from where the last one ended.
func (p *platform) watch(ctx context.Context, known *List, tell func(*List)) {
	from := int64(-1)
	if known != nil {
		from = known.Index
	}
	for ctx.Err() == nil {
		l, err := p.list(ctx, from)
		if err != nil {
			slog.Warn("discovery", "err", err)
			pause(ctx, retryPause)
			continue
		}
		from = l.Index
		tell(l)
	}
}

func (p *platform) list(ctx context.Context, from int64) (*List, error) {
	url, limit := p.base+"/v1/servers", listTime
	if from >= 0 {
		url += fmt.Sprintf("?from=%d&hold_ms=%d", from, holdTime.Milliseconds())
		limit = holdTime + holdMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list: %s", resp.Status)
	}
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if from < 0 {
		l.Snapshot = true // the call without a version gives the whole list
	}
	return l, nil
}

// notify queues a notice; deliver takes it out.
func (p *platform) notify(n notice) {
	p.mu.Lock()
	p.pending = append(p.pending, n)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// deliver sends the notices in batches, each until it gets its 204, and tells
// which have arrived, until ctx ends.
func (p *platform) deliver(ctx context.Context, arrived func(refs []string)) {
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

func (p *platform) post(ctx context.Context, batch []notice, arrived func([]string)) {
	var lines bytes.Buffer
	refs := make([]string, 0, len(batch))
	for _, n := range batch {
		json.NewEncoder(&lines).Encode(n) // ends the line; a struct of plain fields does not fail
		refs = append(refs, n.Ref)
	}
	for ctx.Err() == nil {
		status, err := p.postOnce(ctx, lines.Bytes())
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
		slog.Warn("notices not taken", "status", status, "err", err, "first", batch[0].Ref, "count", len(batch))
		pause(ctx, retryPause)
	}
}

func (p *platform) postOnce(ctx context.Context, lines []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+"/v2/finals", bytes.NewReader(lines))
	if err != nil {
		return 0, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, err
	}
	io.CopyN(io.Discard, resp.Body, drainBytes)
	resp.Body.Close()
	return resp.StatusCode, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
