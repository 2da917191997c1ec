// Package pipe carries questions and answers between the forwarder and a process that runs plug-ins: frames of a JSON head and
// raw bodies, over a pair of pipes, one question at a time. Both sides bound what they read.
package pipe

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"scaleroute/internal/plugin"
)

// Bounds of one frame, in bytes.
const (
	mostHead = 256 << 10
	mostBody = 4 << 20
)

// StartRequest is the first thing that the process is told.
type StartRequest struct {
	Name   string  `json:"name"`
	File   string  `json:"file"` // for messages
	Source string  `json:"source"`
	Steps  uint64  `json:"steps"`
	Output int     `json:"output"`  // bytes of a body
	Memory int     `json:"memory"`  // bytes that the process may use beside its own
	HardMS float64 `json:"hard_ms"` // a call that takes longer ends the process
}

// StartResponse is its answer: that it can be asked now, or what is wrong with the code.
type StartResponse struct {
	Error  string         `json:"error,omitempty"`
	Points []plugin.Point `json:"points,omitempty"`
}

// Conn is one side. It is used by one goroutine at a time.
type Conn struct {
	r    io.Reader
	w    io.Writer
	head [8]byte
	buf  []byte
}

// NewConn makes one.
func NewConn(r io.Reader, w io.Writer) *Conn { return &Conn{r: r, w: w} }

// Send writes a frame: two lengths, the head as JSON, the body.
func (c *Conn) Send(head any, body []byte) error {
	text, err := json.Marshal(head)
	if err != nil {
		return err
	}
	if len(text) > mostHead || len(body) > mostBody {
		return fmt.Errorf("a frame of %d and %d bytes; at most %d and %d", len(text), len(body), mostHead, mostBody)
	}
	b := binary.LittleEndian.AppendUint32(c.buf[:0], uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = append(append(b, text...), body...)
	if c.buf = b; cap(b) > mostHead {
		c.buf = nil
	}
	_, err = c.w.Write(b)
	return err
}

// Receive reads a frame. most bounds its body, in bytes.
func (c *Conn) Receive(head any, most int) (body []byte, err error) {
	if _, err := io.ReadFull(c.r, c.head[:]); err != nil {
		return nil, err
	}
	n, m := binary.LittleEndian.Uint32(c.head[:]), binary.LittleEndian.Uint32(c.head[4:])
	if n > mostHead || int64(m) > int64(min(most, mostBody)) {
		return nil, fmt.Errorf("a frame of %d and %d bytes; at most %d and %d", n, m, mostHead, min(most, mostBody))
	}
	text := make([]byte, int(n)+int(m))
	if _, err := io.ReadFull(c.r, text); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text[:n], head); err != nil {
		return nil, fmt.Errorf("a frame that can't be read: %w", err)
	}
	return text[n:], nil
}

// request is a question's head: its bodies stand behind it, one after the other.
type request struct {
	*plugin.Request
	Message int `json:"message_bytes"`
}

// SendRequest sends a question.
func (c *Conn) SendRequest(q *plugin.Request) error {
	body := q.Body
	if len(q.ReplyBody) > 0 {
		body = append(body[:len(body):len(body)], q.ReplyBody...)
	}
	return c.Send(request{q, len(q.Body)}, body)
}

// ReceiveRequest reads one.
func (c *Conn) ReceiveRequest() (*plugin.Request, error) {
	q := request{Request: &plugin.Request{}}
	body, err := c.Receive(&q, mostBody)
	if err != nil {
		return nil, err
	}
	if q.Message < 0 || q.Message > len(body) {
		return nil, fmt.Errorf("a message of %d bytes in a body of %d", q.Message, len(body))
	}
	q.Body, q.ReplyBody = body[:q.Message:q.Message], body[q.Message:]
	return q.Request, nil
}

// SendResult sends a result.
func (c *Conn) SendResult(r *plugin.Result) error { return c.Send(r, r.Body) }

// ReceiveResult reads one; output bounds its body in bytes.
func (c *Conn) ReceiveResult(output int) (*plugin.Result, error) {
	r := &plugin.Result{}
	body, err := c.Receive(r, output)
	r.Body = body
	return r, err
}
