// Package resp2 is the front for clients that speak RESP2 over TCP: PING and ENQUEUE.
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
	maxBody    = journal.MaxBody
	maxArgs    = 16
	maxCommand = maxBody + 16<<10 // read whole, so that a body somewhat too long gets an answer
	firstRead  = 4 << 10          // set aside before any of a value has come
	maxIDLen   = 128
	// Nobody holds a connection without a word, or stops in the middle of a request, for good.
	requestTime = 2500 * time.Millisecond
	// FinalReadGrace: a request that crosses the closing of its connection is still read.
	FinalReadGrace = 10 * time.Millisecond
	acceptPause    = 20 * time.Millisecond // after accepting failed

	// What a client still sends is read for so long after an error: to close on
	// it at once would reset the connection, and might lose the error.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// Acceptor takes a message on or turns it away.
type Acceptor interface {
	Accept(*message.Message) engine.Answer
}

// Server serves RESP2. The commands are read here and not by
// github.com/tidwall/redcon, whose reader (v1.6.4) panics in a goroutine of its
// own on a bulk length near the largest integer and loops on a huge list length:
// any client could end the process.
type Server struct {
	ln   net.Listener
	most int // connections
	take Acceptor

	// HandoverEnabled has what was read of requests kept, so that Detach can hand it over. It is set before Serve.
	HandoverEnabled bool

	drained  atomic.Bool   // PING says no
	stopping atomic.Bool   // no connection is taken on but what is queued
	ended    chan struct{} // a connection has

	mu        sync.Mutex
	conns     map[net.Conn]*clientState
	crowded   time.Time // until then whoever comes is taken to have waited for room; see makeRoom
	closing   bool
	drain     drain
	handing   handing
	gap       gap
	wg        sync.WaitGroup
	accepting sync.WaitGroup // Serve
}

// clientState is what a connection is at.
type clientState struct {
	idle    bool      // between requests
	reading bool      // in the middle of one
	since   time.Time // when that began, the one or the other
	used    bool      // a request was answered on it
	shed    bool      // closed to make room
	last    time.Time // when, if it was in the middle of a request: what comes until then is read

	unread  []byte    // read by another server
	limited bool      // it has a deadline to read
	until   time.Time // when the request that has begun must be read; its goroutine's alone
}

// patient is a connection whose deadlines are set only when there is something to wait
// for: most requests come in one piece, and their answers go out in one.
type patient struct {
	net.Conn
	server  *Server
	state   *clientState
	writeTo time.Time // its deadline to write
	replay  []byte    // what another server read of it, to be read again
	seen    []byte    // what has been read since the request began, where connections may be handed over
}

// Read reads what comes next. Within a request it waits until the time for that is up.
func (p *patient) Read(b []byte) (int, error) {
	if len(p.replay) > 0 {
		n := copy(b, p.replay)
		p.seen, p.replay = append(p.seen, p.replay[:n]...), p.replay[n:]
		return n, nil
	}
	if s := p.state; !s.until.IsZero() {
		p.server.mu.Lock()
		on := p.server.handing.on
		if !on {
			s.limited = true
			until := s.until
			if s.shed && s.last.Before(until) {
				until = s.last
			}
			p.Conn.SetReadDeadline(until)
		}
		p.server.mu.Unlock()
		if on {
			return 0, os.ErrDeadlineExceeded
		}
	}
	n, err := p.Conn.Read(b)
	if p.server.HandoverEnabled {
		p.seen = append(p.seen, b[:n]...)
	}
	return n, err
}

// unread is what the next server is to read first.
func (p *patient) unread() []byte { return append(p.seen, p.replay...) }

// mark forgets what was read before the last bytes, so many of them: they are the beginning of a request.
func (p *patient) mark(unread int) {
	p.seen = append(p.seen[:0], p.seen[len(p.seen)-min(unread, len(p.seen)):]...)
	if cap(p.seen) > 4*firstRead { // what a long request took is given back
		p.seen = slices.Clone(p.seen)
	}
}

// Write writes an answer, in requestTime at least and twice that at most.
func (p *patient) Write(b []byte) (int, error) {
	if now := time.Now(); p.writeTo.Sub(now) < requestTime {
		p.writeTo = now.Add(2 * requestTime)
		p.Conn.SetWriteDeadline(p.writeTo)
	}
	return p.Conn.Write(b)
}

