package client

import (
	"net"
	"sync/atomic"
)

// CallKind is a kind of call.
type CallKind int32

// The kinds of call.
const (
	WatchCall CallKind = iota
	ScopeCall
	LookupCall
	MembersCall
	kinds
)

var kindNames = [kinds]string{"watch", "scope", "lookup", "members"}

func (k CallKind) String() string { return kindNames[k] }

// Usage is what calls of one kind have come to, in bytes of HTTP, headers included.
type Usage struct {
	Calls    int64 `json:"calls"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

type usage struct{ calls, sent, received atomic.Int64 }

type traffic [kinds]usage

// Traffic is what the calls of each kind have come to, by its name.
func (c *Client) Traffic() map[string]Usage {
	t := map[string]Usage{}
	for k := range kinds {
		u := &c.traffic[k]
		t[k.String()] = Usage{u.calls.Load(), u.sent.Load(), u.received.Load()}
	}
	return t
}

// countingConn counts the bytes of a connection for the kind of call that it carries.
type countingConn struct {
	net.Conn
	traffic *traffic
	kind    atomic.Int32
	bytes   atomic.Int64
}

// begin notes which call the connection carries from now on, and returns how many bytes it has carried.
func (c *countingConn) begin(kind CallKind) int64 {
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
