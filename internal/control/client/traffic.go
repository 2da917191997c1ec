package client

import (
	"net"
	"sync/atomic"
)

// CallKind is a kind of call to a control server, for the traffic counters.
type CallKind int32

// The kinds of call: a watch of the endpoint list, the registration of a scope, a look-up of destinations, and a watch of the members.
const (
	WatchCall CallKind = iota
	ScopeCall
	LookupCall
	MembersCall
	callKinds
)

var callKindNames = [callKinds]string{"watch", "scope", "lookup", "members"}

func (k CallKind) String() string { return callKindNames[k] }

// Usage counts the calls of one kind and their bytes of HTTP, headers included.
type Usage struct {
	Calls    int64 `json:"calls"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// usage is the counters behind a Usage.
type usage struct{ calls, sent, received atomic.Int64 }

// traffic has the counters of each kind of call.
type traffic [callKinds]usage

// Traffic returns the usage of each kind of call, by the name of the kind.
func (c *Client) Traffic() map[string]Usage {
	t := map[string]Usage{}
	for k := range callKinds {
		u := &c.traffic[k]
		t[k.String()] = Usage{u.calls.Load(), u.sent.Load(), u.received.Load()}
	}
	return t
}

// countingConn attributes the bytes of a connection to the kind of call that it carries.
type countingConn struct {
	net.Conn
	traffic *traffic
	kind    atomic.Int32
	bytes   atomic.Int64
}

// startCall records the kind of the call that the connection carries next, and returns the number of bytes that the connection has carried before it.
func (c *countingConn) startCall(kind CallKind) int64 {
	c.kind.Store(int32(kind))
	c.traffic[kind].calls.Add(1)
	return c.bytes.Load()
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	c.traffic[c.kind.Load()].received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.traffic[c.kind.Load()].sent.Add(int64(n))
	return n, err
}