// New makes a Server with at most so many connections.
func New(ln net.Listener, most int, take Acceptor) *Server {
	if l, ok := ln.(interface{ SetDeadline(time.Time) error }); ok { // another server may have ended it
		l.SetDeadline(time.Time{})
	}
	return &Server{ln: ln, most: most, take: take, conns: map[net.Conn]*clientState{}, ended: make(chan struct{}, 1)}
}

// Serve accepts connections until Close is called. When there are as many as
// may be, idle ones make room: no client is left waiting for those that say nothing.
func (c *Server) Serve(ctx context.Context) error {
	c.mu.Lock()
	if c.handing.on {
		c.mu.Unlock()
		return nil
	}
	c.accepting.Add(1) // before Detach waits for that, or not at all
	c.mu.Unlock()
	defer c.accepting.Done()
	for {
		last := c.stopping.Load()
		if last {
			c.acceptFor(FinalReadGrace)
		}
		conn, err := c.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && !last && c.stopping.Load() {
			continue // what is queued was not looked at
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil { // out of descriptors, say: that passes
			slog.Warn("accepting a client", "err", err)
			pause(ctx, acceptPause)
			continue
		}
		for came := time.Now(); !c.admit(conn, came); {
			if c.handOver(conn, nil, false) {
				return nil
			}
			if c.waitForRoom(ctx); ctx.Err() != nil {
				conn.Close()
				return nil
			}
		}
		go func() {
			defer c.wg.Done()
			c.handle(conn)
		}()
	}
}

// StopAccepting stops listening; the connections there are go on. What the kernel has queued is taken on first: to close on it would reset it.
func (c *Server) StopAccepting() {
	c.stopping.Store(true)
	if !c.acceptFor(0) {
		c.ln.Close()
		return
	}
	go func() {
		c.accepting.Wait()
		c.ln.Close()
	}()
}

// acceptFor has the listener wait for so long at most. It tells whether it can.
func (c *Server) acceptFor(limit time.Duration) bool {
	l, ok := c.ln.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(limit)) == nil
}

// Close stops listening and closes each connection once no request is read or
// answered on it: a request that is not answered would count as lost.
func (c *Server) Close() {
	c.mu.Lock()
	c.closing = true
	c.closeIdle()
	c.mu.Unlock()
	c.ln.Close()
}

// Wait waits until the connections have ended, for so long at most.
func (c *Server) Wait(limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

// readWhole notes that a request has been: its connection is not closed before the answer.
func (c *Server) readWhole(s *clientState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.reading = false
}

// next notes that a connection waits for its next request. It tells whether the
// connection is to go on.
func (c *Server) next(conn net.Conn, s *clientState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.idle, s.reading, s.used, s.since, s.until = true, false, true, time.Now(), time.Time{}
	if s.limited || s.shed {
		s.limited, s.shed = false, false
		if !c.handing.on { // else it is to be given away
			conn.SetReadDeadline(time.Time{})
		}
	}
	return !c.closing && !c.drain.closing
}

// begun notes that a request has begun: it is read to its end.
func (c *Server) begun(s *clientState, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.idle, s.reading, s.since, s.until = false, true, time.Now(), until
	s.limited = s.limited || s.shed
	s.shed = false
}

func (c *Server) handle(raw net.Conn) {
	c.mu.Lock()
	s := c.conns[raw]
	c.mu.Unlock()
	kept, first := false, true // by whoever goes on with it; no request was read here
	defer func() {
		if !kept {
			raw.Close()
		}
		c.mu.Lock()
		delete(c.conns, raw)
		c.mu.Unlock()
		select {
		case c.ended <- struct{}{}:
		default:
		}
	}()
	conn := &patient{Conn: raw, server: c, state: s, replay: s.unread}
	r := bufio.NewReaderSize(conn, 4096)
	until := time.Now().Add(requestTime) // for the first request, from the connect on
	c.mu.Lock()
	if s.limited = true; c.handing.on {
		raw.SetReadDeadline(time.Unix(1, 0))
	} else if s.used && !c.closing && !c.drain.closing { // by another server
		s.limited, until = false, time.Time{}
	} else if c.drain.closing {
		raw.SetReadDeadline(time.Now().Add(drainNew))
	} else if c.closing {
		raw.SetReadDeadline(time.Now().Add(FinalReadGrace))
	} else if !s.shed {
		raw.SetReadDeadline(until)
	}
	c.mu.Unlock()
	for {
		conn.mark(r.Buffered())
		if _, err := r.Peek(1); err != nil {
			kept = errors.Is(err, os.ErrDeadlineExceeded) && c.handOver(raw, conn.unread(), s.used)
			return
		}
		if until.IsZero() {
			until = time.Now().Add(requestTime)
		}
		c.begun(s, until)
		args, err := readCommand(r)
		var bad protocolError
		if errors.As(err, &bad) { // where the next request begins is not known any more
			raw.SetWriteDeadline(time.Now().Add(lingerTime))
			fmt.Fprintf(raw, "-ERR %s\r\n", bad)
			linger(raw)
			return
		}
		if err != nil {
			kept = errors.Is(err, os.ErrDeadlineExceeded) && c.handOver(raw, conn.unread(), s.used)
			return
		}
		c.readWhole(s)
		read := time.Now()
		if first {
			read, first = c.gap.sent(read), false
		}
		answer, written := c.answer(args, read)
		_, err = io.WriteString(conn, answer)
		if written != nil {
			written(err == nil)
		}
		if err != nil {
			return
		}
		conn.mark(r.Buffered())
		if kept = c.handOver(raw, conn.unread(), true); kept || r.Buffered() == 0 && !c.next(raw, s) {
			return
		}
		until = time.Time{}
	}
}

// linger ends our side of a connection and reads what still comes, within bounds.
func linger(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, conn, lingerBytes)
}

