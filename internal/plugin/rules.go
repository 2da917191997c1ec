package plugin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"scaleroute/internal/decide"
	"scaleroute/internal/message"
)

// MaxWait bounds a wait that a plug-in asks for.
const MaxWait = 5 * time.Minute

// Draft is a message on its way through the plug-ins at its intake, in their order. What one has set the next one sees. Where
// they disagree: a refusal ends it; a message goes to endpoints that all of them permit; the order of an earlier one goes
// first; a later body or header field replaces an earlier one.
type Draft struct {
	Endpoints []Endpoint // that it may go to: the active ones of its destination
	Body      []byte
	Header    []message.Field
	Only      []string
	Prefer    []string

	Refused bool
	Reason  string
	Wait    time.Duration // with Refused: come again then; 0 for never
}

// Apply takes one plug-in's result over, whole or not at all. The error says what it must not do. output bounds the body.
func (d *Draft) Apply(r *Result, output int) error {
	if r.NotDelivered {
		return errors.New("only a reply can be told to be no delivery")
	}
	if r.Refuse {
		wait, err := waitOf(r)
		if err != nil {
			return err
		}
		d.Refused, d.Reason, d.Wait = true, SanitizeLine(r.Reason, MaxReason), wait
		return nil
	}
	if r.WaitMS != 0 {
		return errors.New("a wait goes with a refusal or a reply")
	}
	if err := checkContent(r, output); err != nil {
		return err
	}
	only, err := d.narrowed(r.Only)
	if err != nil {
		return err
	}
	if err := d.known("prefer", r.Prefer); err != nil {
		return err
	}
	header := merge(d.Header, r.Header)
	if len(header) > 2*MaxHeaderFields {
		return fmt.Errorf("%d header fields of all plug-ins together; at most %d", len(header), 2*MaxHeaderFields)
	}
	if len(r.Only) > 0 {
		d.Only = only
	}
	for _, name := range r.Prefer {
		if !slices.Contains(d.Prefer, name) && len(d.Prefer) < MaxNamedEndpoints { // those of an earlier plug-in go first
			d.Prefer = append(d.Prefer, name)
		}
	}
	d.Header = header
	if r.HasBody {
		d.Body = r.Body
	}
	return nil
}

// known checks names of endpoints against those that the message may go to.
func (d *Draft) known(what string, names []string) error {
	if len(names) > MaxNamedEndpoints {
		return fmt.Errorf("%s names %d endpoints; at most %d", what, len(names), MaxNamedEndpoints)
	}
	for _, name := range names {
		if !slices.ContainsFunc(d.Endpoints, func(e Endpoint) bool { return e.Name == name }) {
			return fmt.Errorf("%s names %.64q, which is no active endpoint of the message's destination", what, name)
		}
	}
	return nil
}

func (d *Draft) narrowed(only []string) ([]string, error) {
	if err := d.known("only", only); err != nil || len(only) == 0 {
		return nil, err
	}
	list := slices.Compact(slices.Sorted(slices.Values(only)))
	if len(d.Only) > 0 {
		list = slices.DeleteFunc(list, func(name string) bool { return !slices.Contains(d.Only, name) })
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("only %q has no endpoint in common with what an earlier plug-in permits (%q)", only, d.Only)
	}
	return list, nil
}

// checkContent checks the body and the header that a plug-in has set.
func checkContent(r *Result, output int) error {
	if r.HasBody && len(r.Body) > min(output, MaxBody) {
		return fmt.Errorf("a body of %d bytes; at most %d", len(r.Body), min(output, MaxBody))
	}
	if len(r.Header) > MaxHeaderFields {
		return fmt.Errorf("%d header fields; at most %d", len(r.Header), MaxHeaderFields)
	}
	for _, f := range r.Header {
		if err := checkField(f); err != nil {
			return err
		}
	}
	return nil
}

// ours are the fields that the forwarder writes itself, or that say where a message ends.
var ours = []string{"host", "user-agent", "content-length", "transfer-encoding", "connection", "keep-alive", "proxy-connection",
	"te", "trailer", "upgrade", "expect"}

