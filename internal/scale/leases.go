package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"scaleroute/internal/control/api"
)

// Leases are members that hold nothing but their lease: with them parts are as large as in a fleet that would not fit into one machine.

const (
	leaseWorkers = 16
	leaseEvery   = 8 * time.Second // a renewal; the lease is 30 s
	leaseCall    = 5 * time.Second
)

// leases keeps members alive until Close.
type leases struct {
	cancel context.CancelFunc
	all    sync.WaitGroup

	mu    sync.Mutex
	known map[string]api.Members // by server, what it has answered last, without members
}

// newLeases starts to renew the leases of a number of members at some servers in turn, and returns once each has been renewed once.
func newLeases(count int, servers []string) (*leases, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leases{cancel: cancel, known: map[string]api.Members{}}
	first := make(chan error, leaseWorkers)
	for worker := range leaseWorkers {
		l.all.Go(func() {
			first <- l.renewAll(ctx, worker, count, servers, 0)
			for ctx.Err() == nil {
				l.renewAll(ctx, worker, count, servers, leaseEvery*leaseWorkers/time.Duration(count)) // who fails is renewed with the next round
			}
		})
	}
	var errs []error
	for range leaseWorkers {
		errs = append(errs, <-first)
	}
	return l, errors.Join(errs...)
}

// Close ends the renewals; the leases run out.
func (l *leases) Close() {
	l.cancel()
	l.all.Wait()
}

// renewAll renews the leases of one worker, with a pause after each.
func (l *leases) renewAll(ctx context.Context, worker, count int, servers []string, each time.Duration) (last error) {
	for i := worker; i < count && ctx.Err() == nil; i += leaseWorkers {
		if err := l.renew(ctx, fmt.Sprintf("member-%05d", i), servers[i%len(servers)]); err != nil {
			last = err
		}
		if each > 0 {
			pause(ctx, each)
		}
	}
	return last
}

// renew renews one lease. It asks for what has changed since the server was asked last, for whichever member that was.
func (l *leases) renew(ctx context.Context, name, server string) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	l.mu.Lock()
	known := l.known[server]
	l.mu.Unlock()
	query := url.Values{"name": {name}, "zone": {simulatedZone}}
	if known.Epoch != "" {
		query.Set("epoch", known.Epoch)
		query.Set("from", strconv.FormatInt(known.Index, 10))
		query.Set("hold_ms", "0")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/v1/members?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable { // members are still being gathered: this one is among them
		io.Copy(io.Discard, response.Body)
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(&known); err != nil {
		return fmt.Errorf("renewing a lease at %s: status %d: %w", server, response.StatusCode, err)
	}
	known.Members = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[server] = known
	return nil
}
