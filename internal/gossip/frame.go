package gossip

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"scaleroute/internal/straggler"
)

// The daemon and the process that speaks for it tell each other frames: a length (4 bytes, little-endian), and a message whose first byte is its kind.
// Those of the wire go both ways as they are; these are between the two alone.
const (
	KindReport    = kindNews
	KindDesired   = kindWant
	KindConfig    = 'c' // how to meet the others: JSON, first and once
	KindHeartbeat = 'b' // the daemon runs: without one for BeatLimit the others are to miss it
	KindLeave     = 'l' // it ends in order
	KindMembers   = 'm' // who is there: JSON
	KindError     = 't' // what is in the way, in words

	longestFrame = 1 << 20
	// HeartbeatTimeout is how long the daemon may be silent. A daemon that is stopped must not be told as there by a process that is not.
	HeartbeatTimeout = 2 * time.Second
)

// Config is how a member meets the others.
type Config struct {
	Name          string    `json:"name"` // of the forwarder
	Started       time.Time `json:"started"`
	Listen        string    `json:"listen"`              // an IP address and a port
	Advertise     string    `json:"advertise,omitempty"` // where others reach it, if that is elsewhere
	Join          []string  `json:"join"`
	Key           []byte    `json:"key,omitempty"` // 16, 24 or 32 bytes; none: nothing is encrypted
	Seed          uint64    `json:"seed"`
	ShortTimeouts bool      `json:"quick,omitempty"` // for tests: on one machine, a death is found sooner
}

// Member is a member that is there.
type Member struct {
	Name    string `json:"name"`
	Started int64  `json:"started"` // Unix time in ns
}

// Validate says what is wrong with the address or the key.
func (c *Config) Validate() error {
	if _, _, err := c.ListenAddress(); err != nil {
		return err
	}
	if _, _, err := c.AdvertisedAddress(); err != nil {
		return err
	}
	if n := len(c.Key); n != 0 && n != 16 && n != 24 && n != 32 {
		return fmt.Errorf("the key of the gossip has %d bytes: 16, 24 or 32, and no line end", n)
	}
	return nil
}

// ListenAddress is where it listens.
func (c *Config) ListenAddress() (host string, port int, err error) {
	return split(c.Listen, "fleet.gossip.listen, or NODE_GOSSIP")
}

// AdvertisedAddress is where others reach it.
func (c *Config) AdvertisedAddress() (host string, port int, err error) {
	if c.Advertise == "" {
		return c.ListenAddress()
	}
	return split(c.Advertise, "fleet.gossip.advertise, or NODE_GOSSIP_ADVERTISE")
}

func split(address, where string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err == nil {
		port, err = strconv.Atoi(text)
	}
	if err != nil || net.ParseIP(host) == nil || port < 1 || port > 65535 {
		return "", 0, fmt.Errorf("gossip at %q: write an IP address and a port, as 10.0.0.4:7946 (%s)", address, where)
	}
	return host, port, nil
}

// WriteFrame writes a frame.
func WriteFrame(w io.Writer, kind byte, message []byte) error {
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, 5+len(message)), uint32(len(message)+1))
	_, err := w.Write(append(append(b, kind), message...))
	return err
}

// WriteJSONFrame writes one whose message is JSON.
func WriteJSONFrame(w io.Writer, kind byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return WriteFrame(w, kind, text)
}

// ReadFrame reads one.
func ReadFrame(r io.Reader) (kind byte, message []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > longestFrame {
		return 0, nil, fmt.Errorf("a frame of %d bytes", n)
	}
	message = make([]byte, n-1)
	if _, err := io.ReadFull(r, message); err != nil {
		return 0, nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return head[4], message, nil
}

// DecodeReport and DecodeWant read messages, with their kind in front.
func DecodeReport(b []byte) (straggler.Report, error)   { return decodeNews(b) }
func DecodeDesired(b []byte) (straggler.Desired, error) { return decodeWant(b) }

// EncodeReport writes news.
func EncodeReport(n *straggler.Report) []byte { return encodeNews(n) }
