// Package gossip exchanges status reports and the desired version between the members of a fleet. It makes no decisions: received reports go to a [straggler.Evaluator],
// and they can only make a member more cautious, never less. The library that discovers members and transports messages runs in a separate process, see package host.
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

// Members exchange two kinds of messages, each of which fits in one packet:
//
//	'n'  report: the format (1 byte), then the fields in the order in which encodeReport writes them; a higher format appends fields, which older programs ignore
//	'w'  desired version: JSON
//
// Numbers are unsigned varints, digests and times take 8 bytes, and texts are a length and their bytes. In a fleet of 300 about eight reports must fit in a packet, because
// all members send a report when the endpoint list changes.
const (
	kindReport  = 'n'
	kindDesired = 'w'

	maxMessageLength = 1200 // bytes; a longer message would never be sent
	maxDrains        = 8    // the newest draining endpoints
	maxTextLength    = 200
)

var errMalformed = errors.New("malformed gossip message")

// encodeReport encodes a report. Texts that are too long are truncated.
func encodeReport(report *straggler.Report) []byte {
	le := binary.LittleEndian
	appendText := func(b []byte, s string, limit int) []byte {
		s = s[:min(len(s), limit)]
		return append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	v := &report.Vector
	b := append(make([]byte, 0, 256), kindReport, byte(report.Format))
	b = appendText(b, report.Name, 64)
	b = appendText(b, report.Zone, 32)
	b = binary.AppendUvarint(b, report.Seq)
	b = le.AppendUint64(b, uint64(v.Started.UnixNano()))
	b = le.AppendUint64(b, uint64(unixNano(report.Clock)))
	flags := byte(report.State)
	if report.Stale {
		flags |= 1 << 4
	}
	if v.Build.Dirty {
		flags |= 1 << 5
	}
	b = append(b, flags)
	b = le.AppendUint64(b, report.StateDigest)
	revision, err := hex.DecodeString(v.Build.Revision)
	if err != nil || len(revision) > 32 {
		revision = nil
	}
	b = appendText(b, string(revision), 32)
	for _, c := range []version.Contents{v.Settings, v.Operators, v.Disabled} {
		b = binary.AppendUvarint(le.AppendUint64(b, uint64(c.Digest)), uint64(max(0, c.LoadCount)))
	}
	b = le.AppendUint64(b, uint64(v.List.Index))
	b = le.AppendUint64(b, uint64(v.List.Digest))
	b = le.AppendUint64(b, uint64(v.List.AddressDigest))
	b = binary.AppendUvarint(b, uint64(v.List.TargetCount))
	b = binary.AppendUvarint(b, uint64(max(0, v.Handovers)))
	b = appendText(b, report.Reason, maxTextLength)
	b = appendText(b, report.AdminAddress, 64)
	drains := report.Drains[max(0, len(report.Drains)-maxDrains):]
	b = binary.AppendUvarint(b, uint64(len(drains)))
	for _, d := range drains {
		b = le.AppendUint64(appendText(b, d.Target, 64), uint64(d.Index))
	}
	if report.Format < 2 {
		return b
	}
	retryAfters := report.RetryAfters[:min(len(report.RetryAfters), straggler.MaxReportedRetryAfters)]
	b = binary.AppendUvarint(b, uint64(len(retryAfters)))
	for _, r := range retryAfters {
		b = binary.AppendUvarint(appendText(b, r.Target, 64), uint64(max(0, r.Remaining.Milliseconds())))
	}
	if report.Format > straggler.Format { // only tests send such a format
		b = append(b, "later"...)
	}
	return b
}

// unixNano returns a time in nanoseconds since 1970, or 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// reader reads the fields of a message. After an error it is malformed, and all further fields are empty.
type reader struct {
	b         []byte
	malformed bool
}

func (r *reader) bytes(n uint64) []byte {
	if r.malformed || n > uint64(len(r.b)) {
		r.malformed = true
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) fixed64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.malformed || n <= 0 {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text(limit uint64) string {
	n := r.uvarint()
	r.malformed = r.malformed || n > limit
	return string(r.bytes(n))
}

func (r *reader) smallInt() int {
	v := r.uvarint()
	r.malformed = r.malformed || v > 1<<30
	return int(v)
}

func (r *reader) time() time.Time {
	if v := int64(r.fixed64()); v != 0 {
		return time.Unix(0, v).UTC()
	}
	return time.Time{}
}

// decodeReport decodes a report. Bytes after the known fields are an error unless the report has a later format.
func decodeReport(b []byte) (report straggler.Report, err error) {
	if len(b) < 2 || len(b) > maxMessageLength || b[0] != kindReport || b[1] == 0 {
		return report, errMalformed
	}
	report.Format = int(b[1])
	r, v := reader{b: b[2:]}, &report.Vector
	v.Format = version.Format
	report.Name, report.Zone, report.Seq = r.text(64), r.text(32), r.uvarint()
	v.Started, report.Clock = r.time(), r.time()
	if flags := r.bytes(1); flags != nil {
		report.State, report.Stale, v.Build.Dirty = straggler.MemberState(flags[0]&15), flags[0]&(1<<4) != 0, flags[0]&(1<<5) != 0
	}
	report.StateDigest = r.fixed64()
	v.Build.Revision = hex.EncodeToString([]byte(r.text(32)))
	for _, c := range []*version.Contents{&v.Settings, &v.Operators, &v.Disabled} {
		*c = version.Contents{Digest: version.Digest(r.fixed64()), LoadCount: r.smallInt()}
	}
	v.List.Index, v.List.Digest, v.List.AddressDigest = int64(r.fixed64()), version.Digest(r.fixed64()), version.Digest(r.fixed64())
	v.List.TargetCount, v.Handovers = r.smallInt(), r.smallInt()
	report.Reason, report.AdminAddress = r.text(maxTextLength), r.text(64)
	drains := r.uvarint()
	r.malformed = r.malformed || drains > maxDrains
	for i := uint64(0); i < drains && !r.malformed; i++ {
		report.Drains = append(report.Drains, straggler.Drain{Target: r.text(64), Index: int64(r.fixed64())})
	}
	if report.Format >= 2 {
		retryAfters := r.uvarint()
		r.malformed = r.malformed || retryAfters > straggler.MaxReportedRetryAfters
		for i := uint64(0); i < retryAfters && !r.malformed; i++ {
			report.RetryAfters = append(report.RetryAfters, straggler.RetryAfter{Target: r.text(64), Remaining: time.Duration(r.smallInt()) * time.Millisecond})
		}
	}
	if r.malformed || len(r.b) > 0 && report.Format <= straggler.Format {
		return report, errMalformed
	}
	return report, nil
}

// EncodeDesired encodes a desired version. It returns an error if the message would be too long.
func EncodeDesired(desired *straggler.Desired) ([]byte, error) {
	text, err := json.Marshal(desired)
	if err != nil {
		return nil, err
	}
	if len(text) >= maxMessageLength {
		return nil, fmt.Errorf("the desired version takes %d bytes, and at most %d are allowed: name fewer members", len(text), maxMessageLength-1)
	}
	return append([]byte{kindDesired}, text...), nil
}

// decodeDesired decodes a desired version.
func decodeDesired(b []byte) (desired straggler.Desired, err error) {
	if len(b) < 2 || len(b) > maxMessageLength || b[0] != kindDesired {
		return desired, errMalformed
	}
	if err := json.Unmarshal(b[1:], &desired); err != nil {
		return desired, err
	}
	if desired.Gen == 0 || desired.Deadline < 0 {
		return desired, errMalformed
	}
	return desired, nil
}
