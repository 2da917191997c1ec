// Package resp2 is the front for clients that speak RESP2 over TCP. It serves the commands PING and ENQUEUE.
package resp2

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

const (
	maxBody       = journal.MaxBody
	maxArgs       = 16
	maxCommand    = maxBody + 16<<10 // larger than a body, so that one that is somewhat too long is read and gets an error response
	initialBuffer = 4 << 10          // allocated before any byte of a value has arrived
	maxIDLen      = 128
	// requestTimeout bounds the time for a first request, and for the rest of one that has begun, so that no client holds a connection for ever.
	requestTimeout = 2500 * time.Millisecond
	// FinalReadGrace is how long a connection that is to be closed is still read, for a request that the client sends at the same moment.
	FinalReadGrace   = 10 * time.Millisecond
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept
	// departedLogInterval is how many requests of clients that have left share one log line.
	departedLogInterval = 256

	// After an error response the client's data is read for this long: closing
	// the connection at once would reset it, which might lose the response.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// Acceptor accepts or rejects messages.
type Acceptor interface {
	Accept(*message.Message) engine.Answer
}

// Server serves RESP2. The commands are read here and not by
// github.com/tidwall/redcon, whose reader (v1.6.4) panics in a goroutine of its
// own on a bulk length near the largest integer and loops on a huge array length:
// any client could end the process.
type Server struct {
	ln       net.Listener
	maxConns int
	acceptor Acceptor

	// HandoverEnabled has the bytes of a request kept while it is read, so that Detach can return them. It is set before Serve.
	HandoverEnabled bool

	// OnConnections is called with the number of open connections whenever it changes, in the order of the changes. It must not call the Server, and delays
	// new connections while it runs. It is set before Adopt and Serve; nil: not called.
	OnConnections func(count int)

	draining  atomic.Bool   // PING is refused
	stopping  atomic.Bool   // only connections that the kernel has queued are still accepted
	departed  atomic.Uint64 // requests that were read after their client had closed its connection
	connEnded chan struct{} // receives a value when a connection has ended

	mu              sync.Mutex
	conns           map[net.Conn]*connState
	overloadedUntil time.Time // until then a new connection counts as having waited; see evict
	// activeOverloadedUntil is the same for the eviction of active connections.
	activeOverloadedUntil time.Time
	closing               bool
	drain                 drainState
	detach                detachState
	readGap               readGap
	countFromArrival      bool
	wg                    sync.WaitGroup
	accepting             sync.WaitGroup // calls of Serve
}

// connState is the state of a connection.
type connState struct {
	idle    bool      // between requests
	reading bool      // in the middle of reading one
	since   time.Time // when the connection became idle, or the request began
	used    bool      // a request was answered on it
	evicted bool      // it is being closed in favour of a new connection
	evictAt time.Time // with evicted: what arrives until then is still read

	unread          []byte    // bytes that another server has read
	hasReadDeadline bool      // a read deadline is set
	requestDeadline time.Time // by which the request that has begun must be read; zero between requests. Only the connection's goroutine uses it
}

// clientConn is a connection whose read deadline is set only when a read has to wait,
// since most requests arrive in one piece, and whose write deadline is not moved for each response.
type clientConn struct {
	net.Conn
	server        *Server
	state         *connState
	writeDeadline time.Time // the write deadline that is set
	replay        []byte    // what another server has read, to be read again here
	requestBytes  []byte    // with HandoverEnabled: what has been read since the request began
}

// Read reads from replay first. Within a request it waits at most until the deadline of the request.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(c.replay) > 0 {
		n := copy(b, c.replay)
		c.requestBytes, c.replay = append(c.requestBytes, c.replay[:n]...), c.replay[n:]
		return n, nil
	}
	if state := c.state; !state.requestDeadline.IsZero() {
		c.server.mu.Lock()
		detaching := c.server.detach.active
		if !detaching {
			state.hasReadDeadline = true
			deadline := state.requestDeadline
			if state.evicted && state.evictAt.Before(deadline) {
				deadline = state.evictAt
			}
			c.Conn.SetReadDeadline(deadline)
		}
		c.server.mu.Unlock()
		if detaching {
			return 0, os.ErrDeadlineExceeded
		}
	}
	n, err := c.Conn.Read(b)
	if c.server.HandoverEnabled {
		c.requestBytes = append(c.requestBytes, b[:n]...)
	}
	return n, err
}

