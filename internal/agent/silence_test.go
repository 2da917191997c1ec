package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"scaleroute/internal/engine"
)

// newScriptedPlatform returns a Platform whose discovery answers each connection with bytes that answer writes; n is the number of the request. stop ends
// it.
func newScriptedPlatform(t *testing.T, fleet Fleet, answer func(n int, r *http.Request, conn net.Conn)) (p *Platform, stop func()) {
	t.Helper()
	network := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	var calls atomic.Int32
	var answering sync.WaitGroup
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			answering.Go(func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					answer(int(calls.Add(1)), r, conn)
				}
			})
		}
	}()
	p = New("discovery:1", fleet)
	p.dialContext = network.dial
	p.client.httpClient.Transport.(*http.Transport).DialContext = network.dial
	logs := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	return p, func() {
		slog.SetDefault(logs)
		close(network.closed)
		p.client.httpClient.CloseIdleConnections()
		answering.Wait() // also calls that were given up
	}
}

// okResponse returns an HTTP response with status 200 and the given body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestSilentWatch guards against a watch that hangs on a dead connection. The watch falls silent after each byte of its response, at the beginning and at
// the end of its hold time. The missed change is in force before it counts as received: after 6 s, or, where discovery works on each request and
// a call may be held for longer, 2 s after the end of the hold time. That takes one more call.
func TestSilentWatch(t *testing.T) {
	const change = `{"index":42,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DRAINING"}]}`
	text := okResponse(change)
	for name, fleet := range map[string]Fleet{"pushed": {Forwarders: 300}, "requested": {Forwarders: 300, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}} {
		for cut := 0; cut < len(text); cut++ {
			for _, at := range []float64{0, 1} { // of the hold time
				synctest.Test(t, func(t *testing.T) {
					fleet.Random = func() float64 { return 1 }
					var silent, wait time.Duration
					began := time.Now()
					var calls atomic.Int32 // calls overlap
					p, stop := newScriptedPlatform(t, fleet, func(n int, r *http.Request, conn net.Conn) {
						calls.Store(int32(n))
						if n > 1 {
							conn.Write([]byte(text))
							return
						}
						var ms int
						fmt.Sscan(r.URL.Query().Get("hold_ms"), &ms)
						wait = time.Duration(ms) * time.Millisecond
						silent = time.Since(began)
						time.Sleep(time.Duration(at * float64(wait)))
						conn.Write([]byte(text[:cut]))
						var b [1]byte
						conn.Read(b[:]) // until the client closes the connection
						conn.Close()
					})
					ctx, cancel := context.WithCancel(t.Context())
					p.Watch(ctx, &List{Index: 41}, func(l *List) {
						if l.Index != 42 {
							t.Errorf("reported %+v", l)
						}
						cancel()
					})
					took := time.Since(began)
					stop()
					late := took - silent - 6*time.Second
					if fleet.MustSubscribe { // discovery works on each call: as late as the standing test allows
						late = took - silent - max(6*time.Second, wait+2*time.Second)
					}
					if late > 0 {
						t.Errorf("%s, silent after byte %d: in force %v after it counts as received", name, cut, late)
					}
					if n := calls.Load(); n != 2 {
						t.Errorf("%s, silent after byte %d: %d calls", name, cut, n)
					}
				})
			}
		}
	}
}

