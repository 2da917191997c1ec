// Package pipe carries requests and results between the forwarder and a host process that runs a plug-in: frames of a JSON head
// and raw bodies over a pair of pipes, one request at a time. Both sides limit the size of the frames that they read.
package pipe

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"scaleroute/internal/plugin"
)

// Limits on the parts of one frame, in bytes.
const (
	maxHead = 256 << 10
	maxBody = 4 << 20
)

// StartRequest is the first frame that the forwarder sends to the process.
type StartRequest struct {
	Name   string  `json:"name"`
	File   string  `json:"file"` // file name, for error messages
	Source string  `json:"source"`
	Steps  uint64  `json:"steps"`
	Output int     `json:"output"`  // bytes of a body
	Memory int     `json:"memory"`  // bytes that the process may allocate beyond what it uses at its start
	HardMS float64 `json:"hard_ms"` // limit for one call; the process exits if a call takes longer
}

// StartResponse reports that the process accepts requests, or the error in the plug-in's code.
type StartResponse struct {
	Error  string         `json:"error,omitempty"`
	Points []plugin.Point `json:"points,omitempty"`
}

// Conn is one end of the pair of pipes. It must be used by one goroutine at a time.
type Conn struct {
	r    io.Reader
	w    io.Writer
	head [8]byte
	buf  []byte
}

// NewConn returns a Conn that reads frames from r and writes frames to w.
func NewConn(r io.Reader, w io.Writer) *Conn { return &Conn{r: r, w: w} }

// Send writes a frame: the lengths of head and body, the head as JSON, the body.
func (c *Conn) Send(head any, body []byte) error {
	text, err := json.Marshal(head)
	if err != nil {
		return err
	}
	if len(text) > maxHead || len(body) > maxBody {
		return fmt.Errorf("a frame of %d and %d bytes; at most %d and %d", len(text), len(body), maxHead, maxBody)
	}
	b := binary.LittleEndian.AppendUint32(c.buf[:0], uint32(len(text)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = append(append(b, text...), body...)
	if c.buf = b; cap(b) > maxHead {
		c.buf = nil
	}
	_, err = c.w.Write(b)
	return err
}

// Receive reads a frame. limit is the maximum size of its body in bytes.
func (c *Conn) Receive(head any, limit int) (body []byte, err error) {
	if _, err := io.ReadFull(c.r, c.head[:]); err != nil {
		return nil, err
	}
	headSize, bodySize := binary.LittleEndian.Uint32(c.head[:]), binary.LittleEndian.Uint32(c.head[4:])
	if headSize > maxHead || int64(bodySize) > int64(min(limit, maxBody)) {
		return nil, fmt.Errorf("a frame of %d and %d bytes; at most %d and %d", headSize, bodySize, maxHead, min(limit, maxBody))
	}
	text := make([]byte, int(headSize)+int(bodySize))
	if _, err := io.ReadFull(c.r, text); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text[:headSize], head); err != nil {
		return nil, fmt.Errorf("a frame that can't be read: %w", err)
	}
	return text[headSize:], nil
}

// request is the head of a request. The body of the message follows it, and then the body of the reply.
type request struct {
	*plugin.Request
	MessageBytes int `json:"message_bytes"`
}

// SendRequest sends a request.
func (c *Conn) SendRequest(q *plugin.Request) error {
	body := q.Body
	if len(q.ReplyBody) > 0 {
		body = append(body[:len(body):len(body)], q.ReplyBody...)
	}
	return c.Send(request{q, len(q.Body)}, body)
}

// ReceiveRequest reads a request.
func (c *Conn) ReceiveRequest() (*plugin.Request, error) {
	q := request{Request: &plugin.Request{}}
	body, err := c.Receive(&q, maxBody)
	if err != nil {
		return nil, err
	}
	if q.MessageBytes < 0 || q.MessageBytes > len(body) {
		return nil, fmt.Errorf("a message of %d bytes in a body of %d", q.MessageBytes, len(body))
	}
	q.Body, q.ReplyBody = body[:q.MessageBytes:q.MessageBytes], body[q.MessageBytes:]
	return q.Request, nil
}

// SendResult sends a result.
func (c *Conn) SendResult(r *plugin.Result) error { return c.Send(r, r.Body) }

// ReceiveResult reads a result. output is the maximum size of its body in bytes.
func (c *Conn) ReceiveResult(output int) (*plugin.Result, error) {
	r := &plugin.Result{}
	body, err := c.Receive(r, output)
	r.Body = body
	return r, err
}
