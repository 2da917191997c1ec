// Package client speaks to control servers: it watches a forwarder's part of the endpoint list, looks up single destinations, and watches the members of the
// fleet, which renews its own lease. docs/ownership.md has the calls. Everything is bounded: time, bytes of an answer, connections.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
)

// Times of calls. A server whose machine is dead sends no reset: it is left holdMargin after the time that its answer may be held.
const (
	DefaultWatchHold = 3 * time.Second
	holdMargin       = time.Second
	snapshotTime     = 5 * time.Second
	registerTime     = time.Second
	dialTime         = 500 * time.Millisecond
	idleTime         = time.Minute
)

// Bounds of what is read and kept.
const (
	maxAnswer      = 64 << 20 // bytes of an answer, unpacked
	maxOther       = 4 << 10  // of an answer that is no list
	maxConnections = 4        // to one server
)

// Config is what a Client is told.
type Config struct {
	Servers []string // host:port
	Layout  ownership.Layout
	Name    string // this member's
	Zone    string
	Seed    uint64 // of the order of the servers and of the back-off
	// LookupTimeout is how long one server may take for a look-up; 0: lookupTime.
	LookupTimeout time.Duration
	// Dial makes connections; nil: by TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one control server until that fails, and then the next. It may be used from several goroutines.
type Client struct {
	config  Config
	http    *http.Client
	traffic traffic

	mu      sync.Mutex
	random  *rand.Rand
	servers []string // in this client's order
	current int
}

// New makes a Client. It makes no call.
func New(c Config) *Client {
	k := &Client{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), servers: slices.Clone(c.Servers)}
	k.random.Shuffle(len(k.servers), func(i, j int) { k.servers[i], k.servers[j] = k.servers[j], k.servers[i] })
	if c.LookupTimeout == 0 {
		k.config.LookupTimeout = lookupTime
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	k.http = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTime)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: &k.traffic}, nil
		},
		MaxConnsPerHost: maxConnections, MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: idleTime, MaxResponseHeaderBytes: maxOther}}
	return k
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Server is the control server that is called now.
func (c *Client) Server() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[c.current]
}

// leave goes on to the next server, unless another call has done so.
func (c *Client) leave(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[c.current] == server {
		c.current = (c.current + 1) % len(c.servers)
	}
}

// fromCurrent lists the servers, the one that is called now first.
func (c *Client) fromCurrent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(slices.Clone(c.servers[c.current:]), c.servers[:c.current]...)
}

// uniform draws from 0 to 1.
func (c *Client) uniform() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// StatusError is an answer with another status than 200 and 204.
type StatusError struct {
	Server string
	Status int
	Text   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Server, e.Status, e.Text)
}

// call is one HTTP call.
type call struct {
	kind   CallKind
	method string
	server string
	path   string // with its query
	body   string
	limit  time.Duration
}

// do makes a call, has its answer read, and returns what it has cost on the wire.
func (c *Client) do(ctx context.Context, call call, read func(body io.Reader) error) (spent int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.limit)
	defer cancel()
	var conn *countingConn
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*countingConn)
		if conn != nil {
			before = conn.begin(call.kind)
		}
	}})
	defer func() {
		if conn != nil {
			spent = conn.bytes.Load() - before
		}
	}()
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+call.server+call.path, strings.NewReader(call.body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("User-Agent", "") // not sent: it would be bytes in each call
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxOther)) // what there is of it
		return 0, &StatusError{call.server, resp.StatusCode, strings.TrimSpace(string(text))}
	}
	if read != nil {
		err = read(resp.Body)
	}
	if err == nil { // so that the connection is used again
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxOther))
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", call.server, err)
	}
	return 0, err
}

// list makes a call for a list.
func (c *Client) list(ctx context.Context, call call, whole bool) (a partial.Answer, spent int64, err error) {
	spent, err = c.do(ctx, call, func(body io.Reader) error {
		in := &io.LimitedReader{R: body, N: maxAnswer}
		l, err := agent.ReadList(in, whole)
		if err != nil && in.N <= 0 {
			return fmt.Errorf("an answer of more than %d MiB", maxAnswer>>20)
		}
		if err != nil {
			return err
		}
		a = partial.Answer{Index: l.Index, Snapshot: l.Snapshot, Endpoints: l.Endpoints}
		return nil
	})
	return a, spent, err
}

// Watch asks for what changes in a scope, and in destinations beside it, after an index, and waits so long for that; from partial.NoIndex: for everything,
// at once. A call that fails has the next one go to another server.
func (c *Client) Watch(ctx context.Context, scope ownership.Set, w partial.Watch, hold time.Duration) (partial.Answer, error) {
	server := c.Server()
	a, err := c.watch(ctx, server, scope, w, hold)
	if err != nil && ctx.Err() == nil {
		c.leave(server)
	}
	return a, err
}

