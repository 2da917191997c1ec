package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The states of an endpoint in the list.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoint is one scripted endpoint.
type Endpoint struct {
	Name    string
	Group   int // its destination
	Address string
	Weight  float64
	SinceMS int64     // when its process started, as discovery tells it; 0 for long ago
	Former  *Endpoint // the one that had its address before; nil for none

	script  atomic.Pointer[Script]
	limited *window // of its destination
}

// Script is how an endpoint behaves. The zero Script answers 200 at once.
type Script struct {
	Latency time.Duration
	Jitter  time.Duration // added to it, evenly drawn
	Errors  float64       // share of calls answered 500
	Full    float64       // share answered 503, or 429 with a wait if Wait is set
	Wait    time.Duration

	Rate  int           // calls that the destination takes in a span, 0 for no limit; more are answered like Full
	Span  time.Duration // default 1 s
	Cold  time.Time     // it came back then: Rate grows from a fifth of itself to all of it over ColdFor
	Tells bool          // each answer tells the share of the limit that is left, and the limit

	Silent     bool    // reads, and never answers
	Refusing   bool    // accepts no connection: each is reset at once
	ResetFirst float64 // share of calls whose connection is reset before their last byte is read
	ResetLast  float64 // share reset after it

	ColdFor time.Duration

	Repeats      float64       // share of calls whose answer is written a second time on the same connection
	RepeatWithin time.Duration // so long behind the first at most, evenly drawn
}

// Set changes how the endpoint behaves, from the next call on.
func (e *Endpoint) Set(s Script) { e.script.Store(&s) }

// window counts calls of one destination in spans.
type window struct {
	mu    sync.Mutex
	start time.Time
	count int
}

// take counts one call, and tells how much of the span is left if there is no room for it.
func (w *window) take(s *Script, now time.Time) (left float64, wait time.Duration, ok bool) {
	span := s.Span
	if span <= 0 {
		span = time.Second
	}
	rate := float64(s.Rate)
	if !s.Cold.IsZero() && s.ColdFor > 0 {
		rate *= min(1, 0.2+0.8*float64(now.Sub(s.Cold))/float64(s.ColdFor))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.start) >= span {
		w.start, w.count = now, 0
	}
	if float64(w.count) >= rate {
		return 0, w.start.Add(span).Sub(now), false
	}
	w.count++
	return 1 - float64(w.count)/rate, 0, true
}

// host is one address, at which one or several endpoints are. Several are only
// where there are more endpoints than descriptors: no two of one destination.
type host struct {
	ln        net.Listener
	of        func(id string) (group int, log *Log, ok bool)
	byGroup   map[int]*Endpoint
	first     *Endpoint
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	closed    bool
	wg        sync.WaitGroup
	handshake atomic.Int64
}

func listen(w *World) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{ln: ln, of: w.of, byGroup: map[int]*Endpoint{}, conns: map[net.Conn]struct{}{}}
	return h, nil
}

func (h *host) serve() {
	defer h.wg.Done()
	for {
		conn, err := h.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		h.mu.Lock()
		if h.closed {
			h.mu.Unlock()
			conn.Close()
			return
		}
		h.conns[conn] = struct{}{}
		h.wg.Add(1)
		h.mu.Unlock()
		h.handshake.Add(1)
		go h.handle(conn)
	}
}

func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.ln.Close()
	h.wg.Wait()
}

// reset ends a connection so that the peer sees that it broke.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (h *host) handle(conn net.Conn) {
	defer func() {
		conn.Close()
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
		h.wg.Done()
	}()
	h.mu.Lock()
	first := h.first
	h.mu.Unlock()
	if first.script.Load().Refusing {
		reset(conn)
		return
	}
	r := bufio.NewReaderSize(conn, 2048)
	var body []byte
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c := &Call{First: time.Now()}
		size, err := readHead(r, c)
		if err != nil {
			fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		h.mu.Lock()
		group, log, ok := h.of(c.ID)
		if c.Endpoint = h.first; ok && h.byGroup[group] != nil {
			c.Endpoint = h.byGroup[group]
		}
		h.mu.Unlock()
		s := c.Endpoint.script.Load()
		if s.ResetFirst > 0 && rand.Float64() < s.ResetFirst && size > 0 {
			io.CopyN(io.Discard, r, size-1) // all but its last byte
			reset(conn)
			return
		}
		if int64(cap(body)) < size {
			body = make([]byte, min(size, mostBody))
		}
		if body = body[:min(size, mostBody)]; size > mostBody {
			return
		}
		if _, err := io.ReadFull(r, body); err != nil {
			return // broken off before its last byte: it never ran
		}
		c.Body = sum(body)
		c.Last, c.Ran = time.Now(), May
		log.call(c)
		if !h.answer(conn, r, c, s, log) {
			return
		}
	}
}

