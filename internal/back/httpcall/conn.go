package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"scaleroute/internal/back/socket"
	"scaleroute/internal/engine"
)

const maxResponseBytes = 64 << 10 // header and body; reading a longer response fails

// conn is a connection to an endpoint. It serves one call at a time.
type conn struct {
	net.Conn
	probe      socket.Probe
	endpoint   *endpoint // that it was opened for
	r          *bufio.Reader
	received   []byte           // all bytes since the call began
	timedOut   bool             // the last read ended at its deadline
	retryAfter retryAfterParser // for the response to the current call
	aborted    atomic.Bool      // set once the end of the call's context has aborted its I/O; this process then makes no further call on it
	replay     []byte           // bytes that another process has read already; they are read again first
	idleSince  time.Time
	// lastResponse is when the last response was read; zero if this process has made no call on the connection.
	lastResponse time.Time

	prev, next *conn // in the idle list
}

func newConn(raw net.Conn, e *endpoint) *conn {
	c := &conn{Conn: raw, probe: socket.NewProbe(raw), endpoint: e, idleSince: time.Now()}
	c.r = bufio.NewReader(c)
	return c
}

// isReused reports whether the connection has carried a call before.
func (c *conn) isReused() bool { return !c.lastResponse.IsZero() }

// Read reads from the connection, appends the bytes to received and fails once these exceed maxResponseBytes.
func (c *conn) Read(b []byte) (int, error) {
	left := maxResponseBytes - len(c.received)
	if left <= 0 {
		return 0, errResponseTooLarge
	}
	if len(c.replay) > 0 {
		n := copy(b[:min(len(b), left)], c.replay)
		c.replay = c.replay[n:]
		c.received = append(c.received, b[:n]...)
		c.retryAfter.parse(c.received)
		return n, nil
	}
	n, err := c.Conn.Read(b[:min(len(b), left)])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Where the process was stopped or waited for a core, it may find the deadline passed and the response there at once: the response came in
		// time, and says what became of the message.
		if available := c.probe.ReadAvailable(b[:min(len(b), left)]); available > 0 {
			n, err = available, nil
		}
	}
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded) // noted here, since http.ReadResponse may return another error
	c.received = append(c.received, b[:n]...)
	c.retryAfter.parse(c.received)
	return n, err
}

// readResponse reads a complete response, after any 1xx responses, and returns when its first byte came, or when waiting for it ended.
// The body is discarded, except for its beginning where the caller wants a reply.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, reply *engine.Reply) (resp *http.Response, firstByte time.Time, err error) {
	var upgraded, limited bool
	for {
		if limited { // the deadline that was set for a 1xx response
			c.limitReads(ctx, deadline)
		}
		_, err := c.r.Peek(1)
		firstByte = time.Now()
		if err != nil {
			return nil, firstByte, err
		}
		if limited = !c.isEmptyResponseBuffered(); limited { // otherwise the response is complete
			limit := firstByte.Add(responseReadTimeout)
			if deadline.Before(limit) {
				limit = deadline
			}
			c.limitReads(ctx, limit)
		}
		if resp, err = http.ReadResponse(c.r, nil); err != nil {
			return nil, firstByte, err
		}
		if resp.StatusCode < 100 || resp.StatusCode > 199 {
			break
		}
		upgraded = upgraded || resp.StatusCode == http.StatusSwitchingProtocols
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxResponseBytes {
		return nil, firstByte, errResponseTooLarge
	}
	var kept []byte
	if reply != nil {
		if kept, err = io.ReadAll(io.LimitReader(resp.Body, int64(reply.MaxBody))); err != nil {
			return nil, firstByte, err
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, firstByte, err
	}
	resp.Close = resp.Close || upgraded
	if reply != nil {
		reply.Status, reply.Header, reply.Body = resp.StatusCode, resp.Header, kept
	}
	return resp, firstByte, nil
}

// isEmptyResponseBuffered reports whether the buffer holds a complete header and a Content-Length of 0. Where it is mistaken, for instance
// since the two belong to different responses, the deadline of the call still bounds the reads.
func (c *conn) isEmptyResponseBuffered() bool {
	buffered, _ := c.r.Peek(c.r.Buffered())
	return bytes.Contains(buffered, headerEnd) && bytes.Contains(buffered, zeroLengthHeader)
}

var (
	headerEnd        = []byte("\r\n\r\n")
	zeroLengthHeader = []byte("\r\nContent-Length: 0\r\n")
)

// limitReads sets a deadline for further reads, unless the call's context has ended: then reads fail at once.
func (c *conn) limitReads(ctx context.Context, t time.Time) {
	c.SetReadDeadline(t)
	if ctx.Err() != nil {
		c.abortIO()
	}
}

// abortIO makes all reads and writes in progress fail.
func (c *conn) abortIO() { c.SetDeadline(time.Unix(1, 0)) }

// abortCall is called when the call's context ends.
func (c *conn) abortCall() {
	c.abortIO()
	c.aborted.Store(true)
}

// settleAbort prevents abortCall from running, or waits until it has set its deadline. The process that continues with the connection sets
// its own deadline, which abortCall must not replace.
func (c *conn) settleAbort(stopAbort func() bool) {
	for stopped := stopAbort(); !stopped && !c.aborted.Load(); {
		runtime.Gosched()
	}
}

// hasStatus200 reports whether the status line of a response, after any 1xx responses, is complete and has the status 200.
func hasStatus200(received []byte) bool {
	status, _ := parseStatusLine(received)
	return status == "200"
}

// parseStatusLine returns the status in the status line of a response, after any 1xx responses, and the text after that line; "" if
// there is no complete and valid status line yet.
func parseStatusLine(received []byte) (status string, rest []byte) {
	for {
		line, after, complete := bytes.Cut(received, []byte("\n"))
		fields := bytes.Fields(line)
		if !complete || len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) || len(fields[1]) != 3 {
			return "", nil
		}
		if fields[1][0] != '1' {
			return string(fields[1]), after
		}
		_, rest, complete := bytes.Cut(received, []byte("\r\n\r\n"))
		if !complete {
			return "", nil
		}
		received = rest
	}
}
