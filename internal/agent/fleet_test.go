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

// memory is a network of one address.
type memory struct {
	conns chan net.Conn
	over  chan struct{}
}

func (m *memory) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case m.conns <- far:
		return near, nil
	case <-m.over:
	case <-ctx.Done():
	}
	return nil, net.ErrClosed
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.over:
		return nil, net.ErrClosed
	}
}

func (m *memory) Close() error   { return nil }
func (m *memory) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// overbooked is a discovery that works on each new watch in turn. Like one that is badly set up, it takes on more than it
// can answer within its time-out: what waits for longer is worked on all the same, and answered with 503.
type overbooked struct {
	each     time.Duration // work on one call
	patience time.Duration
	overbook float64 // it takes on so many times what it can answer in that time

	mu      sync.Mutex
	busyTil time.Time
	calls   int
	second  map[int64]int
	failed  int
	watches int
}

func (o *overbooked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o.mu.Lock()
	o.calls++
	o.second[now.Unix()]++
	if o.busyTil.Before(now) {
		o.busyTil = now
	}
	wait := o.busyTil.Sub(now) + o.each
	late := wait > o.patience
	if wait <= time.Duration(o.overbook*float64(o.patience)) {
		o.busyTil = now.Add(wait)
	} else {
		wait = 0
	}
	if late {
		o.failed++
	} else {
		o.watches++
	}
	o.mu.Unlock()
	if late {
		time.Sleep(min(wait, o.patience))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	fmt.Fprint(w, `{"index":2,"snapshot":false,"endpoints":[]}`)
}

// TestFleetAsksOverbookedDiscovery: forwarders that start together, or lose their watches together, all get their list from a
// discovery that can tell ten of them in a second, and don't call it more often than that needs. With a fixed
// pause between calls it would never tell a fleet of 80 anything: all its work would go to calls that have been given up.
func TestFleetAsksOverbookedDiscovery(t *testing.T) {
	for _, n := range []int{1, 10, 80, 300} {
		for _, overbook := range []float64{1, 3} {
			t.Run(fmt.Sprintf("%d forwarders, overbooked %g times", n, overbook), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { askTogether(t, n, overbook) })
			})
		}
	}
}

func askTogether(t *testing.T, n int, overbook float64) {
	d := &overbooked{each: 100 * time.Millisecond, patience: 2 * time.Second, overbook: overbook, second: map[int64]int{}}
	network := &memory{conns: make(chan net.Conn), over: make(chan struct{})}
	server := &http.Server{Handler: d}
	go server.Serve(network)
	logs := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(logs)
	seeded := rand.New(rand.NewPCG(1, uint64(n)))
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	var watching sync.WaitGroup
	var last time.Duration
	var mu sync.Mutex
	for range n {
		own := rand.New(rand.NewPCG(seeded.Uint64(), seeded.Uint64()))
		p := New("discovery:1", Fleet{Forwarders: n, MustSubscribe: true, ResubscribeInterval: 10 * time.Second, Random: own.Float64})
		p.agent.client.Transport.(*http.Transport).DialContext = network.dial
		watching.Go(func() {
			mine, stop := context.WithCancel(ctx)
			p.Watch(mine, &List{Index: 1}, func(*List) {
				stop()
				mu.Lock()
				last = max(last, time.Since(began))
				mu.Unlock()
			})
		})
	}
	giveUp := time.AfterFunc(10*time.Minute, cancel)
	watching.Wait()
	if !giveUp.Stop() {
		t.Error("not all of them have been told in 10 minutes")
	}
	cancel()
	close(network.over)
	server.Close()
	time.Sleep(d.patience) // for what it still works on
	most := 0
	for _, calls := range d.second {
		most = max(most, calls)
	}
	t.Logf("told after %v; %d calls, %d of them in vain, %d in the worst second", last, d.calls, d.failed, most)
	if last > 5*time.Minute {
		t.Errorf("the last of them was told after %v", last)
	}
	if d.calls > 6*n {
		t.Errorf("%d calls for %d lists", d.calls, n)
	}
	if most > max(12, n/2) {
		t.Errorf("%d calls in one second", most)
	}
}

// TestWaitsGrow: each wait is drawn between nought and one that doubles up to a limit, and a success starts afresh.
func TestWaitsGrow(t *testing.T) {
	b := backoff{first: time.Second, most: 5 * time.Second, random: func() float64 { return 1 }}
	for i, want := range []time.Duration{1, 2, 4, 5, 5} {
		if got := b.failed(); got != want*time.Second {
			t.Errorf("wait %d is %v, want %v s", i, got, want)
		}
	}
	b.worked()
	b.random = func() float64 { return 0.25 }
	if got := b.failed(); got != time.Second/4 {
		t.Errorf("the first wait after a success, drawn at a quarter, is %v", got)
	}
	alone, many := Fleet{Forwarders: 1, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}, Fleet{Forwarders: 80, MustSubscribe: true, ResubscribeInterval: 10 * time.Second}
	if a, m := alone.firstWait(), many.firstWait(); a > 200*time.Millisecond || m < 5*time.Second || m >= many.ResubscribeInterval {
		t.Errorf("first calls are spread over %v by one, %v by many", a, m)
	}
	if f := (Fleet{Forwarders: 80}); f.firstWait() != 0 || f.again().first != firstPause {
		t.Errorf("a list that comes by itself is waited for: %v, %v", f.firstWait(), f.again().first)
	}
}

// TestNoticeIsNotLate: however long notices were not taken, the next try comes within what one may be late.
func TestNoticeIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, network := time.Now(), &memory{conns: make(chan net.Conn), over: make(chan struct{})}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusNoContent}[time.Since(began) < 20*time.Second])
		})}
		go server.Serve(network)
		p := New("discovery:1", Fleet{Forwarders: 80, Random: func() float64 { return 1 }})
		p.agent.client.Transport.(*http.Transport).DialContext = network.dial
		ctx, cancel := context.WithCancel(t.Context())
		p.NotifyCompletion(engine.Completion{ID: "m"})
		p.DeliverNotices(ctx, func([]string) { cancel() })
		if late := time.Since(began) - 20*time.Second; late > 150*time.Millisecond {
			t.Errorf("taken %v after it could be", late)
		}
		close(network.over)
		server.Close()
	})
}