func (c *Client) watch(ctx context.Context, server string, scope ownership.Set, w partial.Watch, hold time.Duration) (partial.Answer, error) {
	query := "scope=" + c.config.Layout.Digest(scope)
	if len(w.Destinations) > 0 {
		query += "&destinations=" + destinationSet(w.Destinations).String()
	}
	next := call{kind: WatchCall, method: http.MethodGet, server: server, path: "/v1/servers?" + query, limit: snapshotTime}
	if w.From != partial.NoIndex {
		next.path += fmt.Sprintf("&from=%d&hold_ms=%d", w.From, hold.Milliseconds())
		next.limit = hold + holdMargin
	}
	whole := w.From == partial.NoIndex
	a, _, err := c.list(ctx, next, whole)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound && strings.Contains(status.Text, api.UnknownScope) {
		if err := c.register(ctx, server, scope); err != nil {
			return a, err
		}
		a, _, err = c.list(ctx, next, whole)
	}
	if err == nil && a.Index < w.MinIndex && !w.IsIndexReset(a) {
		err = &StaleAnswerError{server, a.Index, w.MinIndex}
	}
	return a, err
}

// StaleAnswerError is an answer that is older than what was received before.
type StaleAnswerError struct {
	Server          string
	Index, MinIndex int64
}

func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("%s: its list has index %d, after %d was received", e.Server, e.Index, e.MinIndex)
}

// Snapshot asks for everything in a scope, which must not be older than an index.
func (c *Client) Snapshot(ctx context.Context, scope ownership.Set, needed int64) (partial.Answer, error) {
	return c.Watch(ctx, scope, partial.Watch{From: partial.NoIndex, MinIndex: needed}, 0)
}

func (c *Client) register(ctx context.Context, server string, scope ownership.Set) error {
	set := scope.String()
	body, err := json.Marshal(api.Scope{Partitions: c.config.Layout.Partitions, Set: set})
	if err != nil {
		return err
	}
	path := "/v1/scopes/" + ownership.Digest(c.config.Layout.Partitions, set)
	_, err = c.do(ctx, call{kind: ScopeCall, method: http.MethodPut, server: server, path: path, body: string(body), limit: registerTime}, nil)
	return err
}

// lookupTime is how long one server may take for a look-up, as a rule, and lookupServers how many are asked.
const (
	lookupTime    = 100 * time.Millisecond
	lookupServers = 3
)

// Lookup asks for everything that there is of some destinations, which must not be older than an index: of several servers in turn, until one
// answers. spent is what that has cost on the wire.
func (c *Client) Lookup(ctx context.Context, destinations []int, newest int64) (a partial.Answer, spent int64, err error) {
	path := "/v1/servers?destinations=" + destinationSet(destinations).String()
	servers := c.fromCurrent()
	for _, server := range servers[:min(len(servers), lookupServers)] {
		var bytes int64
		a, bytes, err = c.list(ctx, call{kind: LookupCall, method: http.MethodGet, server: server, path: path, limit: c.config.LookupTimeout}, true)
		spent += bytes
		if err == nil && a.Index < newest {
			err = &StaleAnswerError{server, a.Index, newest}
		}
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return a, spent, err
}

func destinationSet(destinations []int) ownership.Set {
	numbers := make([]uint32, len(destinations))
	for i, d := range destinations {
		numbers[i] = uint32(d)
	}
	return ownership.NewSet(numbers...)
}

// Members renews this member's lease, and waits so long for changes of the members.
func (c *Client) Members(ctx context.Context, epoch string, index int64, hold time.Duration) (api.Members, error) {
	server := c.Server()
	query := url.Values{"name": {c.config.Name}, "zone": {c.config.Zone}}
	limit := registerTime
	if epoch != "" {
		query.Set("epoch", epoch)
		query.Set("from", strconv.FormatInt(index, 10))
		query.Set("hold_ms", strconv.FormatInt(hold.Milliseconds(), 10))
		limit = hold + holdMargin
	}
	var a api.Members
	_, err := c.do(ctx, call{kind: MembersCall, method: http.MethodGet, server: server, path: "/v1/members?" + query.Encode(), limit: limit}, func(body io.Reader) (err error) {
		a, err = readMembers(io.LimitReader(body, maxAnswer))
		return err
	})
	if err != nil && ctx.Err() == nil {
		c.leave(server)
	}
	return a, err
}

// Leave ends this member's lease: its part moves at once. A restart does not call it.
func (c *Client) Leave(ctx context.Context) error {
	query := url.Values{"name": {c.config.Name}, "zone": {c.config.Zone}, "leave": {"1"}}
	_, err := c.do(ctx, call{kind: MembersCall, method: http.MethodGet, server: c.Server(), path: "/v1/members?" + query.Encode(), limit: registerTime}, nil)
	return err
}
