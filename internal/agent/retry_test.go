package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// failureModes are the ways in which a list call fails; a silent one times out.
var failureModes = map[string]func(r *http.Request, conn net.Conn){
	"refused": func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
	"refused late": func(_ *http.Request, conn net.Conn) {
		time.Sleep(2 * time.Second)
		fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	},
	"reset":              func(_ *http.Request, conn net.Conn) { conn.Close() },
	"truncated response": func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, okResponse(`{"index":41`)[:60]); conn.Close() },
	"malformed response": func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, okResponse(`{"index":`)) },
	"an older list": func(_ *http.Request, conn net.Conn) {
		fmt.Fprint(conn, okResponse(`{"index":3,"snapshot":false,"endpoints":[]}`))
	},
	"silent":              waitForClose,
	"silent after a part": func(r *http.Request, conn net.Conn) { fmt.Fprint(conn, okResponse(`{}`)[:20]); waitForClose(r, conn) },
}

func waitForClose(_ *http.Request, conn net.Conn) {
	var b [1]byte
	conn.Read(b[:])
	conn.Close()
}

// TestChangeAfterFailures checks that a change is in force within 6 s after discovery can be reached again. Calls fail in each way for some time before
// that, beginning with the first; the lists are pushed or requested, the fleets of each size, and the delays drawn high or low.
func TestChangeAfterFailures(t *testing.T) {
	for _, fleet := range []Fleet{{Forwarders: 1}, {Forwarders: 300}, {Forwarders: 1, MustSubscribe: true}, {Forwarders: 24, MustSubscribe: true}, {Forwarders: 80, MustSubscribe: true}, {Forwarders: 300, MustSubscribe: true}} {
		for name, fail := range failureModes {
			for _, draw := range []float64{1, 0.1} { // with a low draw the early retries are over sooner
				if !fleet.MustSubscribe && draw < 1 {
					continue // thousands of calls that test nothing more
				}
				t.Run(fmt.Sprintf("%d, subscribes: %v, %s, draw %v", fleet.Forwarders, fleet.MustSubscribe, name, draw), func(t *testing.T) {
					fleet.ResubscribeInterval, fleet.Random = 10*time.Second, func() float64 { return draw }
					for outage := 250 * time.Millisecond; outage <= 10*time.Second; outage += 1950 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) { testChangeAfterFailures(t, fleet, fail, outage) })
					}
				})
			}
		}
	}
}

// TestChangeAfterLongOutage checks the same after minutes, for fleets that discovery can answer in time.
func TestChangeAfterLongOutage(t *testing.T) {
	for _, fleet := range []Fleet{{Forwarders: 300}, {Forwarders: 24, MustSubscribe: true}} {
		for name, fail := range failureModes {
			for _, outage := range []time.Duration{3*time.Minute + 1700*time.Millisecond} {
				t.Run(fmt.Sprintf("%d, %s, %v", fleet.Forwarders, name, outage), func(t *testing.T) {
					fleet.Random = func() float64 { return 1 }
					synctest.Test(t, func(t *testing.T) { testChangeAfterFailures(t, fleet, fail, outage) })
				})
			}
		}
	}
}

// testChangeAfterFailures has all calls fail during an outage that begins with the first one, and checks when the change is in force.
func testChangeAfterFailures(t *testing.T, fleet Fleet, fail func(*http.Request, net.Conn), outage time.Duration) {
	const change = `{"index":42,"snapshot":true,"endpoints":[{"name":"a","group":3,"status":"DRAINING"}]}`
	var first time.Time
	p, stop := newScriptedPlatform(t, fleet, func(n int, r *http.Request, conn net.Conn) {
		if n == 1 {
			first = time.Now()
			conn.Close() // so that the calls below follow a failed one
			return
		}
		if time.Since(first) < outage {
			fail(r, conn)
			return
		}
		fmt.Fprint(conn, okResponse(change))
	})
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	p.Watch(ctx, &List{Index: 41}, func(*List) { cancel() })
	if late := time.Since(first) - outage; late > receiptLimit {
		t.Errorf("outage of %v: in force %v after discovery could be reached", outage, late)
	}
}

// TestIndentedLists checks that a watch reads a list with any white space between its tokens.
func TestIndentedLists(t *testing.T) {
	for _, text := range []string{
		"{\n  \"index\": 42,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\n      \"name\": \"a\",\n      \"group\": 3,\n      \"status\": \"DRAINING\"\n    }\n  ]\n}\n",
		"{\r\n\t\"index\" :42 ,\"snapshot\":false,\r\n\t\"endpoints\":[ {\"name\":\"a\" , \"group\":3,\n\"status\":\"DRAINING\"} ]\r\n}",
	} {
		synctest.Test(t, func(t *testing.T) {
			p, stop := newScriptedPlatform(t, Fleet{}, func(_ int, _ *http.Request, conn net.Conn) { fmt.Fprint(conn, okResponse(text)) })
			defer stop()
			ctx, cancel := context.WithCancel(t.Context())
			p.Watch(ctx, &List{Index: 41}, func(l *List) {
				if l.Index != 42 || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "a" || l.Endpoints[0].Status != Draining {
					t.Errorf("reported %+v", l)
				}
				cancel()
			})
		})
	}
}

// TestChangeAfterPromptRefusals guards against a back-off of up to 30 s in large fleets after refusals that cost discovery nothing: however many there were in
// a row from the first call on, a change is in force within 6 s after discovery answers.
func TestChangeAfterPromptRefusals(t *testing.T) {
	for _, forwarders := range []int{1, 24, 60, 80, 300, 900} {
		t.Run(fmt.Sprint(forwarders, " forwarders"), func(t *testing.T) {
			for refusals := 1; refusals <= 40; refusals++ {
				synctest.Test(t, func(t *testing.T) {
					fleet := Fleet{Forwarders: forwarders, MustSubscribe: true, ResubscribeInterval: 10 * time.Second, Random: func() float64 { return 1 }}
					var reachable time.Time
					p, stop := newScriptedPlatform(t, fleet, func(n int, r *http.Request, conn net.Conn) {
						if n <= refusals {
							reachable = time.Now()
							failureModes["refused"](r, conn)
							return
						}
						fmt.Fprint(conn, okResponse(`{"index":42,"snapshot":true,"endpoints":[]}`))
					})
					defer stop()
					if late := watchUntilChange(t, p, &List{Index: 41}).Sub(reachable); late > receiptLimit {
						t.Errorf("%d refusals: in force %v after discovery could be reached", refusals, late)
					}
				})
			}
		})
	}
}