func (c *Server) answer(args [][]byte, read time.Time) (string, func(bool)) {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		if len(args) == 2 && !c.drained.Load() {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1]), nil
		}
		if c.drained.Load() {
			return "-DRAINING sent away by the operators\r\n", nil
		}
		return "+PONG\r\n", nil
	case "ENQUEUE":
		req, err := parseEnqueue(args, read)
		if err != nil {
			return "-ERR " + err.Error() + "\r\n", nil
		}
		return c.enqueue(req)
	}
	return "-ERR unknown command\r\n", nil
}

// enqueue hands a message in and words the answer.
func (c *Server) enqueue(m *message.Message) (string, func(bool)) {
	a := c.take.Accept(m)
	switch a.Kind {
	case engine.Accepted:
		return "+OK\r\n", a.ConfirmWritten
	case engine.Refused:
		if a.RetryAfter <= 0 {
			return "-BUSY\r\n", nil
		}
		return fmt.Sprintf("-BUSY %d\r\n", a.RetryAfter.Milliseconds()), nil
	}
	return "-ERR " + a.Reason + "\r\n", nil
}

func parseEnqueue(args [][]byte, read time.Time) (*message.Message, error) {
	if len(args) != 5 {
		return nil, errors.New("ENQUEUE takes a key, an id, a list and a body")
	}
	req := &message.Message{ID: string(args[2]), Destination: -1, Fields: string(args[3]), Body: message.Bytes(args[4]), ReadAt: read}
	if !plainWord(req.ID) {
		return nil, errors.New("bad id")
	}
	if req.Body.Len() > maxBody {
		return nil, errors.New("body over 64 KiB")
	}
	for _, pair := range strings.Split(req.Fields, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errors.New("bad list of names and values")
		}
		switch name {
		case "c":
			if !plainWord(value) {
				return nil, errors.New("bad class")
			}
			req.Class = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= 1e9) {
				return nil, errors.New("bad time")
			}
			req.TimeLeft = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.ParseInt(value, 10, 32)
			if err != nil || n < 0 {
				return nil, errors.New("bad destination")
			}
			req.Destination = int(n)
		case "r":
			req.Repeat = value == "1"
		case "again":
			req.Resubmitted = value == "1"
		}
	}
	if req.Class == "" || req.Destination < 0 {
		return nil, errors.New("no class or no destination")
	}
	return req, nil
}

// plainWord tells whether a text may stand in a header, a record and a notice as it is.
func plainWord(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDLen
}

// protocolError says what is wrong with a request.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// readCommand reads one array of bulk strings, of bounded size as a whole.
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

// readValue reads so many bytes. Memory is set aside as they come, not because
// they were announced.
func readValue(r io.Reader, size int) ([]byte, error) {
	value := make([]byte, 0, min(size, firstRead))
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

func readLength(r *bufio.Reader, kind byte, most int) (int, error) {
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
	if err != nil || n < 0 || n > most {
		return 0, protocolError("bad length")
	}
	return n, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