// unread returns the bytes that the next server has to read first.
func (c *clientConn) unread() []byte { return append(c.requestBytes, c.replay...) }

// retainLast drops what was read before the last unread bytes, which are the beginning of the next request.
func (c *clientConn) retainLast(unread int) {
	c.requestBytes = append(c.requestBytes[:0], c.requestBytes[len(c.requestBytes)-min(unread, len(c.requestBytes)):]...)
	if cap(c.requestBytes) > 4*initialBuffer { // releases the memory of a long request
		c.requestBytes = slices.Clone(c.requestBytes)
	}
}

// Write writes a response. It times out after requestTimeout at the earliest, and after twice that at the latest.
func (c *clientConn) Write(b []byte) (int, error) {
	if now := time.Now(); c.writeDeadline.Sub(now) < requestTimeout {
		c.writeDeadline = now.Add(2 * requestTimeout)
		c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	return c.Conn.Write(b)
}

// New returns a Server for the clients that connect to ln. It passes messages to acceptor, and has at most maxConns connections at a time.
func New(ln net.Listener, maxConns int, acceptor Acceptor) *Server {
	if l, ok := ln.(interface{ SetDeadline(time.Time) error }); ok { // another server may have left a deadline in the past
		l.SetDeadline(time.Time{})
	}
	return &Server{ln: ln, maxConns: maxConns, acceptor: acceptor, conns: map[net.Conn]*connState{}, connEnded: make(chan struct{}, 1)}
}

// Serve accepts connections until Close is called. When the maximum is reached, idle ones are
// evicted, so that no client is left waiting for the sake of silent ones.
func (s *Server) Serve(ctx context.Context) error {
	s.mu.Lock()
	if s.detach.active {
		s.mu.Unlock()
		return nil
	}
	s.accepting.Add(1) // under the lock, so that Detach waits for this call, or this call returns at once
	s.mu.Unlock()
	defer s.accepting.Done()
	for {
		stopping := s.stopping.Load()
		if stopping {
			s.limitAccept(FinalReadGrace)
		}
		conn, err := s.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && !stopping && s.stopping.Load() {
			continue // StopAccepting has interrupted this call, and queued connections are still to be accepted
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil { // for instance out of file descriptors, which is temporary
			slog.Warn("accepting a client connection failed", "err", err)
			sleep(ctx, acceptRetryDelay)
			continue
		}
		for acceptedAt := time.Now(); !s.admit(conn, acceptedAt); {
			if s.keepForHandover(conn, nil, false) {
				return nil
			}
			if s.waitForCapacity(ctx); ctx.Err() != nil {
				conn.Close()
				return nil
			}
		}
		go func() {
			defer s.wg.Done()
			s.handle(conn)
		}()
	}
}

// StopAccepting stops listening; existing connections continue. Connections that the kernel has queued are accepted first, since closing the listener
// would reset them.
func (s *Server) StopAccepting() {
	s.stopping.Store(true)
	if !s.limitAccept(0) {
		s.ln.Close()
		return
	}
	go func() {
		s.accepting.Wait()
		s.ln.Close()
	}()
}

// limitAccept bounds the time for which Accept waits. It reports whether the listener supports that.
func (s *Server) limitAccept(limit time.Duration) bool {
	l, ok := s.ln.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(limit)) == nil
}

// Close stops listening and closes each connection once no request is read or
// answered on it, since a request without a response would count as lost.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	s.closeIdle()
	s.mu.Unlock()
	s.ln.Close()
}

