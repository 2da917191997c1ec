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

// MaxWait bounds the retry-after time or delay that a plug-in may request.
const MaxWait = 5 * time.Minute

// Draft is a message that passes through the plug-ins at intake, in their order. Each plug-in sees the changes of those before
// it. Conflicts are resolved as follows: the first refusal is final; a message is sent only to endpoints that all plug-ins
// permit; endpoints preferred by an earlier plug-in come first; a later body or header field replaces an earlier one.
type Draft struct {
	Endpoints []Endpoint // active endpoints of the message's destination
	Body      []byte
	Header    []message.Field
	Only      []string
	Prefer    []string

	Refused bool
	Reason  string
	Wait    time.Duration // with Refused: retry-after time; 0 if the client must not retry
}

// Apply applies the result of one plug-in completely or, if it breaks a rule, not at all; the error names the rule. output
// limits the size of the body in bytes.
func (d *Draft) Apply(r *Result, output int) error {
	if r.NotDelivered {
		return errors.New("only a reply can be told to be no delivery")
	}
	if r.Refuse {
		wait, err := parseWait(r)
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
	only, err := d.intersectOnly(r.Only)
	if err != nil {
		return err
	}
	if err := d.checkEndpointNames("prefer", r.Prefer); err != nil {
		return err
	}
	header := mergeHeader(d.Header, r.Header)
	if len(header) > 2*MaxHeaderFields {
		return fmt.Errorf("%d header fields of all plug-ins together; at most %d", len(header), 2*MaxHeaderFields)
	}
	if len(r.Only) > 0 {
		d.Only = only
	}
	for _, name := range r.Prefer {
		if !slices.Contains(d.Prefer, name) && len(d.Prefer) < MaxNamedEndpoints { // those of an earlier plug-in come first
			d.Prefer = append(d.Prefer, name)
		}
	}
	d.Header = header
	if r.HasBody {
		d.Body = r.Body
	}
	return nil
}

// checkEndpointNames returns an error if a name is not one of the message's endpoints. what is the field that holds the names.
func (d *Draft) checkEndpointNames(what string, names []string) error {
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

// intersectOnly returns the endpoints of only that earlier plug-ins permit too.
func (d *Draft) intersectOnly(only []string) ([]string, error) {
	if err := d.checkEndpointNames("only", only); err != nil || len(only) == 0 {
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

// checkContent checks the limits on the body and on the header fields that a plug-in has set.
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

// reservedFields are the header fields that the forwarder writes itself or that delimit a message.
var reservedFields = []string{"host", "user-agent", "content-length", "transfer-encoding", "connection", "keep-alive", "proxy-connection",
	"te", "trailer", "upgrade", "expect"}

// checkField rejects a header field that could change the id, deadline, destination or length of a message, or inject another
// field or message.
func checkField(f message.Field) error {
	lower := strings.ToLower(f.Name)
	switch {
	case f.Name == "" || len(f.Name) > MaxFieldName || strings.ContainsFunc(f.Name, notToken):
		return fmt.Errorf("%.64q is no name of a header field: letters, digits and - _ . of %d bytes at most", f.Name, MaxFieldName)
	case slices.Contains(reservedFields, lower) || strings.HasPrefix(lower, "req-"):
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

// mergeHeader returns header with the fields of more, which replace those of the same name or are appended.
func mergeHeader(header, more []message.Field) []message.Field {
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

// Apply applies what a plug-in sets for one attempt completely or, if it breaks a rule, not at all.
func (c *Content) Apply(r *Result, output int) error {
	if r.Refuse || r.NotDelivered || r.WaitMS != 0 || len(r.Only)+len(r.Prefer) > 0 {
		return errors.New("before a call, body and header alone can be set")
	}
	if err := checkContent(r, output); err != nil {
		return err
	}
	if header := mergeHeader(c.Header, r.Header); len(header) > 2*MaxHeaderFields {
		return fmt.Errorf("%d header fields of all plug-ins together; at most %d", len(header), 2*MaxHeaderFields)
	} else if len(r.Header) > 0 {
		c.Header = header
	}
	if r.HasBody {
		c.Body = r.Body
	}
	return nil
}

// RestrictOutcome downgrades an outcome as a plug-in requests: it may turn a success into an error and extend the retry-after time.
// It never turns an attempt that the endpoint may have processed into one that was not sent, and never shortens a retry-after.
func RestrictOutcome(o decide.Outcome, r *Result) (decide.Outcome, error) {
	if r.Refuse || r.HasBody || len(r.Header)+len(r.Only)+len(r.Prefer) > 0 {
		return o, errors.New("of a reply it can only be said that it is no delivery, and a wait")
	}
	wait, err := parseWait(r)
	if err != nil {
		return o, err
	}
	if r.NotDelivered && o.Result == decide.Succeeded {
		o.Result, o.NoAnswerNeeded = decide.Errored, false
	}
	o.RetryAfter = max(o.RetryAfter, wait)
	return o, nil
}

func parseWait(r *Result) (time.Duration, error) {
	if !(r.WaitMS >= 0 && r.WaitMS <= float64(MaxWait/time.Millisecond)) { // negated so that NaN is rejected too
		return 0, fmt.Errorf("a wait of %v ms; from 0 to %v", r.WaitMS, MaxWait)
	}
	return time.Duration(r.WaitMS * float64(time.Millisecond)), nil
}

// SanitizeLine replaces control characters, line separators and invalid UTF-8 by spaces, and cuts the text to limit bytes at a
// character boundary.
func SanitizeLine(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError || r == 0x2028 || r == 0x2029 {
			return ' '
		}
		return r
	}, text)
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// EndpointSets bounds the distinct sets of endpoints to which the messages for one destination are restricted: the decision
// module keeps a separate group for each set.
type EndpointSets map[int]map[string]bool

// Admit reports whether a message may be restricted to the endpoints of only, and records the set. When the limit is reached it
// first forgets the sets that name an endpoint which is no longer listed, since endpoints come and go.
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
