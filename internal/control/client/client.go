// Package client calls control servers. It watches a forwarder's part of the endpoint list, looks up single destinations, and watches the members of the
// fleet, which also renews the forwarder's own lease. docs/ownership.md describes the calls. The time of a call, the size of an answer and the number of
// connections are bounded.
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

// Timeouts of calls. A server whose machine has failed sends no TCP reset: the client gives up on it holdMargin after the time for which the server may hold its answer.
const (
	DefaultWatchHold = 3 * time.Second
	holdMargin       = time.Second
	snapshotTimeout  = 5 * time.Second
	shortCallTimeout = time.Second
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = time.Minute
)

// Limits on answers and connections.
const (
	maxAnswer      = 64 << 20 // bytes of an answer, decompressed
	maxSmallAnswer = 4 << 10  // bytes of an answer that is not a list, and of response headers
	maxConnections = 4        // connections to one server
)

// Config is the configuration of a Client.
type Config struct {
	Servers []string // addresses as host:port
	Layout  ownership.Layout
	Name    string // name of this member
	Zone    string
	Seed    uint64 // seeds the order of the servers and the back-off
	// LookupTimeout is the time that one server has to answer a look-up; 0 means defaultLookupTimeout.
	LookupTimeout time.Duration
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one control server until a call to it fails, and then the next server. It is safe for concurrent use.
type Client struct {
	config  Config
	http    *http.Client
	traffic traffic

	mu      sync.Mutex
	random  *rand.Rand
	servers []string // in the order in which this client tries them
	current int      // index in servers
}

// New returns a Client. It makes no call.
func New(c Config) *Client {
	k := &Client{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), servers: slices.Clone(c.Servers)}
	k.random.Shuffle(len(k.servers), func(i, j int) { k.servers[i], k.servers[j] = k.servers[j], k.servers[i] })
	if c.LookupTimeout == 0 {
		k.config.LookupTimeout = defaultLookupTimeout
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	k.http = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: &k.traffic}, nil
		},
		MaxConnsPerHost: maxConnections, MaxIdleConns: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxSmallAnswer}}
	return k
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Server returns the address of the control server that the next call goes to.
func (c *Client) Server() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[c.current]
}

// switchFrom selects the next server, unless another call has already switched away from the given one.
func (c *Client) switchFrom(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[c.current] == server {
		c.current = (c.current + 1) % len(c.servers)
	}
}

// serversFromCurrent returns all servers in order, beginning with the current one.
func (c *Client) serversFromCurrent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(slices.Clone(c.servers[c.current:]), c.servers[:c.current]...)
}

// uniform returns a random number in [0, 1).
func (c *Client) uniform() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// StatusError reports a response with a status other than 200 and 204.
type StatusError struct {
	Server string
	Status int
	Text   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Server, e.Status, e.Text)
}

// call describes one HTTP request.
type call struct {
	kind    CallKind
	method  string
	server  string
	path    string // including the query
	body    string
	timeout time.Duration
}

// do makes a call and passes the body of a successful response to read. spent is the number of bytes that the call has sent and received.
func (c *Client) do(ctx context.Context, call call, read func(body io.Reader) error) (spent int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var conn *countingConn
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*countingConn)
		if conn != nil {
			before = conn.startCall(call.kind)
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
	req.Header.Set("User-Agent", "") // an empty value omits the header, which saves bytes in each call
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxSmallAnswer)) // the text that arrived before an error, if any
		return 0, &StatusError{call.server, resp.StatusCode, strings.TrimSpace(string(text))}
	}
	if read != nil {
		err = read(resp.Body)
	}
	if err == nil { // drain the body so that the connection can be reused
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxSmallAnswer))
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", call.server, err)
	}
	return 0, err
}

// fetchList makes a call whose answer is an endpoint list. If whole is true, the answer counts as a snapshot, whatever its own snapshot field says.
func (c *Client) fetchList(ctx context.Context, call call, whole bool) (a partial.Answer, spent int64, err error) {
	spent, err = c.do(ctx, call, func(body io.Reader) error {
		in := &io.LimitedReader{R: body, N: maxAnswer}
		l, err := agent.ReadList(in, whole)
		if err != nil && in.N <= 0 {
			return fmt.Errorf("the answer is larger than %d MiB", maxAnswer>>20)
		}
		if err != nil {
			return err
		}
		a = partial.Answer{Index: l.Index, Snapshot: l.Snapshot, Endpoints: l.Endpoints}
		return nil
	})
	return a, spent, err
}

// Watch requests the changes after the index w.From in a scope and in the destinations of w. The server holds its answer for up to hold until there is a change.
// From partial.NoIndex it requests all endpoints, which the server returns at once. After a call that failed the next call goes to another server.
func (c *Client) Watch(ctx context.Context, scope ownership.Set, w partial.Watch, hold time.Duration) (partial.Answer, error) {
	server := c.Server()
	a, err := c.watch(ctx, server, scope, w, hold)
	if err != nil && ctx.Err() == nil {
		c.switchFrom(server)
	}
	return a, err
}

