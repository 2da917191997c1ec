// Package gossip has the members of a fleet tell each other what they act under. It decides nothing: what is heard goes to a [straggler.Evaluator], which has a member
// become more careful by it, and never less. The library that finds the others and carries messages is in a process of its own, package host.
package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// What members tell each other is one of two messages, each in one packet:
//
//	'n'  news: format (1), then the fields below in order; a higher format has more behind them, which is passed over
//	'w'  want: JSON
//
// Numbers are unsigned varints, digests and times 8 bytes, texts a length and their bytes. News of a fleet of 300 must fit in a packet some
// eight at a time: on a change of the list all have some.
const (
	kindNews = 'n'
	kindWant = 'w'

	mostMessage = 1200 // bytes; a longer one would never be sent
	mostDrains  = 8    // targets, the newest
	longestText = 200
)

var errMessage = errors.New("no message that this program knows")

// encodeNews writes news; texts that are too long are cut.
func encodeNews(n *straggler.Report) []byte {
	le := binary.LittleEndian
	text := func(b []byte, s string, most int) []byte {
		s = s[:min(len(s), most)]
		return append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	v := &n.Vector
	b := append(make([]byte, 0, 256), kindNews, byte(n.Format))
	b = text(b, n.Name, 64)
	b = text(b, n.Zone, 32)
	b = binary.AppendUvarint(b, n.Seq)
	b = le.AppendUint64(b, uint64(v.Started.UnixNano()))
	b = le.AppendUint64(b, uint64(nano(n.Clock)))
	flags := byte(n.State)
	if n.Stale {
		flags |= 1 << 4
	}
	if v.Build.Dirty {
		flags |= 1 << 5
	}
	b = append(b, flags)
	b = le.AppendUint64(b, n.StateDigest)
	revision, err := hex.DecodeString(v.Build.Revision)
	if err != nil || len(revision) > 32 {
		revision = nil
	}
	b = text(b, string(revision), 32)
	for _, c := range []version.Contents{v.Settings, v.Operators, v.Disabled} {
		b = binary.AppendUvarint(le.AppendUint64(b, uint64(c.Digest)), uint64(max(0, c.LoadCount)))
	}
	b = le.AppendUint64(b, uint64(v.List.Index))
	b = le.AppendUint64(b, uint64(v.List.Digest))
	b = le.AppendUint64(b, uint64(v.List.AddressDigest))
	b = binary.AppendUvarint(b, uint64(v.List.TargetCount))
	b = binary.AppendUvarint(b, uint64(max(0, v.Handovers)))
	b = text(b, n.Reason, longestText)
	b = text(b, n.AdminAddress, 64)
	drains := n.Drains[max(0, len(n.Drains)-mostDrains):]
	b = binary.AppendUvarint(b, uint64(len(drains)))
	for _, d := range drains {
		b = le.AppendUint64(text(b, d.Target, 64), uint64(d.Index))
	}
	if n.Format < 2 {
		return b
	}
	waits := n.RetryAfters[:min(len(n.RetryAfters), straggler.MaxReportedRetryAfters)]
	b = binary.AppendUvarint(b, uint64(len(waits)))
	for _, w := range waits {
		b = binary.AppendUvarint(text(b, w.Target, 64), uint64(max(0, w.Remaining.Milliseconds())))
	}
	if n.Format > straggler.Format { // only a test speaks it
		b = append(b, "later"...)
	}
	return b
}

func nano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// reader takes fields from a message; after an error all are empty.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) bytes(n uint64) []byte {
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) fixed() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text(most uint64) string {
	n := r.number()
	r.bad = r.bad || n > most
	return string(r.bytes(n))
}

func (r *reader) small() int {
	v := r.number()
	r.bad = r.bad || v > 1<<30
	return int(v)
}

func (r *reader) time() time.Time {
	if v := int64(r.fixed()); v != 0 {
		return time.Unix(0, v).UTC()
	}
	return time.Time{}
}

// decodeNews reads them.
func decodeNews(b []byte) (n straggler.Report, err error) {
	if len(b) < 2 || len(b) > mostMessage || b[0] != kindNews || b[1] == 0 {
		return n, errMessage
	}
	n.Format = int(b[1])
	r, v := reader{b: b[2:]}, &n.Vector
	v.Format = version.Format
	n.Name, n.Zone, n.Seq = r.text(64), r.text(32), r.number()
	v.Started, n.Clock = r.time(), r.time()
	if flags := r.bytes(1); flags != nil {
		n.State, n.Stale, v.Build.Dirty = straggler.MemberState(flags[0]&15), flags[0]&(1<<4) != 0, flags[0]&(1<<5) != 0
	}
	n.StateDigest = r.fixed()
	v.Build.Revision = hex.EncodeToString([]byte(r.text(32)))
	for _, c := range []*version.Contents{&v.Settings, &v.Operators, &v.Disabled} {
		*c = version.Contents{Digest: version.Digest(r.fixed()), LoadCount: r.small()}
	}
	v.List.Index, v.List.Digest, v.List.AddressDigest = int64(r.fixed()), version.Digest(r.fixed()), version.Digest(r.fixed())
	v.List.TargetCount, v.Handovers = r.small(), r.small()
	n.Reason, n.AdminAddress = r.text(longestText), r.text(64)
	drains := r.number()
	r.bad = r.bad || drains > mostDrains
	for i := uint64(0); i < drains && !r.bad; i++ {
		n.Drains = append(n.Drains, straggler.Drain{Target: r.text(64), Index: int64(r.fixed())})
	}
	if n.Format >= 2 {
		waits := r.number()
		r.bad = r.bad || waits > straggler.MaxReportedRetryAfters
		for i := uint64(0); i < waits && !r.bad; i++ {
			n.RetryAfters = append(n.RetryAfters, straggler.RetryAfter{Target: r.text(64), Remaining: time.Duration(r.small()) * time.Millisecond})
		}
	}
	if r.bad || len(r.b) > 0 && n.Format <= straggler.Format {
		return n, errMessage
	}
	return n, nil
}

// EncodeDesired writes a want; the error says that it is too long.
func EncodeDesired(w *straggler.Desired) ([]byte, error) {
	text, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	if len(text) >= mostMessage {
		return nil, fmt.Errorf("a want of %d bytes: %d at most; name fewer members", len(text), mostMessage-1)
	}
	return append([]byte{kindWant}, text...), nil
}

func decodeWant(b []byte) (w straggler.Desired, err error) {
	if len(b) < 2 || len(b) > mostMessage || b[0] != kindWant {
		return w, errMessage
	}
	if err := json.Unmarshal(b[1:], &w); err != nil {
		return w, err
	}
	if w.Gen == 0 || w.Deadline < 0 {
		return w, errMessage
	}
	return w, nil
}
