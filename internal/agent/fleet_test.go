package agent

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"scaleroute/internal/engine"
)

// memoryListener is an in-memory network with one address.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (m *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case m.conns <- far:
		return near, nil
	case <-m.closed:
	case <-ctx.Done():
	}
	return nil, net.ErrClosed
}

func (m *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *memoryListener) Close() error   { return nil }
func (m *memoryListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// overbookedDiscovery is a fake discovery that works on one watch after another. Like a misconfigured server, it admits more calls than it can answer
// within its timeout: a call that waits for longer still costs the work, and is answered with 503.
type overbookedDiscovery struct {
	workPerCall time.Duration // work on one call
	timeout     time.Duration
	overbooking float64 // the admitted work, as a multiple of what can be done within the timeout

	mu            sync.Mutex
	busyUntil     time.Time
	calls         int
	callsBySecond map[int64]int
	failed        int
	answered      int
}

func (o *overbookedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o.mu.Lock()
	o.calls++
	o.callsBySecond[now.Unix()]++
	if o.busyUntil.Before(now) {
		o.busyUntil = now
	}
	wait := o.busyUntil.Sub(now) + o.workPerCall
	late := wait > o.timeout
	if wait <= time.Duration(o.overbooking*float64(o.timeout)) {
		o.busyUntil = now.Add(wait)
	} else {
		wait = 0
	}
	if late {
		o.failed++
	} else {
		o.answered++
	}
	o.mu.Unlock()
	if late {
		time.Sleep(min(wait, o.timeout))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	fmt.Fprint(w, `{"index":2,"snapshot":false,"endpoints":[]}`)
}

// TestFleetStartsWithOverbookedDiscovery checks that forwarders that start together, or lose their watches together, all get their list from a discovery
// that can answer ten calls a second, and that they make no more calls than that needs. With a fixed pause between calls, none of 80 forwarders would
// ever get the list: all of discovery's work would go to calls that have timed out.
func TestFleetStartsWithOverbookedDiscovery(t *testing.T) {
	for _, n := range []int{1, 10, 80, 300} {
		for _, overbooking := range []float64{1, 3} {
			t.Run(fmt.Sprintf("%d forwarders, overbooked by a factor of %g", n, overbooking), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testFleetStart(t, n, overbooking) })
			})
		}
	}
}

// testFleetStart starts n forwarders together and checks how long they take to get the list, and with how many calls.
func testFleetStart(t *testing.T, n int, overbooking float64) {
	d := &overbookedDiscovery{workPerCall: 100 * time.Millisecond, timeout: 2 * time.Second, overbooking: overbooking, callsBySecond: map[int64]int{}}
	network := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(network)
	logs := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(logs)
	seeded := rand.New(rand.NewPCG(1, uint64(n)))
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	var forwarders sync.WaitGroup
	var last time.Duration
	var mu sync.Mutex
	for range n {
		own := rand.New(rand.NewPCG(seeded.Uint64(), seeded.Uint64()))
		p := New("discovery:1", Fleet{Forwarders: n, MustSubscribe: true, ResubscribeInterval: 10 * time.Second, Random: own.Float64})
		p.client.httpClient.Transport.(*http.Transport).DialContext = network.dial
		forwarders.Go(func() {
			watchCtx, stop := context.WithCancel(ctx)
			p.Watch(watchCtx, &List{Index: 1}, func(*List) {
				stop()
				mu.Lock()
				last = max(last, time.Since(began))
				mu.Unlock()
			})
		})
	}
	giveUp := time.AfterFunc(10*time.Minute, cancel)
	forwarders.Wait()
	if !giveUp.Stop() {
		t.Error("some forwarders have no list after 10 minutes")
	}
	cancel()
	close(network.closed)
	server.Close()
	time.Sleep(d.timeout) // until the calls that it still works on have ended
	maxCalls := 0
	for _, calls := range d.callsBySecond {
		maxCalls = max(maxCalls, calls)
	}
	t.Logf("all have the list after %v; %d calls, %d of them failed, at most %d in one second", last, d.calls, d.failed, maxCalls)
	if last > 5*time.Minute {
		t.Errorf("the last forwarder got the list after %v", last)
	}
	if d.calls > 6*n {
		t.Errorf("%d calls for %d lists", d.calls, n)
	}
	if maxCalls > max(12, n/2) {
		t.Errorf("%d calls in one second", maxCalls)
	}
}

// TestBackoffGrows checks that each delay is drawn between 0 and a ceiling that doubles up to a limit, and that a success starts over.
func TestBackoffGrows(t *testing.T) {
	b := backoff{initial: time.Second, max: 5 * time.Second, random: func() float64 { return 1 }}
	for i, want := range []time.Duration{1, 2, 4, 5, 5} {
		if got := b.nextDelay(); got != want*time.Second {
			t.Errorf("delay %d is %v, want %v s", i, got, want)
		}
	}
	b.reset()
	b.random = func() float64 { return 0.25 }
	if got := b.nextDelay(); got != time.Second/4 {
		t.Errorf("the first delay after a success, drawn at a quarter, is %v", got)
	}
	single, many := Fleet{Forwarders: 1, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}, Fleet{Forwarders: 80, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}
	if a, m := single.initialSpread(), many.initialSpread(); a > 200*time.Millisecond || m < 5*time.Second || m >= many.ResubscribeInterval {
		t.Errorf("first calls are spread over %v for one forwarder, %v for 80", a, m)
	}
	if f := (Fleet{Forwarders: 80}); f.initialSpread() != 0 || f.newListBackoff().initial != initialBackoff {
		t.Errorf("the calls for a pushed list are spread: over %v, with an initial back-off of %v", f.initialSpread(), f.newListBackoff().initial)
	}
}

// TestNoticeIsOnTimeAfterOutage checks that, however long the platform has refused notices, the next attempt comes within the time by which a notice may be
// late.
func TestNoticeIsOnTimeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, network := time.Now(), &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusNoContent}[time.Since(began) < 20*time.Second])
		})}
		go server.Serve(network)
		p := New("discovery:1", Fleet{Forwarders: 80, Random: func() float64 { return 1 }})
		p.client.httpClient.Transport.(*http.Transport).DialContext = network.dial
		ctx, cancel := context.WithCancel(t.Context())
		p.NotifyCompletion(engine.Completion{ID: "m"})
		p.DeliverNotices(ctx, func([]string) { cancel() })
		if late := time.Since(began) - 20*time.Second; late > 150*time.Millisecond {
			t.Errorf("accepted %v after the end of the outage", late)
		}
		close(network.closed)
		server.Close()
	})
}
