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

// handoverState is what one process hands over to the next one besides the state folder.
type handoverState struct {
	engine      engine.Handover
	list        *agent.List         // nil: no list has been received yet
	partialList *control.SavedState // in place of list, if the forwarder knows only a part of it; nil: it knows the whole list
	drained     bool                // an operator has drained the clients
	clients     []resp2.DetachedConn
	stopped     time.Time // when the old process stopped reading from clients
	idle        []httpcall.IdleConn

	handovers int // how many handovers there were before
}

// Kinds of the records of a handoverState.
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
	engineRecord struct {
		ForwarderState []byte        `json:"module"`
		Clock          time.Duration `json:"clock_ns"`
		SavedAt        time.Time     `json:"at"`
		Destinations   []int         `json:"destinations"`
		Handovers      int           `json:"take_over,omitempty"`
		Uptime         time.Duration `json:"uptime_ns,omitempty"` // the machine's uptime at SavedAt; 0: unknown
	}
	frontRecord struct {
		Drained bool      `json:"drained"`
		Stopped time.Time `json:"stopped"`
	}
	callRecord struct {
		Message  string `json:"message"`
		Attempt  int    `json:"attempt"`
		Endpoint string `json:"endpoint"`
		Address  string `json:"address"`

		Destination int   `json:"destination"` // of the endpoint, as listed when the connection was opened
		StartedMS   int64 `json:"since_ms,omitempty"`

		Read      []byte    `json:"read"`
		Began     time.Time `json:"began"`
		Deadline  time.Time `json:"end"`
		LedgerSeq uint64    `json:"under,omitempty"`
	}
	clientRecord struct {
		Unread []byte `json:"unread"`
		Used   bool   `json:"used"`
	}
	idleRecord struct {
		Endpoint    string    `json:"endpoint"` // empty from processes that handed over addresses alone
		Destination int       `json:"destination"`
		StartedMS   int64     `json:"since_ms,omitempty"`
		Address     string    `json:"address"`
		Since       time.Time `json:"since"`
	}
)

// records encodes the state for the next process.
func (s *handoverState) records() (list []takeover.Record, err error) {
	add := func(kind string, v any, record takeover.Record) {
		var text []byte
		if text, err = json.Marshal(v); err == nil {
			record.Kind, record.Data = kind, text
			list = append(list, record)
		}
	}
	add(kindEngine, engineRecord{s.engine.ForwarderState, s.engine.Clock, s.engine.SavedAt, s.engine.Destinations, s.handovers, uptimeAt(s.engine.SavedAt)}, takeover.Record{})
	if s.list != nil && err == nil {
		add(kindList, s.list, takeover.Record{})
	}
	if s.partialList != nil && err == nil {
		add(kindPart, s.partialList, takeover.Record{})
	}
	if err == nil {
		add(kindFront, frontRecord{s.drained, s.stopped}, takeover.Record{})
	}
	for _, c := range s.engine.Calls {
		if err == nil {
			add(kindCall, callRecord{Message: c.Message, Attempt: c.Attempt, Endpoint: c.Endpoint, Address: c.InFlightCall.Endpoint.Address, Destination: c.InFlightCall.Endpoint.Destination,
				StartedMS: c.InFlightCall.Endpoint.StartedMS, Read: c.Read, Began: c.Began, Deadline: c.Deadline, LedgerSeq: c.LedgerSeq}, takeover.Record{Conn: c.Conn})
		}
	}
	for _, c := range s.clients {
		if err == nil {
			add(kindClient, clientRecord{c.Unread, c.Used}, takeover.Record{Conn: c.Conn})
		}
	}
	for _, c := range s.idle {
		if err == nil {
			add(kindIdle, idleRecord{Endpoint: c.Endpoint.Name, Destination: c.Endpoint.Destination, StartedMS: c.Endpoint.StartedMS, Address: c.Endpoint.Address, Since: c.Since}, takeover.Record{Conn: c.Conn})
		}
	}
	return list, err
}