// watch makes the call of Watch to one server. If the server does not know the scope, watch registers the scope and repeats the call.
func (c *Client) watch(ctx context.Context, server string, scope ownership.Set, w partial.Watch, hold time.Duration) (partial.Answer, error) {
	query := "scope=" + c.config.Layout.Digest(scope)
	if len(w.Destinations) > 0 {
		query += "&destinations=" + destinationSet(w.Destinations).String()
	}
	request := call{kind: WatchCall, method: http.MethodGet, server: server, path: "/v1/servers?" + query, timeout: snapshotTimeout}
	if w.From != partial.NoIndex {
		request.path += fmt.Sprintf("&from=%d&hold_ms=%d", w.From, hold.Milliseconds())
		request.timeout = hold + holdMargin
	}
	whole := w.From == partial.NoIndex
	a, _, err := c.fetchList(ctx, request, whole)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound && strings.Contains(status.Text, api.UnknownScope) {
		if err := c.register(ctx, server, scope); err != nil {
			return a, err
		}
		a, _, err = c.fetchList(ctx, request, whole)
	}
	if err == nil && a.Index < w.MinIndex && !w.IsIndexReset(a) {
		err = &StaleAnswerError{server, a.Index, w.MinIndex}
	}
	return a, err
}

// StaleAnswerError reports an answer whose index is lower than one that was received before.
type StaleAnswerError struct {
	Server          string
	Index, MinIndex int64
}

func (e *StaleAnswerError) Error() string {
	return fmt.Sprintf("%s: the list is out of date: its index is %d, but index %d was received before", e.Server, e.Index, e.MinIndex)
}

// Snapshot requests all endpoints of a scope. An answer with an index below needed is an error.
func (c *Client) Snapshot(ctx context.Context, scope ownership.Set, needed int64) (partial.Answer, error) {
	return c.Watch(ctx, scope, partial.Watch{From: partial.NoIndex, MinIndex: needed}, 0)
}

// register registers a scope at a server.
func (c *Client) register(ctx context.Context, server string, scope ownership.Set) error {
	set := scope.String()
	body, err := json.Marshal(api.Scope{Partitions: c.config.Layout.Partitions, Set: set})
	if err != nil {
		return err
	}
	path := "/v1/scopes/" + ownership.Digest(c.config.Layout.Partitions, set)
	_, err = c.do(ctx, call{kind: ScopeCall, method: http.MethodPut, server: server, path: path, body: string(body), timeout: shortCallTimeout}, nil)
	return err
}

// defaultLookupTimeout is the time that one server has to answer a look-up if Config sets none, and maxLookupServers is the maximum number of servers that one look-up tries.
const (
	defaultLookupTimeout = 100 * time.Millisecond
	maxLookupServers     = 3
)

// Lookup requests all endpoints of some destinations. It tries several servers one after another until one returns an answer with an index of at least
// newest. spent is the number of bytes that all these calls have sent and received.
func (c *Client) Lookup(ctx context.Context, destinations []int, newest int64) (a partial.Answer, spent int64, err error) {
	path := "/v1/servers?destinations=" + destinationSet(destinations).String()
	servers := c.serversFromCurrent()
	for _, server := range servers[:min(len(servers), maxLookupServers)] {
		var bytes int64
		a, bytes, err = c.fetchList(ctx, call{kind: LookupCall, method: http.MethodGet, server: server, path: path, timeout: c.config.LookupTimeout}, true)
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

// destinationSet returns destinations in the set encoding of package ownership.
func destinationSet(destinations []int) ownership.Set {
	numbers := make([]uint32, len(destinations))
	for i, d := range destinations {
		numbers[i] = uint32(d)
	}
	return ownership.NewSet(numbers...)
}

// Members renews this member's lease and requests the changes of the members after an index of an epoch. The server holds its answer for up to hold until there is a
// change. With an empty epoch it requests all members, which the server returns at once.
func (c *Client) Members(ctx context.Context, epoch string, index int64, hold time.Duration) (api.Members, error) {
	server := c.Server()
	query := url.Values{"name": {c.config.Name}, "zone": {c.config.Zone}}
	timeout := shortCallTimeout
	if epoch != "" {
		query.Set("epoch", epoch)
		query.Set("from", strconv.FormatInt(index, 10))
		query.Set("hold_ms", strconv.FormatInt(hold.Milliseconds(), 10))
		timeout = hold + holdMargin
	}
	var a api.Members
	_, err := c.do(ctx, call{kind: MembersCall, method: http.MethodGet, server: server, path: "/v1/members?" + query.Encode(), timeout: timeout}, func(body io.Reader) (err error) {
		a, err = readMembers(io.LimitReader(body, maxAnswer))
		return err
	})
	if err != nil && ctx.Err() == nil {
		c.switchFrom(server)
	}
	return a, err
}

// Leave ends this member's lease, so that its part moves to other members at once. A restart does not call it.
func (c *Client) Leave(ctx context.Context) error {
	query := url.Values{"name": {c.config.Name}, "zone": {c.config.Zone}, "leave": {"1"}}
	_, err := c.do(ctx, call{kind: MembersCall, method: http.MethodGet, server: c.Server(), path: "/v1/members?" + query.Encode(), timeout: shortCallTimeout}, nil)
	return err
}