// Wait waits until all connections have ended, but no longer than limit.
func (s *Server) Wait(limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

// requestRead records that a request has been read completely: its connection is not closed before the response.
func (s *Server) requestRead(state *connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.reading = false
}

// awaitRequest records that a connection waits for its next request. It reports whether the
// connection stays open.
func (s *Server) awaitRequest(conn net.Conn, state *connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.idle, state.reading, state.used, state.since, state.requestDeadline = true, false, true, time.Now(), time.Time{}
	if state.hasReadDeadline || state.evicted {
		state.hasReadDeadline, state.evicted = false, false
		if !s.detach.active { // otherwise the past deadline that Detach has set must stay
			conn.SetReadDeadline(time.Time{})
		}
	}
	return !s.closing && !s.drain.closing
}

// requestBegun records that a request has begun. It is read to its end even if the connection was being evicted.
func (s *Server) requestBegun(state *connState, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.idle, state.reading, state.since, state.requestDeadline = false, true, time.Now(), until
	state.hasReadDeadline = state.hasReadDeadline || state.evicted
	state.evicted = false
}

// reportConnections tells OnConnections the number of connections. The server is locked.
func (s *Server) reportConnections() {
	if s.OnConnections != nil {
		s.OnConnections(len(s.conns))
	}
}

// handle serves a connection until it ends or is kept for a handover.
func (s *Server) handle(raw net.Conn) {
	s.mu.Lock()
	state := s.conns[raw]
	s.mu.Unlock()
	kept, first := false, true // kept: the connection is handed over; first: no request has been read here
	defer func() {
		if !kept {
			raw.Close()
		}
		s.mu.Lock()
		delete(s.conns, raw)
		s.reportConnections()
		s.mu.Unlock()
		select {
		case s.connEnded <- struct{}{}:
		default:
		}
	}()
	conn := &clientConn{Conn: raw, server: s, state: state, replay: state.unread}
	r := bufio.NewReaderSize(conn, 4096)
	deadline := time.Now().Add(requestTimeout) // for the first request, counted from the connect
	s.mu.Lock()
	if state.hasReadDeadline = true; s.detach.active {
		raw.SetReadDeadline(time.Unix(1, 0))
	} else if state.used && !s.closing && !s.drain.closing { // a request was answered by another server
		state.hasReadDeadline, deadline = false, time.Time{}
	} else if s.drain.closing {
		raw.SetReadDeadline(time.Now().Add(drainRequestTimeout))
	} else if s.closing {
		raw.SetReadDeadline(time.Now().Add(FinalReadGrace))
	} else if !state.evicted {
		raw.SetReadDeadline(deadline)
	}
	s.mu.Unlock()
	for {
		conn.retainLast(r.Buffered())
		if _, err := r.Peek(1); err != nil {
			kept = errors.Is(err, os.ErrDeadlineExceeded) && s.keepForHandover(raw, conn.unread(), state.used)
			return
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(requestTimeout)
		}
		s.requestBegun(state, deadline)
		args, err := readCommand(r)
		var malformed protocolError
		if errors.As(err, &malformed) { // the beginning of the next request is unknown now
			raw.SetWriteDeadline(time.Now().Add(lingerTime))
			fmt.Fprintf(raw, "-ERR %s\r\n", malformed)
			linger(raw)
			return
		}
		if err != nil {
			kept = errors.Is(err, os.ErrDeadlineExceeded) && s.keepForHandover(raw, conn.unread(), state.used)
			return
		}
		s.requestRead(state)
		readAt := time.Now()
		if first {
			readAt, first = s.firstRequestSentAt(raw, readAt), false
		}
		answer, written := s.answer(raw, args, readAt)
		_, err = io.WriteString(conn, answer)
		if written != nil {
			written(err == nil)
		}
		if err != nil {
			return
		}
		conn.retainLast(r.Buffered())
		if kept = s.keepForHandover(raw, conn.unread(), true); kept || r.Buffered() == 0 && !s.awaitRequest(raw, state) {
			return
		}
		deadline = time.Time{}
	}
}

// firstRequestSentAt returns when the first request that was read from a connection here was sent, as far as that is known.
func (s *Server) firstRequestSentAt(conn net.Conn, readAt time.Time) time.Time {
	if s.countFromArrival {
		return arrivedAt(conn, readAt)
	}
	return s.readGap.sentAt(readAt)
}

// linger closes the write side of a connection and reads what the client still sends, within bounds.
func linger(conn net.Conn) {
	if closer, ok := conn.(interface{ CloseWrite() error }); ok {
		closer.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, conn, lingerBytes)
}

// answer processes a request and returns the response. If the second result is not nil, it is to be called with whether the response was written.
func (s *Server) answer(conn net.Conn, args [][]byte, readAt time.Time) (string, func(bool)) {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		if len(args) == 2 && !s.draining.Load() {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1]), nil
		}
		if s.draining.Load() {
			return "-DRAINING sent away by the operators\r\n", nil
		}
		return "+PONG\r\n", nil
	case "ENQUEUE":
		m, err := parseEnqueue(args, readAt)
		if err != nil {
			return "-ERR " + err.Error() + "\r\n", nil
		}
		if hasDeparted(conn) { // asked as late as possible
			s.countDeparted(m)
			return "-BUSY\r\n", nil
		}
		return s.enqueue(m)
	}
	return "-ERR unknown command\r\n", nil
}

