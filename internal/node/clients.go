package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

const (
	maxBody  = 64 << 10
	maxArgs  = 16
	maxArg   = maxBody + 64<<10 // read whole, so that a body somewhat too long gets an answer
	maxIDLen = 128
	// A client that stops in the middle of a request must not hold its connection for good.
	requestTime = 10 * time.Second
	// A request that crosses the closing of its connection is still read.
	lastLook = 10 * time.Millisecond
)

// request is one ENQUEUE.
type request struct {
	id     string
	class  string
	dest   int
	left   time.Duration
	again  bool
	repeat bool
	body   []byte
	read   time.Time
}

// intake takes a request on or turns it away: it returns what to answer and,
// if the message was taken on, a function to tell whether the answer was written.
type intake func(*request) (answer string, written func(ok bool))

// clients serves RESP2. The commands are read here and not by
// github.com/tidwall/redcon, whose reader (v1.6.4) panics in a goroutine of its
// own on a bulk length near the largest integer and loops on a huge list length:
// any client could end the process.
type clients struct {
	ln   net.Listener
	take intake

	mu      sync.Mutex
	conns   map[net.Conn]bool // whether it is between requests
	closing bool
	wg      sync.WaitGroup
}

func newClients(ln net.Listener, most int, take intake) *clients {
	return &clients{ln: netutil.LimitListener(ln, most), take: take, conns: map[net.Conn]bool{}}
}

// serve accepts connections until close is called.
func (c *clients) serve(ctx context.Context) error {
	for {
		conn, err := c.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, say: that passes
			slog.Warn("accepting a client", "err", err)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		c.mu.Lock()
		c.conns[conn] = false
		c.wg.Add(1)
		c.mu.Unlock()
		go func() {
			defer c.wg.Done()
			c.handle(conn)
		}()
	}
}

// stopAccepting stops listening; the connections there are go on.
func (c *clients) stopAccepting() { c.ln.Close() }

// close stops listening and closes each connection once no request is read or
// answered on it: a request that is not answered would count as lost.
func (c *clients) close() {
	c.mu.Lock()
	c.closing = true
	for conn, idle := range c.conns {
		if idle {
			conn.SetReadDeadline(time.Now().Add(lastLook))
		}
	}
	c.mu.Unlock()
	c.ln.Close()
}

// wait waits until the connections have ended, for so long at most.
func (c *clients) wait(limit time.Duration) {
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

// between notes that a connection waits for its next request, or has one in
// hand. It tells whether the connection is to go on.
func (c *clients) between(conn net.Conn, idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = idle
	switch {
	case !idle: // what has begun is read to its end
		conn.SetReadDeadline(time.Now().Add(requestTime))
	case c.closing:
		return false
	default:
		conn.SetReadDeadline(time.Time{})
	}
	return true
}

func (c *clients) handle(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	r := bufio.NewReaderSize(conn, 4096)
	for {
		if r.Buffered() == 0 && !c.between(conn, true) {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.between(conn, false)
		args, err := readCommand(r)
		var bad protocolError
		if errors.As(err, &bad) { // where the next request begins is not known any more
			fmt.Fprintf(conn, "-ERR %s\r\n", bad)
			return
		}
		if err != nil {
			return
		}
		answer, written := c.answer(args)
		conn.SetWriteDeadline(time.Now().Add(requestTime))
		_, err = io.WriteString(conn, answer)
		if written != nil {
			written(err == nil)
		}
		if err != nil {
			return
		}
	}
}

func (c *clients) answer(args [][]byte) (string, func(bool)) {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		if len(args) == 2 {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1]), nil
		}
		return "+PONG\r\n", nil
	case "ENQUEUE":
		req, err := parseEnqueue(args)
		if err != nil {
			return "-ERR " + err.Error() + "\r\n", nil
		}
		return c.take(req)
	}
	return "-ERR unknown command\r\n", nil
}

func parseEnqueue(args [][]byte) (*request, error) {
	if len(args) != 5 {
		return nil, errors.New("ENQUEUE takes a key, an id, a list and a body")
	}
	req := &request{id: string(args[2]), dest: -1, body: args[4], read: time.Now()}
	if !plainWord(req.id) {
		return nil, errors.New("bad id")
	}
	if len(req.body) > maxBody {
		return nil, errors.New("body over 64 KiB")
	}
	for _, pair := range strings.Split(string(args[3]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errors.New("bad list of names and values")
		}
		switch name {
		case "c":
			if !plainWord(value) {
				return nil, errors.New("bad class")
			}
			req.class = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms <= 1e9) {
				return nil, errors.New("bad time")
			}
			req.left = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := strconv.ParseInt(value, 10, 32)
			if err != nil || n < 0 {
				return nil, errors.New("bad destination")
			}
			req.dest = int(n)
		case "r":
			req.repeat = value == "1"
		case "again":
			req.again = value == "1"
		}
	}
	if req.class == "" || req.dest < 0 {
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

// readCommand reads one array of bulk strings. Lengths are checked before
// anything is set aside for them.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, protocolError("empty command")
	}
	args := make([][]byte, n)
	for i := range args {
		size, err := readLength(r, '$', maxArg)
		if err != nil {
			return nil, err
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(r, arg); err != nil {
			return nil, err
		}
		if string(arg[size:]) != "\r\n" {
			return nil, protocolError("bulk string without its end")
		}
		args[i] = arg[:size:size]
	}
	return args, nil
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
