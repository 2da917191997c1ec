package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// recordingSink records the calls of its methods.
type recordingSink struct {
	calls   strings.Builder
	commits int
	stopAt  int
	stop    context.CancelFunc
}

func (s *recordingSink) Begin(index int64, snapshot bool) error {
	fmt.Fprintf(&s.calls, "[%d %t", index, snapshot)
	if index == 99 {
		return errors.New("rejected")
	}
	return nil
}

func (s *recordingSink) Put(e Endpoint, malformed error) {
	fmt.Fprintf(&s.calls, " %s", e.Name)
	if malformed != nil {
		s.calls.WriteString("!")
	}
}

func (s *recordingSink) Commit() {
	s.calls.WriteString("]")
	if s.commits++; s.commits == s.stopAt {
		s.stop()
	}
}

// TestStream checks that lists are passed on as they are read, whatever the order of their fields: an entry with a wrong type is marked, a truncated list
// is begun and not committed, and an older one is not begun until discovery returns it twice.
func TestStream(t *testing.T) {
	for name, c := range map[string]struct {
		answers []string
		want    string
	}{
		"snapshot, then changes":    {[]string{`{"index":4,"snapshot":true,"endpoints":[{"name":"a"},{"name":"b"}]}`, `{"index":5,"snapshot":false,"endpoints":[{"name":"c"}]}`}, "[4 true a b][5 false c]"},
		"fields in another order":   {[]string{`{"endpoints":[{"name":"a"}],"more":{"x":[1]},"snapshot":true,"index":4}`, `{"index":5,"endpoints":[{"name":"c"}]}`}, "[4 true a][5 false c]"},
		"a wrong type":              {[]string{`{"index":4,"snapshot":true,"endpoints":[{"group":"x","name":"a"},{"name":"b"}]}`}, "[4 true a! b]"},
		"truncated":                 {[]string{`{"index":4,"snapshot":true,"endpoints":[{"name":"a"},{"na`, `{"index":4,"snapshot":true,"endpoints":[{"name":"a"}]}`}, "[4 true a[4 true a]"},
		"no list":                   {[]string{`[]`, `{"index":4}`, `{"endpoints":[]}`, `{"index":-1,"endpoints":[]}`, `{"index":4,"endpoints":{}}`, `{"index":4,"endpoints":null}`, `{"index":4,"endpoints":[]}`}, "[4 true]"},
		"older, and once more":      {[]string{`{"index":4,"endpoints":[]}`, `{"index":3,"snapshot":true,"endpoints":[{"name":"a"}]}`, `{"index":3,"snapshot":true,"endpoints":[{"name":"b"}]}`}, "[4 true][3 true b]"},
		"older, then the same":      {[]string{`{"index":4,"endpoints":[]}`, `{"index":3,"snapshot":false,"endpoints":[{"name":"a"}]}`, `{"index":4,"endpoints":[{"name":"b"}]}`}, "[4 true][4 true b]"},
		"rejected by the sink":      {[]string{`{"index":99,"endpoints":[{"name":"a"}]}`, `{"index":4,"endpoints":[]}`}, "[99 true[4 true]"},
		"too large":                 {[]string{`{"index":4,"endpoints":[{"name":"` + strings.Repeat("x", 5000) + `"}]}`, `{"index":5,"endpoints":[]}`}, "[4 true[5 true]"},
		"a change without endpoint": {[]string{`{"index":4,"endpoints":[]}`, `{"index":5,"snapshot":false}`}, "[4 true][5 false]"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				sink := &recordingSink{stopAt: strings.Count(c.want, "]"), stop: cancel}
				p, stop := newScriptedPlatform(t, Fleet{}, func(n int, r *http.Request, conn net.Conn) { conn.Write([]byte(okResponse(c.answers[n-1]))) })
				p.Stream(ctx, -1, StreamLimits{MaxBytes: 4096, FirstByteTimeout: time.Second, IdleTimeout: time.Second}, sink)
				if got := sink.calls.String(); got != c.want {
					t.Errorf("passed on %s, want %s", got, c.want)
				}
				stop()
			})
		})
	}
}

// TestStreamIdleTimeout checks that a list that keeps arriving slowly is read to its end, and that one that falls silent is requested again.
func TestStreamIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sink := &recordingSink{stopAt: 1, stop: cancel}
		text := okResponse(`{"index":4,"endpoints":[{"name":"a"}]}`)
		p, stop := newScriptedPlatform(t, Fleet{}, func(n int, r *http.Request, conn net.Conn) {
			for i := range text {
				if _, err := conn.Write([]byte(text[i : i+1])); err != nil {
					return
				}
				if time.Sleep(900 * time.Millisecond); n == 1 && i == len(text)-3 {
					time.Sleep(2 * time.Second)
				}
			}
		})
		p.Stream(ctx, -1, StreamLimits{MaxBytes: 4096, FirstByteTimeout: time.Minute * 2, IdleTimeout: time.Second}, sink)
		if got := sink.calls.String(); got != "[4 true a[4 true a]" {
			t.Errorf("passed on %s", got)
		}
		time.Sleep(10 * time.Second) // until the goroutine that still writes has noticed
		stop()
	})
}

// discardSink counts entries and discards them.
type discardSink struct{ entries int }

func (s *discardSink) Begin(int64, bool) error { return nil }
func (s *discardSink) Put(Endpoint, error)     { s.entries++ }
func (s *discardSink) Commit()                 {}

func BenchmarkReadStream(b *testing.B) {
	var text strings.Builder
	text.WriteString(`{"index":1,"snapshot":true,"endpoints":[`)
	const entries = 200_000
	for i := range entries {
		fmt.Fprintf(&text, `{"name":"endpoint-%07d","address":"10.0.%d.%d:8080","zone":"zone-%02d","type":"std","group":%d,"status":"SERVING","weight":1.5,"since_ms":0}`, i, i>>8&255, i&255, i%13, i)
		if i < entries-1 {
			text.WriteByte(',')
		}
	}
	text.WriteString("]}")
	for b.Loop() {
		sink := &discardSink{}
		r := &listReader{wholeRequested: true, accept: func(int64, bool) error { return nil }, sink: sink}
		if err := r.read(jsontext.NewDecoder(strings.NewReader(text.String()), streamOptions)); err != nil || sink.entries != entries {
			b.Fatal(err, sink.entries)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/entries, "us/entry")
}
