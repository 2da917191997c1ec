// Package fleet runs many real forwarders with faults on the edges between them: each has a process and a folder of its own, and every
// connection between it and its agent, its targets, its clients and other forwarders leads through a relay that can cut, silence, delay, thin out and reset.
// What came of it is read from the records of all of them as one.
package fleet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"scaleroute/internal/standin"
)

// Way is a direction of an edge.
type Way int

// The ways. Up is from whoever connects.
const (
	Up Way = 1 << iota
	Down
)

// Fault is what is wrong with an edge. The zero Fault is none.
type Fault struct {
	Cut    bool          // connections are reset, and new ones are too
	Silent Way           // bytes of these ways stay where they are; they go on when that ends
	Delay  time.Duration // of each piece
	Jitter time.Duration // added to it, evenly drawn
	Piece  int           // bytes of a piece at most; 0: as they come
	Reset  float64       // share of pieces at which the connection is reset
	Loss   float64       // share of packets that are lost, between members
}

const (
	pieceMost = 16 << 10
	connsMost = 4096 // of one edge
)

// Edge is a relay of TCP connections to one address.
type Edge struct {
	address string
	of      func(source net.Addr) *line // what leads a connection from there

	mu      sync.Mutex
	ln      net.Listener
	stalled *standin.StalledListener // in place of ln; nil unless it is stalled
	to      string
	conns   map[*pair]struct{}
	closed  bool
	wg      sync.WaitGroup
	own     *line
}

// line is what is wrong on the way from one place to another, by the lock of its own.
type line struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed when fault changes
	closed  bool
	rng     *rand.Rand
	passed  int64 // bytes
}

func newLine(seed uint64) *line {
	return &line{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0xed6e))}
}

// pair is a connection and the one that it is led to.
type pair struct {
	near, far net.Conn
	*line
}

// NewEdge makes a relay to an address, at one of its own; what it draws comes from the seed.
func NewEdge(listen, to string, seed uint64) (*Edge, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	own := newLine(seed)
	return newEdge(ln, to, own, func(net.Addr) *line { return own }), nil
}

func newEdge(ln net.Listener, to string, own *line, of func(source net.Addr) *line) *Edge {
	e := &Edge{address: ln.Addr().String(), ln: ln, of: of, to: to, conns: map[*pair]struct{}{}, own: own}
	e.wg.Go(func() { e.serve(ln) })
	return e
}

// Address is where it listens.
func (e *Edge) Address() string { return e.address }

// Stall has new connections neither come up nor fail until Open. With reset set, those that are open are reset, as by a process that ends.
func (e *Edge) Stall(reset bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.stalled != nil {
		return nil
	}
	if reset {
		for p := range e.conns {
			p.reset()
		}
	}
	stalled, err := standin.StallListener(e.ln.(*net.TCPListener))
	if err != nil {
		return err
	}
	e.stalled = stalled
	return nil
}

// Open ends Stall. Connections that are still being tried come up with their next SYN.
func (e *Edge) Open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.stalled == nil {
		return nil
	}
	ln, err := e.stalled.Open()
	if err != nil {
		return err
	}
	e.stalled = nil
	e.wg.Go(func() { e.serve(ln) })
	return nil
}

// To leads connections from now on elsewhere.
func (e *Edge) To(address string) {
	e.mu.Lock()
	e.to = address
	e.mu.Unlock()
}

// Set changes what is wrong. A cut resets what is open.
func (e *Edge) Set(f Fault) { e.set(e.own, f) }

func (e *Edge) set(l *line, f Fault) {
	l.set(f)
	if !f.Cut {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for p := range e.conns {
		if p.line == l {
			p.reset()
		}
	}
}

func (l *line) set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// end has nothing pass any more.
func (l *line) end() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.set(Fault{Cut: true})
}

func (l *line) now() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// Passed is how many bytes have gone either way.
func (e *Edge) Passed() int64 {
	e.own.mu.Lock()
	defer e.own.mu.Unlock()
	return e.own.passed
}

// Close ends it with all its connections.
func (e *Edge) Close() {
	e.mu.Lock()
	e.closed = true
	e.own.end()
	for p := range e.conns {
		p.end()
		p.reset()
	}
	if e.stalled != nil {
		e.stalled.Close()
	}
	e.ln.Close()
	e.mu.Unlock()
	e.wg.Wait()
}

func (p *pair) reset() {
	reset(p.near)
	if p.far != nil {
		reset(p.far)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (e *Edge) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // closed, or stalled
			return
		}
		if err != nil { // out of descriptors
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p := &pair{near: conn, line: e.of(conn.RemoteAddr())}
		e.mu.Lock()
		if e.closed || p.now().Cut || len(e.conns) >= connsMost {
			e.mu.Unlock()
			reset(conn)
			continue
		}
		e.conns[p] = struct{}{}
		to := e.to
		e.wg.Add(1)
		e.mu.Unlock()
		go e.lead(p, to)
	}
}

// lead connects to where the edge leads once that way is open, and passes on what comes.
func (e *Edge) lead(p *pair, to string) {
	defer e.wg.Done()
	defer func() {
		e.mu.Lock()
		delete(e.conns, p)
		e.mu.Unlock()
	}()
	if !p.open(Up) {
		reset(p.near)
		return
	}
	far, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		reset(p.near)
		return
	}
	e.mu.Lock()
	p.far = far
	cut := e.closed || p.now().Cut
	e.mu.Unlock()
	if cut {
		p.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pass(p.near, far, Up) })
	both.Go(func() { p.pass(far, p.near, Down) })
	both.Wait()
	p.near.Close()
	far.Close()
}

// open waits until a way is not silent; false: the edge is closed or cut.
func (l *line) open(w Way) bool {
	for {
		l.mu.Lock()
		f, changed, closed := l.fault, l.changed, l.closed
		l.mu.Unlock()
		if closed || f.Cut {
			return false
		}
		if f.Silent&w == 0 {
			return true
		}
		<-changed
	}
}

// pass carries one way, piece by piece.
func (p *pair) pass(from, to net.Conn, w Way) {
	buf := make([]byte, pieceMost)
	for {
		size := len(buf)
		if n := p.now().Piece; n > 0 {
			size = min(size, n)
		}
		n, err := from.Read(buf[:size])
		if n > 0 && !p.carry(to, buf[:n], w) {
			return
		}
		if err == io.EOF { // half a close is passed on, too
			if !p.open(w) {
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// draw decides what becomes of a piece, or of a packet.
func (l *line) draw(bytes int) (wait time.Duration, broken, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.fault
	if wait = f.Delay; f.Jitter > 0 {
		wait += time.Duration(l.rng.Int64N(int64(f.Jitter)))
	}
	broken, lost = f.Reset > 0 && l.rng.Float64() < f.Reset, f.Loss > 0 && l.rng.Float64() < f.Loss
	l.passed += int64(bytes)
	return wait, broken, lost
}

func (p *pair) carry(to net.Conn, piece []byte, w Way) bool {
	wait, broken, _ := p.draw(len(piece))
	if broken {
		p.reset()
		return false
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	if !p.open(w) {
		return false
	}
	if _, err := to.Write(piece); err != nil {
		p.reset()
		return false
	}
	return true
}