// countDeparted counts a request whose client has left, and logs some of them.
func (s *Server) countDeparted(m *message.Message) {
	if s.departed.Add(1)%departedLogInterval == 1 {
		slog.Info("requests are refused since their clients have left", "id", m.ID, "count", s.departed.Load())
	}
}

// enqueue submits a message and returns the response.
func (s *Server) enqueue(m *message.Message) (string, func(bool)) {
	answer := s.acceptor.Accept(m)
	switch answer.Kind {
	case engine.Accepted:
		return "+OK\r\n", answer.ConfirmWritten
	case engine.Refused:
		if answer.RetryAfter <= 0 {
			return "-BUSY\r\n", nil
		}
		return fmt.Sprintf("-BUSY %d\r\n", answer.RetryAfter.Milliseconds()), nil
	}
	return "-ERR " + answer.Reason + "\r\n", nil
}

func parseEnqueue(args [][]byte, readAt time.Time) (*message.Message, error) {
	if len(args) != 5 {
		return nil, errors.New("ENQUEUE takes a key, an id, a list and a body")
	}
	m := &message.Message{ID: string(args[2]), Destination: -1, Fields: string(args[3]), Body: message.Bytes(args[4]), ReadAt: readAt}
	if !isPlainToken(m.ID) {
		return nil, errors.New("bad id")
	}
	if m.Body.Len() > maxBody {
		return nil, errors.New("body over 64 KiB")
	}
	for _, pair := range strings.Split(m.Fields, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errors.New("bad list of names and values")
		}
		switch name {
		case "c":
			if !isPlainToken(value) {
				return nil, errors.New("bad class")
			}
			m.Class = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= 1e9) {
				return nil, errors.New("bad time")
			}
			m.TimeLeft = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.ParseInt(value, 10, 32)
			if err != nil || n < 0 {
				return nil, errors.New("bad destination")
			}
			m.Destination = int(n)
		case "r":
			m.Repeat = value == "1"
		case "again":
			m.Resubmitted = value == "1"
		}
	}
	if m.Class == "" || m.Destination < 0 {
		return nil, errors.New("no class or no destination")
	}
	return m, nil
}

// isPlainToken reports whether a text can be used unescaped in a header, a record and a notice.
func isPlainToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDLen
}

// protocolError is the reason why a request is malformed.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// readCommand reads one array of bulk strings, whose total size is bounded.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, protocolError("empty command")
	}
	args := make([][]byte, n)
	left := maxCommand
	for i := range args {
		size, err := readLength(r, '$', left)
		if err != nil {
			return nil, err
		}
		left -= size
		arg, err := readValue(r, size+2)
		if err != nil {
			return nil, err
		}
		if string(arg[size:]) != "\r\n" {
			return nil, protocolError("bulk string without its end")
		}
		args[i] = arg[:size:size]
	}
	return args, nil
}

// readValue reads size bytes. Memory is allocated as they arrive, not as
// they are announced.
func readValue(r io.Reader, size int) ([]byte, error) {
	value := make([]byte, 0, min(size, initialBuffer))
	for {
		n, err := io.ReadFull(r, value[len(value):cap(value)])
		value = value[:len(value)+n]
		if err != nil {
			return nil, err
		}
		if len(value) == size {
			return value, nil
		}
		value = append(make([]byte, 0, min(size, 4*cap(value))), value...)
	}
}

// readLength reads a line with the given type byte and a length of at most limit.
func readLength(r *bufio.Reader, kind byte, limit int) (int, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, protocolError("line too long")
	}
	if err != nil {
		return 0, err
	}
	if len(line) < 3 || line[0] != kind || line[len(line)-2] != '\r' {
		return 0, protocolError(fmt.Sprintf("expected '%c' and a length", kind))
	}
	n, err := strconv.Atoi(string(line[1 : len(line)-2]))
	if err != nil || n < 0 || n > limit {
		return 0, protocolError("bad length")
	}
	return n, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
