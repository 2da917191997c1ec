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

// failures are the ways in which a list call fails; silence has the call given up.
var failures = map[string]func(r *http.Request, conn net.Conn){
	"refused": func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
	"refused late": func(_ *http.Request, conn net.Conn) {
		time.Sleep(2 * time.Second)
		fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	},
	"reset":         func(_ *http.Request, conn net.Conn) { conn.Close() },
	"cut answer":    func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, whole(`{"index":41`)[:60]); conn.Close() },
	"spoilt answer": func(_ *http.Request, conn net.Conn) { fmt.Fprint(conn, whole(`{"index":`)) },
	"an older list": func(_ *http.Request, conn net.Conn) {
		fmt.Fprint(conn, whole(`{"index":3,"snapshot":false,"endpoints":[]}`))
	},
	"silent":         waitForClose,
	"silent in part": func(r *http.Request, conn net.Conn) { fmt.Fprint(conn, whole(`{}`)[:20]); waitForClose(r, conn) },
}

func waitForClose(_ *http.Request, conn net.Conn) {
	var b [1]byte
	conn.Read(b[:])
	conn.Close()
}

// TestChangeAfterFailures: calls fail in each way for some time, beginning with the first; then discovery can be reached and has a change. It is in force within
// 6 s of that, whatever the draw of the pauses, for lists that are pushed and for those that are asked for, by fleets of each size.
func TestChangeAfterFailures(t *testing.T) {
	for _, fleet := range []Fleet{{Forwarders: 1}, {Forwarders: 300}, {Forwarders: 1, MustSubscribe: true}, {Forwarders: 24, MustSubscribe: true}, {Forwarders: 80, MustSubscribe: true}, {Forwarders: 300, MustSubscribe: true}} {
		for name, fail := range failures {
			for _, draw := range []float64{1, 0.1} { // a small one uses up sooner what is retried soon
				if !fleet.MustSubscribe && draw < 1 {
					continue // thousands of calls that show nothing more
				}
				t.Run(fmt.Sprintf("%d, asks: %v, %s, draw %v", fleet.Forwarders, fleet.MustSubscribe, name, draw), func(t *testing.T) {
					fleet.ResubscribeInterval, fleet.Random = 10*time.Second, func() float64 { return draw }
					for away := 250 * time.Millisecond; away <= 10*time.Second; away += 1950 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) { changeAfterFailures(t, fleet, fail, away) })
					}
				})
			}
		}
	}
}

// TestChangeAfterLongFailures: the same after minutes, for a fleet that can be answered in time.
func TestChangeAfterLongFailures(t *testing.T) {
	for _, fleet := range []Fleet{{Forwarders: 300}, {Forwarders: 24, MustSubscribe: true}} {
		for name, fail := range failures {
			for _, away := range []time.Duration{3*time.Minute + 1700*time.Millisecond} {
				t.Run(fmt.Sprintf("%d, %s, %v", fleet.Forwarders, name, away), func(t *testing.T) {
					fleet.Random = func() float64 { return 1 }
					synctest.Test(t, func(t *testing.T) { changeAfterFailures(t, fleet, fail, away) })
				})
			}
		}
	}
}

// changeAfterFailures has calls fail that come within so long after the first one, and checks when the change is in force.
func changeAfterFailures(t *testing.T, fleet Fleet, fail func(*http.Request, net.Conn), away time.Duration) {
	const change = `{"index":42,"snapshot":true,"endpoints":[{"name":"a","group":3,"status":"DRAINING"}]}`
	var first time.Time
	p, over := answering(t, fleet, func(n int, r *http.Request, conn net.Conn) {
		if n == 1 {
			first = time.Now()
			conn.Close() // it fails: what follows comes after a failed call
			return
		}
		if time.Since(first) < away {
			fail(r, conn)
			return
		}
		fmt.Fprint(conn, whole(change))
	})
	defer over()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	p.Watch(ctx, &List{Index: 41}, func(*List) { cancel() })
	if late := time.Since(first) - away; late > silentTold {
		t.Errorf("away for %v: in force %v after discovery could be reached", away, late)
	}
}

// TestIndentedLists: a list that is indented, whole or in part, is the same list, also through the watch.
func TestIndentedLists(t *testing.T) {
	for _, text := range []string{
		"{\n  \"index\": 42,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\n      \"name\": \"a\",\n      \"group\": 3,\n      \"status\": \"DRAINING\"\n    }\n  ]\n}\n",
		"{\r\n\t\"index\" :42 ,\"snapshot\":false,\r\n\t\"endpoints\":[ {\"name\":\"a\" , \"group\":3,\n\"status\":\"DRAINING\"} ]\r\n}",
	} {
		synctest.Test(t, func(t *testing.T) {
			p, over := answering(t, Fleet{}, func(_ int, _ *http.Request, conn net.Conn) { fmt.Fprint(conn, whole(text)) })
			defer over()
			ctx, cancel := context.WithCancel(t.Context())
			p.Watch(ctx, &List{Index: 41}, func(l *List) {
				if l.Index != 42 || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "a" || l.Endpoints[0].Status != Draining {
					t.Errorf("told %+v", l)
				}
				cancel()
			})
		})
	}
}
