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

// VersionsReply is what a forwarder's door says of what it acts under.
type VersionsReply struct {
	Name            string         `json:"name"`
	Clock           time.Time      `json:"clock"`
	Fenced          bool           `json:"fenced"`
	FencedOffReason string         `json:"shut_out"`
	Vector          version.Vector `json:"vector"`
}

const atOnce = 32 // members that are asked

// CollectMembers asks forwarders at their doors, some at a time; one that does not answer costs its time-out, and keeps no other waiting. done is told after each.
func CollectMembers(ctx context.Context, doors []string, limit time.Duration, done func()) []MemberData {
	return each(ctx, doors, limit, done, atDoor)
}

// CollectLoads asks them how their calls are spread.
func CollectLoads(ctx context.Context, doors []string, limit time.Duration, done func()) []load.Member {
	return each(ctx, doors, limit, done, loadAt)
}

func loadAt(ctx context.Context, at string, limit time.Duration) load.Member {
	m := load.Member{Source: at}
	sent := time.Now()
	text, err := door.NewClientWithTimeout(at, limit).Call(ctx, http.MethodGet, "/load")
	heard := time.Now()
	var s load.Snapshot
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	if err != nil {
		m.Err = err.Error()
		return m
	}
	m.Snapshot, m.Offset = &s, s.Clock.Sub(sent.Round(0).Add(heard.Sub(sent)/2))
	return m
}

func each[T any](ctx context.Context, doors []string, limit time.Duration, done func(), ask func(context.Context, string, time.Duration) T) []T {
	list := make([]T, len(doors))
	turn := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, at := range doors {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			list[i] = ask(ctx, at, limit)
			if done != nil {
				done()
			}
		})
	}
	all.Wait()
	return list
}

func atDoor(ctx context.Context, at string, limit time.Duration) (g MemberData) {
	g = MemberData{Source: at, Name: at}
	c := door.NewClientWithTimeout(at, limit)
	sent := time.Now()
	text, err := c.Call(ctx, http.MethodGet, "/versions")
	heard := time.Now()
	var v VersionsReply
	if err == nil {
		err = json.Unmarshal([]byte(text), &v)
	}
	if err != nil {
		g.Err = err.Error()
		return g
	}
	g.Name, g.Vector, g.Fenced, g.FencedOffReason = v.Name, &v.Vector, v.Fenced, v.FencedOffReason
	if !v.Clock.IsZero() { // it read its clock between the two
		g.OffsetError = heard.Sub(sent) / 2
		g.Offset = v.Clock.Sub(sent.Round(0).Add(g.OffsetError))
	}
	if text, err = c.Call(ctx, http.MethodGet, "/ledger"); err == nil {
		g.Ledger = &ledger.Snapshot{}
		err = json.Unmarshal([]byte(text), g.Ledger)
	}
	if err != nil {
		g.Ledger, g.Err = nil, fmt.Sprintf("its ledger: %v", err)
	}
	return g
}

// ReadFolder reads a forwarder's folder, whether or not its process runs.
func ReadFolder(dir, name string) (g MemberData) {
	g = MemberData{Source: dir, Name: name}
	record, err := ledger.Read(journal.DirFS(dir), name)
	switch {
	case err != nil:
		g.Err = err.Error()
	case len(record.Entries) == 0 && len(record.Damage) == 0:
		g.Err = "there is no ledger in it: is fleet.ledger set for that forwarder?"
	default:
		g.Ledger = record
	}
	if g.Name == "" {
		g.Name = dir
	}
	return g
}
