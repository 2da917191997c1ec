// Package wire translates between the line protocol of the simulator's test
// bench and the types of package decide: it reads batches of events and writes
// the actions in reply. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"scaleroute/internal/decide"
)

// The operations of an Input.
const (
	OpStart Op = iota // a forwarder starts with Settings
	OpStop            // the forwarder is killed
	OpEvent           // Event is passed to the forwarder
)

// Op is the operation that an Input applies to its instance.
type Op int

// Input is one line of a batch, addressed to one forwarder instance.
type Input struct {
	Instance string
	Op       Op
	Settings decide.Settings
	Event    decide.Event
}

// Batch holds the inputs of one clock time. Turn is its number, which the reply
// repeats.
type Batch struct {
	Now    time.Duration
	Turn   string
	Inputs []Input
}

// Reader reads batches and keeps the endpoint lists that DIRECTORY lines declare.
type Reader struct {
	in          *bufio.Reader
	line        int
	directories map[int][]decide.Target
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), directories: map[int][]decide.Target{}}
}

// Next returns the next batch, or io.EOF if the input ends between batches. Any
// other error names the batch, the line and, where it concerns one, the field.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readLine()
	for err == nil && text == "" {
		text, err = r.readLine()
	}
	if err != nil {
		return nil, err
	}
	b := &Batch{}
	f := parseFields(text)
	if f.verb != "BEGIN_BATCH" {
		return nil, fmt.Errorf("line %d: %q where BEGIN_BATCH was expected", r.line, f.verb)
	}
	b.Now = f.duration("T", true)
	b.Turn = f.text("turn", true)
	if _, err := strconv.ParseInt(b.Turn, 10, 64); err != nil && f.err == nil {
		f.err = fmt.Errorf("field turn: bad number %q", b.Turn)
	}
	if f.err != nil {
		return nil, fmt.Errorf("batch %q, line %d: %w", b.Turn, r.line, f.err)
	}
	for {
		text, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("batch %s, line %d: input ends inside the batch", b.Turn, r.line)
		}
		if err == nil && text == "FLUSH" {
			return b, nil
		}
		if err == nil {
			err = r.readEvent(b, text)
		}
		if err != nil {
			return nil, fmt.Errorf("batch %s, line %d: %w", b.Turn, r.line, err)
		}
	}
}

// readLine returns the next line without its line ending. A last line without a
// line ending counts as a line.
func (r *Reader) readLine() (string, error) {
	text, err := r.in.ReadString('\n')
	if err != nil && !(errors.Is(err, io.EOF) && text != "") {
		if errors.Is(err, io.EOF) {
			return "", io.EOF
		}
		return "", fmt.Errorf("reading input: %w", err)
	}
	r.line++
	return strings.TrimRight(text, "\r\n"), nil
}

// readEvent parses one line of a batch and adds its input to b. For a DIRECTORY
// line it also reads the TARGET lines that follow.
func (r *Reader) readEvent(b *Batch, text string) error {
	f := parseFields(text)
	if f.verb == "DIRECTORY" {
		return r.readDirectory(f)
	}
	in := Input{Instance: f.text("ForwarderId", true), Op: OpEvent}
	switch f.verb {
	case "PROVISION":
		in.Op = OpStart
		in.Settings = settingsFrom(f)
	case "DETACH":
		in.Op = OpStop
	case "PEERS_KNOWN":
		in.Event = r.targetList(f)
	case "ACCEPT":
		in.Event = decide.Message{
			ID: f.text("Tid", true), Class: f.text("Qos", true), Destination: f.integer("CalledNode", true),
			Key: f.text("PathKey", false), Tenant: f.text("Customer", false), TimeLeft: f.duration("Left", true),
			FromFailedForwarder: f.boolean("Again"), ClientRetry: f.boolean("Repeat"),
		}
		f.boolean("Update")
		f.number("Effort", false)
	case "FINISHED":
		wait := f.integer("Note", false)
		o := decide.Outcome{
			Message: f.text("Tid", true), Attempt: f.integer("Try", false), Target: f.text("Target", true),
			Result: f.result("Ending"), Latency: f.duration("Lag", false), NoAnswerNeeded: f.boolean("NoMore"),
			Allowance: f.allowance("Load"),
		}
		switch o.Result {
		case decide.Overloaded:
			o.RetryAfter = time.Duration(wait) * time.Millisecond
		case decide.NotSent:
			o.NoSlot = wait == 1
		}
		in.Event = o
	case "STATUS_BACK":
		in.Event = decide.ProbeResult{
			Target: f.text("Target", true), Result: f.result("Ending"), Latency: f.duration("Lag", false),
			Allowance: f.allowance("Load"),
		}
	case "DROPPED":
		in.Event = decide.Withdrawn{Message: f.text("Tid", true)}
	case "DEADLINE_HIT":
		f.text("Mark", true)
		in.Event = decide.Woken{}
	case "OPENED": // a stream opened: only validated, since no class uses streams
		f.text("Tid", true)
		f.integer("Try", false)
		return f.err
	case "NEIGHBOUR_SAYS": // a peer's message: only validated, since forwarders share no state
		if _, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(f.text("Body", true), "-")); err != nil {
			return fmt.Errorf("field Body: bad base64: %w", err)
		}
		f.integer("SrcPeer", false)
		return f.err
	default:
		return fmt.Errorf("unknown event %q", f.verb)
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", f.verb, f.err)
	}
	b.Inputs = append(b.Inputs, in)
	return nil
}