// TestSilentNotice guards against a notice that waits on a dead connection. The connection falls silent after each byte of the response; the notice reaches
// the platform before it is 300 ms late, whatever delays are drawn. An agent that answers no call for 10 s is called no more than about once a second
// in the end.
func TestSilentNotice(t *testing.T) {
	const text = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, draw := range []float64{0, 1} {
		for cut := range len(text) {
			synctest.Test(t, func(t *testing.T) {
				p, stop := newScriptedPlatform(t, Fleet{Random: func() float64 { return draw }}, func(n int, r *http.Request, conn net.Conn) {
					io.Copy(io.Discard, r.Body)
					if n != 2 {
						conn.Write([]byte(text))
						return
					}
					conn.Write([]byte(text[:cut]))
					var b [1]byte
					conn.Read(b[:])
					conn.Close()
				})
				ctx, cancel := context.WithCancel(t.Context())
				arrived := make(chan []string)
				go p.DeliverNotices(ctx, func(refs []string) { arrived <- refs })
				for _, id := range []string{"first", "second"} {
					due := time.Now()
					p.NotifyCompletion(engine.Completion{ID: id})
					if <-arrived; time.Since(due) > 250*time.Millisecond {
						t.Errorf("cut at %d: %s arrived after %v", cut, id, time.Since(due))
					}
				}
				cancel()
				stop()
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		p, stop := newScriptedPlatform(t, Fleet{Random: func() float64 { return 0 }}, func(n int, r *http.Request, conn net.Conn) {
			calls.Add(1)
			var b [1]byte
			conn.Read(b[:])
			conn.Close()
		})
		ctx, cancel := context.WithCancel(t.Context())
		p.NotifyCompletion(engine.Completion{ID: "m"})
		go p.DeliverNotices(ctx, func([]string) { t.Error("arrived") })
		time.Sleep(10 * time.Second)
		if n := calls.Load(); n < 10 || n > 13 {
			t.Errorf("%d calls in 10 s", n)
		}
		cancel()
		stop()
	})
}

// TestLocalAgentOutage checks that, however long the machine's own agent refuses connections or answers with errors, its list is in force soon after its
// return: a change that the agent has counts as received at once. Only where discovery works on each call does the back-off keep growing.
func TestLocalAgentOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 8 * time.Second, 10 * time.Minute} {
		for _, known := range []*List{nil, {Index: 41}} {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				p, stop := newScriptedPlatform(t, Fleet{Forwarders: 300, Random: func() float64 { return 1 }}, func(n int, r *http.Request, conn net.Conn) {
					if time.Since(began) < outage {
						fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
						return
					}
					conn.Write([]byte(okResponse(`{"index":42,"snapshot":true,"endpoints":[]}`)))
				})
				ctx, cancel := context.WithCancel(t.Context())
				p.Watch(ctx, known, func(*List) { cancel() })
				if late := time.Since(began) - outage; late > 250*time.Millisecond {
					t.Errorf("outage of %v: in force %v after its end", outage, late)
				}
				stop()
			})
		}
	}
}

// TestOlderLists checks that a list older than the one in force is not reported, since a draining endpoint would be called again. If discovery returns the
// older index once more when the snapshot is requested, its numbering has restarted, and the snapshot is accepted. Each case is a sequence of responses,
// the versions that are requested, and those that are reported.
func TestOlderLists(t *testing.T) {
	change := func(n int) string { return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, n) }
	snapshot := func(n int) string { return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, n) }
	for name, c := range map[string]struct {
		responses []string
		requested string // the versions after which changes are requested; * is the snapshot
		reported  string
	}{
		"in order":                         {[]string{snapshot(41), change(42), change(42), change(50)}, "* 41 42 42", "41 42 42 50"},
		"an old change":                    {[]string{snapshot(41), change(40), snapshot(43)}, "* 41 *", "41 43"},
		"an old snapshot":                  {[]string{snapshot(41), snapshot(40), snapshot(42)}, "* 41 *", "41 42"},
		"two old ones that differ":         {[]string{snapshot(41), snapshot(40), snapshot(39), snapshot(43)}, "* 41 * *", "41 43"},
		"numbering restarts":               {[]string{snapshot(41), snapshot(3), snapshot(3), change(4)}, "* 41 * 3", "41 3 4"},
		"numbering restarts with a change": {[]string{snapshot(41), change(3), snapshot(3), snapshot(3), change(4)}, "* 41 * * 3", "41 3 4"},
		"old once, then the same":          {[]string{snapshot(41), change(3), snapshot(41), change(42)}, "* 41 * 41", "41 41 42"},
		"no index, then the next change":   {[]string{snapshot(41), `{"snapshot":true,"endpoints":[]}`, change(42)}, "* 41 41", "41 42"},
		"without content, at the start":    {[]string{`{}`, `{"index":5}`, `null`, `[]`, snapshot(6)}, "* * * * *", "6"},
		"a snapshot without endpoints":     {[]string{snapshot(41), `{"index":42,"snapshot":true}`, change(43)}, "* 41 41", "41 43"},
		"a change without endpoints":       {[]string{snapshot(41), `{"index":42}`, change(43)}, "* 41 42", "41 42 43"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requested, reported []string
				ctx, cancel := context.WithCancel(t.Context())
				p, stop := newScriptedPlatform(t, Fleet{}, func(n int, r *http.Request, conn net.Conn) {
					if n > len(c.responses) {
						cancel()
						return
					}
					from := r.URL.Query().Get("from")
					if from == "" {
						from = "*"
					}
					requested = append(requested, from)
					conn.Write([]byte(okResponse(c.responses[n-1])))
				})
				p.Watch(ctx, nil, func(l *List) { reported = append(reported, fmt.Sprint(l.Index)) })
				if got := strings.Join(requested, " "); got != c.requested {
					t.Errorf("requested %s, want %s", got, c.requested)
				}
				if got := strings.Join(reported, " "); got != c.reported {
					t.Errorf("reported %s, want %s", got, c.reported)
				}
				stop()
			})
		})
	}
}

