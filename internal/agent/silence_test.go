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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"scaleroute/internal/engine"
)

// answering is a discovery of one agent whose answer to each call is written byte by byte by a test.
func answering(t *testing.T, fleet Fleet, answer func(n int, r *http.Request, conn net.Conn)) (p *Platform, over func()) {
	t.Helper()
	network := &memory{conns: make(chan net.Conn), over: make(chan struct{})}
	var calls atomic.Int32
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					answer(int(calls.Add(1)), r, conn)
				}
			}()
		}
	}()
	p = New("discovery:1", fleet)
	p.agent.client.Transport.(*http.Transport).DialContext = network.dial
	logs := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	return p, func() {
		slog.SetDefault(logs)
		close(network.over)
		p.agent.client.CloseIdleConnections()
	}
}

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestSilentWatch: a watch falls silent behind each byte of its answer, the first moment or the last; what it missed is in force before it counts
// as told: 6 s after that, or, where asking is work for discovery and a call waits for longer, 2 s after the end of that wait. It takes one call more.
func TestSilentWatch(t *testing.T) {
	const news = `{"index":42,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DRAINING"}]}`
	text := whole(news)
	for name, fleet := range map[string]Fleet{"pushed": {Forwarders: 300}, "asked for": {Forwarders: 300, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}} {
		for cut := 0; cut < len(text); cut++ {
			for _, at := range []float64{0, 1} { // of the time that the call may wait
				synctest.Test(t, func(t *testing.T) {
					fleet.Random = func() float64 { return 1 }
					var silent, wait time.Duration
					began, calls := time.Now(), 0
					p, over := answering(t, fleet, func(n int, r *http.Request, conn net.Conn) {
						if calls = n; n > 1 {
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
						conn.Read(b[:]) // until it is given up
						conn.Close()
					})
					ctx, cancel := context.WithCancel(t.Context())
					p.Watch(ctx, &List{Index: 41}, func(l *List) {
						if l.Index != 42 {
							t.Errorf("told %+v", l)
						}
						cancel()
					})
					late := time.Since(began) - silent - 6*time.Second
					if fleet.MustSubscribe { // each call is work there: as long as the page lets it
						late = time.Since(began) - silent - max(6*time.Second, wait+2*time.Second)
					}
					if late > 0 {
						t.Errorf("%s, silent behind byte %d: in force %v after it counts as told", name, cut, late)
					}
					if calls != 2 {
						t.Errorf("%s, silent behind byte %d: %d calls", name, cut, calls)
					}
					over()
				})
			}
		}
	}
}

// TestSilentNotice: the connection by which a notice goes has fallen silent, behind each byte of the answer. The notice is at the platform before it is 300 ms
// late, whatever the draw of the pauses. An agent that answers nobody for 10 s is asked no more often than each second in the end.
func TestSilentNotice(t *testing.T) {
	const text = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, draw := range []float64{0, 1} {
		for cut := range len(text) {
			synctest.Test(t, func(t *testing.T) {
				p, over := answering(t, Fleet{Random: func() float64 { return draw }}, func(n int, r *http.Request, conn net.Conn) {
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
				over()
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		p, over := answering(t, Fleet{Random: func() float64 { return 0 }}, func(n int, r *http.Request, conn net.Conn) {
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
		over()
	})
}

// TestAgentAway: however long one's own agent refuses connections or answers badly, what it has once it is back is in force soon after: it counts as
// told at once. Where asking is work for discovery, the waits have grown.
func TestAgentAway(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 8 * time.Second, 10 * time.Minute} {
		for _, known := range []*List{nil, {Index: 41}} {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				p, over := answering(t, Fleet{Forwarders: 300, Random: func() float64 { return 1 }}, func(n int, r *http.Request, conn net.Conn) {
					if time.Since(began) < away {
						fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
						return
					}
					conn.Write([]byte(whole(`{"index":42,"snapshot":true,"endpoints":[]}`)))
				})
				ctx, cancel := context.WithCancel(t.Context())
				p.Watch(ctx, known, func(*List) { cancel() })
				if late := time.Since(began) - away; late > 250*time.Millisecond {
					t.Errorf("away for %v: in force %v after its return", away, late)
				}
				over()
			})
		}
	}
}

// TestOlderLists: a list that is older than the one in force is not told: a target that drains would serve again. Where discovery says so once more when it
// is asked for all that there is, it counts anew. Each case is a run of answers, and of the versions that are told.
func TestOlderLists(t *testing.T) {
	change := func(n int) string { return fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, n) }
	all := func(n int) string { return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, n) }
	for name, c := range map[string]struct {
		answers []string
		asked   string // from which versions; * is the whole list
		told    string
	}{
		"in order":                      {[]string{all(41), change(42), change(42), change(50)}, "* 41 42 42", "41 42 42 50"},
		"an old change":                 {[]string{all(41), change(40), all(43)}, "* 41 *", "41 43"},
		"an old whole list":             {[]string{all(41), all(40), all(42)}, "* 41 *", "41 42"},
		"two old ones that differ":      {[]string{all(41), all(40), all(39), all(43)}, "* 41 * *", "41 43"},
		"discovery counts anew":         {[]string{all(41), all(3), all(3), change(4)}, "* 41 * 3", "41 3 4"},
		"it counts anew, by a change":   {[]string{all(41), change(3), all(3), all(3), change(4)}, "* 41 * * 3", "41 3 4"},
		"once old, then as it was":      {[]string{all(41), change(3), all(41), change(42)}, "* 41 * 41", "41 41 42"},
		"no index, then as it was":      {[]string{all(41), `{"snapshot":true,"endpoints":[]}`, change(42)}, "* 41 41", "41 42"},
		"nothing in it, at the start":   {[]string{`{}`, `{"index":5}`, `null`, `[]`, all(6)}, "* * * * *", "6"},
		"a whole list without the list": {[]string{all(41), `{"index":42,"snapshot":true}`, change(43)}, "* 41 41", "41 43"},
		"a change without entries":      {[]string{all(41), `{"index":42}`, change(43)}, "* 41 42", "41 42 43"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked, told []string
				ctx, cancel := context.WithCancel(t.Context())
				p, over := answering(t, Fleet{}, func(n int, r *http.Request, conn net.Conn) {
					if n > len(c.answers) {
						cancel()
						return
					}
					from := r.URL.Query().Get("from")
					if from == "" {
						from = "*"
					}
					asked = append(asked, from)
					conn.Write([]byte(whole(c.answers[n-1])))
				})
				p.Watch(ctx, nil, func(l *List) { told = append(told, fmt.Sprint(l.Index)) })
				if got := strings.Join(asked, " "); got != c.asked {
					t.Errorf("asked from %s, want %s", got, c.asked)
				}
				if got := strings.Join(told, " "); got != c.told {
					t.Errorf("told %s, want %s", got, c.told)
				}
				over()
			})
		})
	}
}

// TestBadEntries: an entry that can't be right is left out, and the others count. One that is to get nothing new needs its name alone.
func TestBadEntries(t *testing.T) {
	const good = `{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}`
	for entry, kept := range map[string]bool{
		good: true,
		`{"name":"b","address":"127.0.0.1:1","group":3}`:                                       true, // as ever: it serves
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

// FuzzList: whatever comes, a list is refused or can be right, and nothing else happens.
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