// answer does with a call what the script says, and tells whether the connection goes on.
func (h *host) answer(conn net.Conn, r *bufio.Reader, c *Call, s *Script, log *Log) bool {
	if s.Silent {
		r.Peek(1) // until the other side gives up
		log.ended(c, 0, May, 0)
		return false
	}
	if wait := s.Latency + time.Duration(rand.Float64()*float64(s.Jitter)); wait > 0 {
		conn.SetReadDeadline(time.Now().Add(wait))
		var timeout net.Error
		if _, err := r.Peek(1); err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			log.ended(c, 0, May, 0) // the other side has given it up: it is not out any more
			return false
		}
		conn.SetReadDeadline(time.Time{})
	}
	if s.ResetLast > 0 && rand.Float64() < s.ResetLast {
		log.ended(c, 0, May, 0)
		reset(conn)
		return false
	}
	status, wait, left := 200, time.Duration(0), 1.0
	if s.Rate > 0 {
		var ok bool
		if left, wait, ok = c.Endpoint.limited.take(s, time.Now()); !ok {
			status = 503
		}
	}
	switch x := rand.Float64(); {
	case status != 200:
	case x < s.Errors:
		status = 500
	case x < s.Errors+s.Full:
		status, wait = 503, s.Wait
	}
	if status == 503 && s.Wait > 0 {
		status = 429
	}
	head := make([]byte, 0, 160)
	head = fmt.Appendf(head, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n", status)
	if status == 429 {
		ms := max(1, int64((wait+time.Millisecond-1)/time.Millisecond))
		wait = time.Duration(ms) * time.Millisecond
		head = fmt.Appendf(head, "X-RateLimit-Wait-Ms: %d\r\n", ms)
	} else {
		wait = 0
	}
	if s.Tells && s.Rate > 0 {
		head = fmt.Appendf(head, "Srv-Load: x0=%.2f,x1=%d\r\n", left, s.Rate)
	}
	head = append(head, "\r\n"...)
	ran := map[int]Ran{200: Yes, 500: May}[status]
	// A call ends, and a wait begins, when its answer is written. It is noted before that, so that
	// nobody can act on the answer earlier than on the record.
	log.ended(c, status, ran, wait)
	if _, err := conn.Write(head); err != nil {
		return false
	}
	if s.Repeats > 0 && drawn(c.ID, "repeats") < s.Repeats {
		repeat := func() { conn.Write(head) } // to a connection that may be closed by then
		time.AfterFunc(time.Duration(drawn(c.ID, "repeat within")*float64(s.RepeatWithin)), repeat)
	}
	return true
}

// drawn is a number from 0 to 1 that a message's id and a purpose fix.
func drawn(id, purpose string) float64 {
	hash := fnv.New64a()
	io.WriteString(hash, purpose)
	io.WriteString(hash, id)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).Float64()
}

const mostBody = 1 << 20

var (
	idHeader     = []byte("req-id:")
	lengthHeader = []byte("content-length:")
)

// readHead reads the head of a call: its id and the length of its body.
func readHead(r *bufio.Reader, c *Call) (size int64, err error) {
	size = -1
	for n := 0; ; n++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case n == 0:
			if !bytes.HasPrefix(line, []byte("POST /events HTTP/1.1")) {
				return 0, fmt.Errorf("no call: %.80q", line)
			}
		case len(line) == 0:
			if size < 0 || c.ID == "" {
				return 0, errors.New("a call without its id or length")
			}
			return size, nil
		case hasPrefixFold(line, idHeader):
			c.ID = string(bytes.TrimSpace(line[len(idHeader):]))
		case hasPrefixFold(line, []byte("x-")):
			c.Header = c.Header*31 + sum(line)
		case hasPrefixFold(line, lengthHeader):
			if size, err = strconv.ParseInt(string(bytes.TrimSpace(line[len(lengthHeader):])), 10, 64); err != nil || size < 0 {
				return 0, fmt.Errorf("a bad length: %.80q", line)
			}
		}
	}
}

func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}