// TestInvalidEntriesAreSkipped checks that an invalid entry is skipped and the others count. A draining or deleted endpoint needs a valid name only.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	const good = `{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}`
	for entry, kept := range map[string]bool{
		good: true,
		`{"name":"b","address":"127.0.0.1:1","group":3}`:                                       true, // without a status it serves
		`{"name":"b","status":"DRAINING"}`:                                                     true,
		`{"name":"b","status":"DELETED","address":"nowhere","group":-1,"weight":-1}`:           true,
		`{"name":"","address":"127.0.0.1:1","group":3,"status":"SERVING"}`:                     false,
		`{"address":"127.0.0.1:1","group":3,"status":"DRAINING"}`:                              false,
		`{"name":"b","address":"","group":3,"status":"SERVING"}`:                               false,
		`{"name":"b","address":"127.0.0.1","group":3,"status":"SERVING"}`:                      false,
		`{"name":"b","address":"127.0.0.1:","group":3,"status":"SERVING"}`:                     false,
		`{"name":"b","address":"127.0.0.1:1","group":-3,"status":"SERVING"}`:                   false,
		`{"name":"b","address":"127.0.0.1:1","group":3,"status":"serving"}`:                    false,
		`{"name":"b","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":-1}`:        false,
		`{"name":"b","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":1e300}`:     false,
		`{"name":"b","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":0,"new":1}`: true,
	} {
		l, err := readList(strings.NewReader(`{"index":7,"snapshot":true,"endpoints":[`+good+","+entry+`]}`), false)
		if err != nil || len(l.Endpoints) != map[bool]int{true: 2, false: 1}[kept] || l.Endpoints[0].Name != "a" {
			t.Errorf("%s: %+v, %v", entry, l, err)
		}
	}
}

// FuzzList checks that any text is either rejected with an error, or read as a list whose entries are all valid.
func FuzzList(f *testing.F) {
	f.Add(`{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}]}`, true)
	f.Add(`{"index":-1,"endpoints":null}`, false)
	f.Add("{\n  \"index\": 9,\n  \"endpoints\": [ {\"name\":\"a\",\"status\":\"DELETED\"} ]\n}", false)
	f.Add(`{"index":9223372036854775808}`, true)
	f.Fuzz(func(t *testing.T, text string, all bool) {
		logs := slog.Default()
		slog.SetDefault(slog.New(slog.DiscardHandler))
		defer slog.SetDefault(logs)
		l, err := readList(strings.NewReader(text), all)
		if (l == nil) != (err != nil) {
			t.Fatalf("%+v, %v", l, err)
		}
		if err != nil {
			return
		}
		if l.Index < 0 || all && !l.Snapshot {
			t.Errorf("%+v", l)
		}
		for _, e := range l.Endpoints {
			if err := e.Validate(); err != nil {
				t.Errorf("%+v: %v", e, err)
			}
		}
	})
}
