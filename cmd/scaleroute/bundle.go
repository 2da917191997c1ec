package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/back/httpcall"
	control "scaleroute/internal/control/client"
	"scaleroute/internal/engine"
	"scaleroute/internal/front/resp2"
	"scaleroute/internal/steadyclock"
	"scaleroute/internal/takeover"
)

// bundle is what one process leaves to the next one besides the folder that lasts.
type bundle struct {
	engine  engine.Handover
	list    *agent.List         // nil: none was told yet
	part    *control.SavedState // in place of it, where only a part of the list is known; nil: the whole list is
	drained bool                // clients are sent away by hand
	clients []resp2.DetachedConn
	stopped time.Time // nobody reads what clients send since then
	idle    []httpcall.IdleConn

	takeOver int // how often another process has taken over before
}

// Kinds of parcels that a bundle is made of.
const (
	kindEngine = "engine"
	kindList   = "list"
	kindPart   = "part"
	kindFront  = "front"
	kindCall   = "call"
	kindClient = "client"
	kindIdle   = "idle"
)

type (
	engineParcel struct {
		Module []byte        `json:"module"`
		Clock  time.Duration `json:"clock_ns"`
		At     time.Time     `json:"at"`
		Dests  []int         `json:"destinations"`
		Over   int           `json:"take_over,omitempty"`
		Uptime time.Duration `json:"uptime_ns,omitempty"` // the machine's at the time At; 0: it is not known
	}
	frontParcel struct {
		Drained bool      `json:"drained"`
		Stopped time.Time `json:"stopped"`
	}
	callParcel struct {
		Message  string    `json:"message"`
		Attempt  int       `json:"attempt"`
		Endpoint string    `json:"endpoint"`
		Address  string    `json:"address"`
		Read     []byte    `json:"read"`
		Began    time.Time `json:"began"`
		End      time.Time `json:"end"`
		Under    uint64    `json:"under,omitempty"`
	}
	clientParcel struct {
		Unread []byte `json:"unread"`
		Used   bool   `json:"used"`
	}
	idleParcel struct {
		Address string    `json:"address"`
		Since   time.Time `json:"since"`
	}
)

// parcels is a bundle as it is sent.
func (b *bundle) parcels() (list []takeover.Record, err error) {
	add := func(kind string, v any, p takeover.Record) {
		var text []byte
		if text, err = json.Marshal(v); err == nil {
			p.Kind, p.Data = kind, text
			list = append(list, p)
		}
	}
	add(kindEngine, engineParcel{b.engine.ForwarderState, b.engine.Clock, b.engine.SavedAt, b.engine.Destinations, b.takeOver, uptimeAt(b.engine.SavedAt)}, takeover.Record{})
	if b.list != nil && err == nil {
		add(kindList, b.list, takeover.Record{})
	}
	if b.part != nil && err == nil {
		add(kindPart, b.part, takeover.Record{})
	}
	if err == nil {
		add(kindFront, frontParcel{b.drained, b.stopped}, takeover.Record{})
	}
	for _, c := range b.engine.Calls {
		if err == nil {
			add(kindCall, callParcel{c.Message, c.Attempt, c.Endpoint, c.Address, c.Read, c.Began, c.Deadline, c.LedgerSeq}, takeover.Record{Conn: c.Conn})
		}
	}
	for _, c := range b.clients {
		if err == nil {
			add(kindClient, clientParcel{c.Unread, c.Used}, takeover.Record{Conn: c.Conn})
		}
	}
	for _, c := range b.idle {
		if err == nil {
			add(kindIdle, idleParcel{c.Address, c.Since}, takeover.Record{Conn: c.Conn})
		}
	}
	return list, err
}

// uptimeAt is how long ago the machine was booted at a time shortly before now; 0 if the machine does not say.
func uptimeAt(at time.Time) time.Duration {
	uptime, ok := steadyclock.Uptime()
	if !ok {
		return 0
	}
	return uptime - time.Since(at)
}

// unpack reads what was sent. What has a connection must have one.
func unpack(list []takeover.Record) (*bundle, error) {
	b := &bundle{}
	whole := false
	var step time.Duration // of the wall clock since that process wrote its times
	for i, p := range list {
		var err error
		read := func(v any) bool {
			err = json.Unmarshal(p.Data, v)
			return err == nil
		}
		needs := p.Kind == kindCall || p.Kind == kindClient || p.Kind == kindIdle
		if needs != (p.Conn != nil) {
			return nil, fmt.Errorf("parcel %d, %q: with or without a connection, as it should not be", i+1, p.Kind)
		}
		switch p.Kind {
		case kindEngine:
			var v engineParcel
			if whole = read(&v); whole {
				b.takeOver = v.Over
				step = steadyclock.WallStep(v.At, v.Uptime)
				v.At = v.At.Add(step)
				b.engine.ForwarderState, b.engine.Clock, b.engine.SavedAt, b.engine.Destinations = v.Module, v.Clock, v.At, v.Dests
			}
		case kindList:
			b.list = &agent.List{}
			read(b.list)
		case kindPart:
			b.part = &control.SavedState{}
			read(b.part)
		case kindFront:
			var v frontParcel
			read(&v)
			b.drained, b.stopped = v.Drained, v.Stopped.Add(step)
		case kindCall:
			var v callParcel
			read(&v)
			b.engine.Calls = append(b.engine.Calls, engine.HandoverCall{Message: v.Message, Attempt: v.Attempt, Endpoint: v.Endpoint, LedgerSeq: v.Under,
				InFlightCall: &engine.InFlightCall{Address: v.Address, Conn: p.Conn, Read: v.Read, Began: v.Began.Add(step), Deadline: v.End.Add(step)}})
		case kindClient:
			var v clientParcel
			read(&v)
			b.clients = append(b.clients, resp2.DetachedConn{Conn: p.Conn, Unread: v.Unread, Used: v.Used})
		case kindIdle:
			var v idleParcel
			read(&v)
			b.idle = append(b.idle, httpcall.IdleConn{Address: v.Address, Conn: p.Conn, Since: v.Since.Add(step)})
		default:
			err = fmt.Errorf("a kind that this program does not know")
		}
		if err != nil {
			return nil, fmt.Errorf("parcel %d, %q: %w", i+1, p.Kind, err)
		}
	}
	if !whole {
		return nil, fmt.Errorf("%d parcels, and none of %q", len(list), kindEngine)
	}
	return b, nil
}

// close closes this process's copies of all connections.
func (b *bundle) close() {
	for _, c := range b.engine.Calls {
		c.Conn.Close()
	}
	for _, c := range b.clients {
		c.Conn.Close()
	}
	for _, c := range b.idle {
		c.Conn.Close()
	}
}

// forget drops what can't be gone on with, so that the journal alone is started from. Clients go on.
func (b *bundle) forget(why error) {
	slog.Error("what the process before left can't be read: going on from the journal alone", "err", why)
	for _, c := range b.engine.Calls {
		c.Conn.Close()
	}
	b.engine = engine.Handover{}
}
