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

// Versions is what a forwarder's door says of what it acts under.
type Versions struct {
	Name    string         `json:"name"`
	Clock   time.Time      `json:"clock"`
	Fenced  bool           `json:"fenced"`
	ShutOut string         `json:"shut_out"`
	Vector  version.Vector `json:"vector"`
}

const atOnce = 32 // members that are asked

// Doors asks forwarders at their doors, some at a time; one that does not answer costs its time-out, and keeps no other waiting. done is told after each.
func Doors(ctx context.Context, doors []string, limit time.Duration, done func()) []Gathered {
	return each(ctx, doors, limit, done, atDoor)
}

// Loads asks them how their calls are spread.
func Loads(ctx context.Context, doors []string, limit time.Duration, done func()) []load.Member {
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

func atDoor(ctx context.Context, at string, limit time.Duration) (g Gathered) {
	g = Gathered{Source: at, Name: at}
	c := door.NewClientWithTimeout(at, limit)
	sent := time.Now()
	text, err := c.Call(ctx, http.MethodGet, "/versions")
	heard := time.Now()
	var v Versions
	if err == nil {
		err = json.Unmarshal([]byte(text), &v)
	}
	if err != nil {
		g.Err = err.Error()
		return g
	}
	g.Name, g.Vector, g.Fenced, g.ShutOut = v.Name, &v.Vector, v.Fenced, v.ShutOut
	if !v.Clock.IsZero() { // it read its clock between the two
		g.Error = heard.Sub(sent) / 2
		g.Offset = v.Clock.Sub(sent.Round(0).Add(g.Error))
	}
	if text, err = c.Call(ctx, http.MethodGet, "/ledger"); err == nil {
		g.Record = &ledger.Snapshot{}
		err = json.Unmarshal([]byte(text), g.Record)
	}
	if err != nil {
		g.Record, g.Err = nil, fmt.Sprintf("its ledger: %v", err)
	}
	return g
}

// Folder reads a forwarder's folder, whether or not its process runs.
func Folder(dir, name string) (g Gathered) {
	g = Gathered{Source: dir, Name: name}
	record, err := ledger.Read(journal.DirFS(dir), name)
	switch {
	case err != nil:
		g.Err = err.Error()
	case len(record.Entries) == 0 && len(record.Damage) == 0:
		g.Err = "there is no ledger in it: is fleet.ledger set for that forwarder?"
	default:
		g.Record = record
	}
	if g.Name == "" {
		g.Name = dir
	}
	return g
}
