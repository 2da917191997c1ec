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

// The daemon and its sidecar exchange frames over the sidecar's standard input and output. A frame is a length (4 bytes, little-endian) and a message whose first byte is
// its kind. Reports and desired versions pass in both directions in the form in which members exchange them; the other kinds are used only between daemon and sidecar.
const (
	KindReport    = kindReport
	KindDesired   = kindDesired
	KindConfig    = 'c' // the Config in JSON: the first frame, sent once
	KindHeartbeat = 'b' // the daemon runs: without a heartbeat for HeartbeatTimeout the sidecar stops gossiping, so that the others find the member dead
	KindLeave     = 'l' // the daemon stops in an orderly way
	KindMembers   = 'm' // the members that are alive, in JSON
	KindError     = 't' // why the sidecar can't join the other members, as a text

	maxFrameLength = 1 << 20
	// HeartbeatTimeout is how long the daemon may be silent. A suspended daemon must not appear alive because its sidecar still runs.
	HeartbeatTimeout = 2 * time.Second
)

// Config configures the gossip of one member.
type Config struct {
	Name          string    `json:"name"` // of the forwarder
	Started       time.Time `json:"started"`
	Listen        string    `json:"listen"`              // an IP address and a port
	Advertise     string    `json:"advertise,omitempty"` // the address at which others reach the member, if it differs from Listen
	Join          []string  `json:"join"`
	Key           []byte    `json:"key,omitempty"` // 16, 24 or 32 bytes; empty: gossip is not encrypted
	Seed          uint64    `json:"seed"`
	ShortTimeouts bool      `json:"quick,omitempty"` // for tests on one machine: dead members are detected sooner
}

// Member is a process of a member that is alive.
type Member struct {
	Name    string `json:"name"`
	Started int64  `json:"started"` // Unix time in ns
}

// Validate returns an error if an address or the key is invalid.
func (c *Config) Validate() error {
	if _, _, err := c.ListenAddress(); err != nil {
		return err
	}
	if _, _, err := c.AdvertisedAddress(); err != nil {
		return err
	}
	if n := len(c.Key); n != 0 && n != 16 && n != 24 && n != 32 {
		return fmt.Errorf("the gossip key has %d bytes: it must have 16, 24 or 32, without a line end", n)
	}
	return nil
}

// ListenAddress returns the address at which the member listens.
func (c *Config) ListenAddress() (host string, port int, err error) {
	return splitAddress(c.Listen, "fleet.gossip.listen, or NODE_GOSSIP")
}

// AdvertisedAddress returns the address at which others reach the member.
func (c *Config) AdvertisedAddress() (host string, port int, err error) {
	if c.Advertise == "" {
		return c.ListenAddress()
	}
	return splitAddress(c.Advertise, "fleet.gossip.advertise, or NODE_GOSSIP_ADVERTISE")
}

// splitAddress parses an address. The error names the setting that it comes from.
func splitAddress(address, setting string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err == nil {
		port, err = strconv.Atoi(text)
	}
	if err != nil || net.ParseIP(host) == nil || port < 1 || port > 65535 {
		return "", 0, fmt.Errorf("invalid gossip address %q: write an IP address and a port, such as 10.0.0.4:7946 (%s)", address, setting)
	}
	return host, port, nil
}

// WriteFrame writes one frame.
func WriteFrame(w io.Writer, kind byte, message []byte) error {
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, 5+len(message)), uint32(len(message)+1))
	_, err := w.Write(append(append(b, kind), message...))
	return err
}

// WriteJSONFrame writes a frame whose message is v in JSON.
func WriteJSONFrame(w io.Writer, kind byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return WriteFrame(w, kind, text)
}

// ReadFrame reads one frame and returns its kind and the rest of its message.
func ReadFrame(r io.Reader) (kind byte, message []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > maxFrameLength {
		return 0, nil, fmt.Errorf("invalid frame length: %d bytes", n)
	}
	message = make([]byte, n-1)
	if _, err := io.ReadFull(r, message); err != nil {
		return 0, nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return head[4], message, nil
}

// DecodeReport and DecodeDesired decode messages that begin with their kind.
func DecodeReport(b []byte) (straggler.Report, error)   { return decodeReport(b) }
func DecodeDesired(b []byte) (straggler.Desired, error) { return decodeDesired(b) }

// EncodeReport encodes a report, with its kind in front.
func EncodeReport(report *straggler.Report) []byte { return encodeReport(report) }