// uptimeAt returns the machine's uptime at a time shortly before now; 0 if it is unknown.
func uptimeAt(at time.Time) time.Duration {
	uptime, ok := steadyclock.Uptime()
	if !ok {
		return 0
	}
	return uptime - time.Since(at)
}

// decodeHandover decodes the records of a handover. It checks that exactly the kinds that need a connection come with one.
func decodeHandover(records []takeover.Record) (*handoverState, error) {
	state := &handoverState{}
	hasEngine := false
	var clockStep time.Duration // how far the wall clock was set since the old process wrote its times
	for i, record := range records {
		var err error
		read := func(v any) bool {
			err = json.Unmarshal(record.Data, v)
			return err == nil
		}
		needsConn := record.Kind == kindCall || record.Kind == kindClient || record.Kind == kindIdle
		if needsConn != (record.Conn != nil) {
			return nil, fmt.Errorf("parcel %d, %q: the record comes with a connection that it must not have, or without a connection that it needs", i+1, record.Kind)
		}
		switch record.Kind {
		case kindEngine:
			var v engineRecord
			if hasEngine = read(&v); hasEngine {
				state.handovers = v.Handovers
				clockStep = steadyclock.WallStep(v.SavedAt, v.Uptime)
				v.SavedAt = v.SavedAt.Add(clockStep)
				state.engine.ForwarderState, state.engine.Clock, state.engine.SavedAt, state.engine.Destinations = v.ForwarderState, v.Clock, v.SavedAt, v.Destinations
			}
		case kindList:
			state.list = &agent.List{}
			read(state.list)
		case kindPart:
			state.partialList = &control.SavedState{}
			read(state.partialList)
		case kindFront:
			var v frontRecord
			read(&v)
			state.drained, state.stopped = v.Drained, v.Stopped.Add(clockStep)
		case kindCall:
			var v callRecord
			read(&v)
			state.engine.Calls = append(state.engine.Calls, engine.HandoverCall{Message: v.Message, Attempt: v.Attempt, Endpoint: v.Endpoint, LedgerSeq: v.LedgerSeq,
				InFlightCall: &engine.InFlightCall{Endpoint: engine.EndpointIdentity{Name: v.Endpoint, Destination: v.Destination, Address: v.Address, StartedMS: v.StartedMS}, Conn: record.Conn, Read: v.Read, Began: v.Began.Add(clockStep), Deadline: v.Deadline.Add(clockStep)}})
		case kindClient:
			var v clientRecord
			read(&v)
			state.clients = append(state.clients, resp2.DetachedConn{Conn: record.Conn, Unread: v.Unread, Used: v.Used})
		case kindIdle:
			var v idleRecord
			read(&v)
			state.idle = append(state.idle, httpcall.IdleConn{Endpoint: engine.EndpointIdentity{Name: v.Endpoint, Destination: v.Destination, Address: v.Address, StartedMS: v.StartedMS}, Conn: record.Conn, Since: v.Since.Add(clockStep)})
		default:
			err = fmt.Errorf("a kind that this program does not know")
		}
		if err != nil {
			return nil, fmt.Errorf("parcel %d, %q: %w", i+1, record.Kind, err)
		}
	}
	if !hasEngine {
		return nil, fmt.Errorf("%d records, and none of the kind %q", len(records), kindEngine)
	}
	return state, nil
}

// closeConns closes this process's copies of all connections.
func (s *handoverState) closeConns() {
	for _, c := range s.engine.Calls {
		c.Conn.Close()
	}
	for _, c := range s.clients {
		c.Conn.Close()
	}
	for _, c := range s.idle {
		c.Conn.Close()
	}
}

// discardEngine drops the state of the engine, which can't be resumed, so that the engine recovers from the journal alone. The clients' connections stay.
func (s *handoverState) discardEngine(why error) {
	slog.Error("the handover state can't be resumed: recovering from the journal alone", "err", why)
	for _, c := range s.engine.Calls {
		c.Conn.Close()
	}
	s.engine = engine.Handover{}
}
