package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"scaleroute/internal/door"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/load"
	"scaleroute/internal/version"
)

// VersionsReply is the admin API's reply with a forwarder's version vector.
type VersionsReply struct {
	Name            string         `json:"name"`
	Clock           time.Time      `json:"clock"`
	Fenced          bool           `json:"fenced"`
	FencedOffReason string         `json:"shut_out"`
	Vector          version.Vector `json:"vector"`
}

const maxConcurrent = 32 // members queried at a time

// CollectMembers queries forwarders through their admin APIs, up to maxConcurrent at a time. Each query has its own timeout, so that a member that does
// not answer delays no other for longer. done, if not nil, is called after each query.
func CollectMembers(ctx context.Context, addresses []string, timeout time.Duration, done func()) []MemberData {
	return collect(ctx, addresses, timeout, done, fetchMember)
}

// CollectLoads queries the forwarders' call distribution in the same way.
func CollectLoads(ctx context.Context, addresses []string, timeout time.Duration, done func()) []load.Member {
	return collect(ctx, addresses, timeout, done, fetchLoad)
}

// fetchLoad queries one member's call distribution.
func fetchLoad(ctx context.Context, address string, timeout time.Duration) load.Member {
	m := load.Member{Source: address}
	sent := time.Now()
	text, err := door.NewClientWithTimeout(address, timeout).Call(ctx, http.MethodGet, "/load")
	received := time.Now()
	var s load.Snapshot
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	if err != nil {
		m.Err = err.Error()
		return m
	}
	m.Snapshot, m.Offset = &s, s.Clock.Sub(sent.Round(0).Add(received.Sub(sent)/2))
	return m
}

// collect calls fetch for each address, up to maxConcurrent at a time, and returns the results in the order of the addresses.
func collect[T any](ctx context.Context, addresses []string, timeout time.Duration, done func(), fetch func(context.Context, string, time.Duration) T) []T {
	list := make([]T, len(addresses))
	semaphore := make(chan struct{}, maxConcurrent)
	var workers sync.WaitGroup
	for i, address := range addresses {
		workers.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			list[i] = fetch(ctx, address, timeout)
			if done != nil {
				done()
			}
		})
	}
	workers.Wait()
	return list
}

// fetchMember queries one member's version vector and ledger, and estimates the offset of its clock.
func fetchMember(ctx context.Context, address string, timeout time.Duration) (g MemberData) {
	g = MemberData{Source: address, Name: address}
	c := door.NewClientWithTimeout(address, timeout)
	sent := time.Now()
	text, err := c.Call(ctx, http.MethodGet, "/versions")
	received := time.Now()
	var v VersionsReply
	if err == nil {
		err = json.Unmarshal([]byte(text), &v)
	}
	if err != nil {
		g.Err = err.Error()
		return g
	}
	g.Name, g.Vector, g.Fenced, g.FencedOffReason = v.Name, &v.Vector, v.Fenced, v.FencedOffReason
	if !v.Clock.IsZero() { // the member read its clock between sent and received
		g.OffsetError = received.Sub(sent) / 2
		g.Offset = v.Clock.Sub(sent.Round(0).Add(g.OffsetError))
	}
	if text, err = c.Call(ctx, http.MethodGet, "/ledger"); err == nil {
		g.Ledger = &ledger.Snapshot{}
		err = json.Unmarshal([]byte(text), g.Ledger)
	}
	if err != nil {
		g.Ledger, g.Err = nil, fmt.Sprintf("reading its ledger: %v", err)
	}
	return g
}

// ReadFolder reads a forwarder's ledger from its folder. The process need not run.
func ReadFolder(dir, name string) (g MemberData) {
	g = MemberData{Source: dir, Name: name}
	record, err := ledger.Read(journal.DirFS(dir), name)
	switch {
	case err != nil:
		g.Err = err.Error()
	case len(record.Entries) == 0 && len(record.Damage) == 0:
		g.Err = "the folder has no ledger: is fleet.ledger set for that forwarder?"
	default:
		g.Ledger = record
	}
	if g.Name == "" {
		g.Name = dir
	}
	return g
}