// checkField lets no field through that could change the message's id, deadline, place or length, or begin another one.
func checkField(f message.Field) error {
	lower := strings.ToLower(f.Name)
	switch {
	case f.Name == "" || len(f.Name) > MaxFieldName || strings.ContainsFunc(f.Name, notToken):
		return fmt.Errorf("%.64q is no name of a header field: letters, digits and - _ . of %d bytes at most", f.Name, MaxFieldName)
	case slices.Contains(ours, lower) || strings.HasPrefix(lower, "req-"):
		return fmt.Errorf("the header field %s is the forwarder's own", f.Name)
	case len(f.Value) > MaxFieldValue || strings.ContainsFunc(f.Value, notPrintable):
		return fmt.Errorf("the value of header field %s is not printable ASCII of %d bytes at most", f.Name, MaxFieldValue)
	}
	return nil
}

func notToken(r rune) bool {
	return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
}

func notPrintable(r rune) bool { return r < ' ' || r > '~' }

// merge puts fields in the place of those of the same names, or behind the others.
func merge(header, more []message.Field) []message.Field {
	header = slices.Clone(header)
	for _, f := range more {
		same := func(o message.Field) bool { return strings.EqualFold(o.Name, f.Name) }
		if i := slices.IndexFunc(header, same); i >= 0 {
			header[i] = f
		} else {
			header = append(header, f)
		}
	}
	return header
}

// Content is what one attempt sends.
type Content struct {
	Body   []byte
	Header []message.Field
}

// Apply takes over what a plug-in sets for one attempt, whole or not at all.
func (c *Content) Apply(r *Result, output int) error {
	if r.Refuse || r.NotDelivered || r.WaitMS != 0 || len(r.Only)+len(r.Prefer) > 0 {
		return errors.New("before a call, body and header alone can be set")
	}
	if err := checkContent(r, output); err != nil {
		return err
	}
	if header := merge(c.Header, r.Header); len(header) > 2*MaxHeaderFields {
		return fmt.Errorf("%d header fields of all plug-ins together; at most %d", len(header), 2*MaxHeaderFields)
	} else if len(r.Header) > 0 {
		c.Header = header
	}
	if r.HasBody {
		c.Body = r.Body
	}
	return nil
}

// RestrictOutcome makes an outcome count for less, as a plug-in asks: a delivery may be none, and a wait may be longer. What may have
// run never becomes what never ran, and no wait becomes shorter.
func RestrictOutcome(o decide.Outcome, r *Result) (decide.Outcome, error) {
	if r.Refuse || r.HasBody || len(r.Header)+len(r.Only)+len(r.Prefer) > 0 {
		return o, errors.New("of a reply it can only be said that it is no delivery, and a wait")
	}
	wait, err := waitOf(r)
	if err != nil {
		return o, err
	}
	if r.NotDelivered && o.Result == decide.Succeeded {
		o.Result, o.NoAnswerNeeded = decide.Errored, false
	}
	o.RetryAfter = max(o.RetryAfter, wait)
	return o, nil
}

func waitOf(r *Result) (time.Duration, error) {
	if !(r.WaitMS >= 0 && r.WaitMS <= float64(MaxWait/time.Millisecond)) { // not a number counts as well
		return 0, fmt.Errorf("a wait of %v ms; from 0 to %v", r.WaitMS, MaxWait)
	}
	return time.Duration(r.WaitMS * float64(time.Millisecond)), nil
}

// SanitizeLine makes one printable line of a text, cut to so many bytes.
func SanitizeLine(text string, most int) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError || r == 0x2028 || r == 0x2029 {
			return ' '
		}
		return r
	}, text)
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}

// EndpointSets bounds the sets of endpoints that messages for one destination are narrowed to: the decision module keeps those of
// one set apart from the others.
type EndpointSets map[int]map[string]bool

// Admit tells whether one more message may be narrowed so. It counts the set, and lets go of those that name an endpoint
// which is not listed any more: names come and go.
func (c EndpointSets) Admit(destination int, only []string, listed []Endpoint) bool {
	if len(only) == 0 {
		return true
	}
	key := strings.Join(slices.Sorted(slices.Values(only)), "\x00")
	sets := c[destination]
	if sets[key] {
		return true
	}
	if len(sets) >= MaxEndpointSets {
		maps.DeleteFunc(sets, func(key string, _ bool) bool {
			return slices.ContainsFunc(strings.Split(key, "\x00"), func(name string) bool {
				return !slices.ContainsFunc(listed, func(e Endpoint) bool { return e.Name == name })
			})
		})
	}
	if len(sets) >= MaxEndpointSets {
		return false
	}
	if sets == nil {
		sets = map[string]bool{}
		c[destination] = sets
	}
	sets[key] = true
	return true
}
