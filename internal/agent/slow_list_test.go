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

// slowDiscovery answers list calls late. An answer has what was known when its call arrived, or when its hold ended. Version 42 is known from changeAt on,
// and before that there is version 41.
type slowDiscovery struct {
	latency  time.Duration
	changeAt time.Time
}

func (d *slowDiscovery) answer(_ int, r *http.Request, conn net.Conn) {
	var held int
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &held)
	if until := time.Until(d.changeAt); r.URL.Query().Get("from") == "41" && until > 0 {
		time.Sleep(min(until, time.Duration(held)*time.Millisecond))
	}
	index := 41
	if !time.Now().Before(d.changeAt) {
		index = 42
	}
	time.Sleep(d.latency)
	fmt.Fprint(conn, okResponse(fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[]}`, index, !r.URL.Query().Has("from"))))
}

var answerTimes = []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2100 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second}

// watchUntilChange watches a list until version 42 is reported, and returns when that was.
func watchUntilChange(t *testing.T, p *Platform, known *List) time.Time {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	var reported time.Time
	p.Watch(ctx, known, func(l *List) {
		if l.Index == 42 {
			reported = time.Now()
			cancel()
		}
	})
	if reported.IsZero() {
		t.Error("the change was not reported within ten minutes")
	}
	return reported
}

// TestSlowAnswers guards against calls that were given up after 2 s, each of them, so that a discovery that took longer for an answer told nothing. A change is
// in force within 6 s, wherever it falls between two answers, in a watch that goes on and in one that begins.
func TestSlowAnswers(t *testing.T) {
	for name, fleet := range map[string]Fleet{"pushed": {Forwarders: 300}, "requested": {Forwarders: 10, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}} {
		for _, latency := range answerTimes {
			for _, known := range []*List{nil, {Index: 41}} {
				t.Run(fmt.Sprintf("%s, %v, known %t", name, latency, known != nil), func(t *testing.T) {
					for offset := 10 * time.Second; offset < 22*time.Second; offset += 670 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							fleet.Random = func() float64 { return 1 }
							d := &slowDiscovery{latency: latency, changeAt: time.Now().Add(offset)}
							p, stop := newScriptedPlatform(t, fleet, d.answer)
							defer stop()
							if late := watchUntilChange(t, p, known).Sub(d.changeAt); late > receiptLimit {
								t.Errorf("a change after %v: in force %v later", offset, late)
							}
						})
					}
				})
			}
		}
	}
}

// TestSlowAnswersAfterReload is the same for a change of the address: what the new one has is in force 4 s later, if it answers by then, or else with its first
// answer. Where the list is requested, the first call may be refused.
func TestSlowAnswersAfterReload(t *testing.T) {
	for name, fleet := range map[string]Fleet{"pushed": {Forwarders: 300}, "requested": {Forwarders: 300, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}} {
		for _, latency := range answerTimes {
			for _, refusals := range []int{0, 1} {
				t.Run(fmt.Sprintf("%s, %v, %d refusals", name, latency, refusals), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fleet.Random = func() float64 { return 1 }
						former := &slowDiscovery{changeAt: time.Now().Add(time.Hour)}
						d := &slowDiscovery{latency: latency}
						refused := 0
						p, stop := newScriptedPlatform(t, fleet, func(n int, r *http.Request, conn net.Conn) {
							switch {
							case r.Host == "discovery:1":
								former.answer(n, r, conn)
							case refused < refusals:
								refused++
								fmt.Fprint(conn, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
							default:
								d.answer(n, r, conn)
							}
						})
						defer stop()
						var moved time.Time
						time.AfterFunc(10*time.Second, func() {
							moved = time.Now()
							p.SetAddress("discovery:2")
						})
						limit := max(receiptLimitAfterReload, latency)
						if refusals > 0 {
							limit = max(limit, receiptLimitAfterReload-reopenDelay+latency)
						}
						if late := watchUntilChange(t, p, &List{Index: 41}).Sub(moved); late > limit {
							t.Errorf("in force %v after the reload", late)
						}
					})
				})
			}
		}
	}
}

// TestSlowFirstAnswer guards against a start that gives its first call up: the watch continues it, and has the answer when the call does.
func TestSlowFirstAnswer(t *testing.T) {
	for _, latency := range answerTimes {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			d := &slowDiscovery{latency: latency, changeAt: began}
			p, stop := newScriptedPlatform(t, Fleet{Forwarders: 300}, d.answer)
			defer stop()
			known, err := p.FetchSnapshot(500 * time.Millisecond)
			if (err == nil) != (latency < 500*time.Millisecond) || time.Since(began) > 500*time.Millisecond {
				t.Errorf("%v: %v after %v", latency, err, time.Since(began))
			}
			if known != nil {
				return
			}
			if took := watchUntilChange(t, p, nil).Sub(began); took > latency {
				t.Errorf("%v: in force %v after the start", latency, took)
			}
		})
	}
}

// TestTrickledAnswers guards against answers that arrive in parts without end, which held all other calls up for minutes: after 6 s calls are made beside them.
func TestTrickledAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p, stop := newScriptedPlatform(t, Fleet{Forwarders: 300}, func(n int, _ *http.Request, conn net.Conn) {
			if n > 2 {
				fmt.Fprint(conn, okResponse(`{"index":42,"snapshot":true,"endpoints":[]}`))
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
			for {
				if _, err := conn.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		defer stop()
		if took := watchUntilChange(t, p, nil).Sub(began); took > slowestAnswer+2*overdueAfter {
			t.Errorf("in force after %v", took)
		}
	})
}

// TestStopWithManyCancelledCalls guards against a follower whose end waits for calls that wait for it to take their results.
func TestStopWithManyCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newScriptedPlatform(t, Fleet{Forwarders: 300}, waitForCloseOf)
		defer stop()
		f := p.newWatchFollower(41)
		for id := range 5 * maxListCalls {
			f.begin(listCall{id: id})
		}
		f.stop()
	})
}

func waitForCloseOf(_ int, r *http.Request, conn net.Conn) { waitForClose(r, conn) }

// TestFailedCallLogsNextCall guards against a log line that says that discovery is called again in 292 years: it was written when the next call depended on
// those in flight.
func TestFailedCallLogsNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newScriptedPlatform(t, Fleet{Forwarders: 8}, waitForCloseOf)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f := p.newWatchFollower(-1)
		failures := 0
		f.warn = func(err error, next nextCall) {
			failures++
			if next.wait > time.Minute || next.wait == 0 && next.inFlight == 0 {
				t.Errorf("after failure %d (%v): %+v", failures, err, next)
			}
		}
		f.run(ctx, func(*List) {})
		if failures == 0 {
			t.Error("no call has failed")
		}
	})
}

// TestChangeDuringSlowAnswer: discovery takes 4 s for each answer, and a change that comes a second after the one that is being answered is in force before it
// counts as received, 6 s later. Found by the soak.
func TestChangeDuringSlowAnswer(t *testing.T) {
	const answerTime, firstChange, secondChange, firstIndex = 4 * time.Second, time.Second, 2 * time.Second, 41
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		index := func() int {
			switch elapsed := time.Since(began); {
			case elapsed < firstChange:
				return firstIndex
			case elapsed < secondChange:
				return firstIndex + 1
			}
			return firstIndex + 2
		}
		p, stop := newScriptedPlatform(t, Fleet{Forwarders: 8}, func(_ int, r *http.Request, conn net.Conn) {
			var from, hold int
			fmt.Sscan(r.URL.Query().Get("from"), &from)
			fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
			for end := time.Now().Add(time.Duration(hold) * time.Millisecond); index() <= from && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			answer := okResponse(fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DRAINING"}]}`, index()))
			time.Sleep(answerTime)
			conn.Write([]byte(answer))
		})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var received time.Duration
		p.Watch(ctx, &List{Index: firstIndex}, func(l *List) {
			if l.Index == firstIndex+2 {
				received = time.Since(began)
				cancel()
			}
		})
		if late := received - secondChange - receiptLimit; received == 0 || late > 0 {
			t.Errorf("in force after %v, %v after it counts as received", received, late)
		}
	})
}