// readDirectory stores the endpoint list of a DIRECTORY line and the TARGET lines
// after it under its table number.
func (r *Reader) readDirectory(f *fields) error {
	table, n := f.integer("Table", true), f.integer("Records", true)
	if f.err == nil && (table < 0 || table > 15) {
		f.err = fmt.Errorf("field Table: %d is not from 0 to 15", table)
	}
	if f.err == nil && n < 0 {
		f.err = fmt.Errorf("field Records: %d is negative", n)
	}
	if f.err != nil {
		return fmt.Errorf("DIRECTORY: %w", f.err)
	}
	var targets []decide.Target
	for range n {
		text, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return errors.New("input ends inside the batch")
		}
		if err != nil {
			return err
		}
		e := parseFields(text)
		if e.verb != "TARGET" {
			return fmt.Errorf("%q where TARGET was expected", e.verb)
		}
		t := decide.Target{
			ID: e.text("Target", true), Destination: e.integer("OwnerNo", true), Kind: e.text("Type", false),
			Zone: e.text("Zone", false), Weight: e.number("Nominal", false),
		}
		e.number("Born", false)
		switch state := e.text("Lifecycle", true); state {
		case "active":
			t.State = decide.Active
		case "leaving":
			t.State = decide.Draining
		case "left":
			t.State = decide.Gone
		default:
			e.fail("Lifecycle", "unknown state", state)
		}
		if e.err != nil {
			return fmt.Errorf("TARGET: %w", e.err)
		}
		targets = append(targets, t)
	}
	r.directories[table] = targets
	return nil
}

// targetList converts a PEERS_KNOWN line into an endpoint list. The endpoints come
// from a table that a DIRECTORY line has declared.
func (r *Reader) targetList(f *fields) decide.Event {
	var l decide.TargetList
	switch scope := f.text("Scope", true); scope {
	case "update":
		l.Scope = decide.Delta
	case "replace":
		l.Scope = decide.Snapshot
	case "restored":
		l.Scope = decide.LastKnown
	case "unavailable":
		l.Scope = decide.Unavailable
		return l
	default:
		f.fail("Scope", "unknown scope", scope)
	}
	f.integer("Revision", false)
	table := f.integer("Table", true)
	targets, ok := r.directories[table]
	if !ok {
		f.fail("Table", "undeclared list", strconv.Itoa(table))
	}
	l.Targets = targets
	return l
}

// resultsByName maps the protocol's names of attempt results to decide's values.
var resultsByName = map[string]decide.Result{
	"done": decide.Succeeded, "err": decide.Errored, "busy": decide.Overloaded,
	"etimedout": decide.TimedOut, "econnrefused": decide.ConnectFailed,
	"econnreset": decide.Reset, "ecanceled": decide.Cancelled, "skipped": decide.NotSent,
}

// fields holds the verb and the name=value pairs of one line. The accessors record
// only the first error.
type fields struct {
	verb  string
	pairs map[string]string
	err   error
}

// parseFields splits a line into its verb and pairs.
func parseFields(text string) *fields {
	verb, rest, _ := strings.Cut(text, " ")
	f := &fields{verb: verb, pairs: make(map[string]string, 12)}
	for rest != "" {
		var token string
		token, rest, _ = strings.Cut(rest, " ")
		name, value, ok := strings.Cut(token, "=")
		if !ok || name == "" {
			f.fail(token, "not a name=value pair:", token)
			continue
		}
		f.pairs[name] = value
	}
	return f
}

func (f *fields) fail(field, problem, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s %q", field, problem, value)
	}
}

func (f *fields) text(name string, required bool) string {
	v, ok := f.pairs[name]
	if required && (!ok || v == "") {
		f.fail(name, "missing", v)
	}
	return v
}

func (f *fields) number(name string, required bool) float64 {
	s := f.text(name, required)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, "bad number", s)
		return 0
	}
	return v
}

func (f *fields) integer(name string, required bool) int {
	s := f.text(name, required)
	if s == "" {
		return 0
	}
	v, err := strconv.Atoi(s)
	if err != nil {
		f.fail(name, "bad number", s)
	}
	return v
}

// duration reads a number of milliseconds, rounded to a microsecond.
func (f *fields) duration(name string, required bool) time.Duration {
	ms := f.number(name, required)
	if math.Abs(ms) > 1e12 {
		f.fail(name, "out of range:", f.pairs[name])
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func (f *fields) boolean(name string) bool {
	switch s := f.pairs[name]; s {
	case "", "0", "false":
		return false
	case "1", "true":
		return true
	default:
		f.fail(name, "bad bool", s)
		return false
	}
}

func (f *fields) result(name string) decide.Result {
	s := f.text(name, true)
	v, ok := resultsByName[s]
	if !ok {
		f.fail(name, "unknown result", s)
	}
	return v
}

// allowance reads an endpoint's load report: comma-separated KEY:NUMBER pairs, of
// which x0 is the remaining allowance and x1 its rate. Other keys are ignored.
func (f *fields) allowance(name string) decide.Allowance {
	var a decide.Allowance
	s := f.pairs[name]
	if s == "" || s == "-" {
		return a
	}
	for _, entry := range strings.Split(s, ",") {
		key, value, ok := strings.Cut(entry, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			f.fail(name, "bad load report", s)
			return a
		}
		switch key {
		case "x0":
			a.Reported, a.Remaining = true, v
		case "x1":
			a.Reported, a.Rate = true, v
		}
	}
	return a
}
