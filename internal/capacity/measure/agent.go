package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/standin"
)

// listAgent tells a forwarder its endpoints out of answers that are written beforehand: a forwarder that waits for a large one asks again after 2 s, so that an agent which is
// slow on a loaded machine would be a part of what is measured.
type listAgent struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	index   int64
	asked   int64 // from there, by the last call; -1: for all
	askedAt time.Time
	whole   []byte
	changes []byte        // since the version before
	changed chan struct{} // closed with the next change
}

// newListAgent makes one that knows the endpoints of a world as serving.
func newListAgent(world *standin.World) (*listAgent, error) {
	return newListAgentOf(entriesOf(world.Endpoints, standin.Serving))
}

// newListAgentOf makes one that knows some entries.
func newListAgentOf(entries []agent.Endpoint) (*listAgent, error) {
	a := &listAgent{index: 1, asked: -1, changed: make(chan struct{})}
	var err error
	if a.whole, err = json.Marshal(agent.List{Index: a.index, Snapshot: true, Endpoints: entries}); err != nil {
		return nil, err
	}
	if a.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(a.listener) // until close
	return a, nil
}

func (a *listAgent) address() string { return a.listener.Addr().String() }

func (a *listAgent) close() error { return a.server.Close() }

// entriesOf are endpoints as entries of a list.
func entriesOf(endpoints []*standin.Endpoint, status string) []agent.Endpoint {
	entries := make([]agent.Endpoint, len(endpoints))
	for i, e := range endpoints {
		entries[i] = agent.Endpoint{Name: e.Name, Address: e.Address, Zone: "a", Type: "std", Group: e.Group, Status: status}
	}
	return entries
}

// change tells of endpoints anew, and since when.
func (a *listAgent) change(endpoints []*standin.Endpoint, status string) (told time.Time, err error) {
	return a.tell(entriesOf(endpoints, status))
}

// current is the index of the list.
func (a *listAgent) current() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

// tell tells of some entries anew, and since when.
func (a *listAgent) tell(entries []agent.Endpoint) (told time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.changes, err = json.Marshal(agent.List{Index: a.index, Endpoints: entries})
	told = time.Now()
	close(a.changed)
	a.changed = make(chan struct{})
	return told, err
}

// inForce tells whether the forwarder has asked for what comes after all that there is, and since when: it has that in force by then.
func (a *listAgent) inForce() (since time.Time, is bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.askedAt, a.asked == a.index
}

// servers answers a call for all, or a watch.
func (a *listAgent) servers(w http.ResponseWriter, r *http.Request) {
	from, hold, err := watchOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.asked, a.askedAt = from, time.Now()
	changed := a.changed
	held := from == a.index
	a.mu.Unlock()
	if held {
		end := time.NewTimer(hold)
		defer end.Stop()
		select {
		case <-changed:
		case <-end.C:
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	answer := a.whole
	switch {
	case from == a.index:
		answer = fmt.Appendf(nil, `{"index":%d,"snapshot":false,"endpoints":[]}`, a.index)
	case from == a.index-1:
		answer = a.changes
	}
	a.mu.Unlock()
	w.Write(answer) // who has gone asks again
}

// watchOf reads from where a call asks, -1 for all, and for how long it may be held.
func watchOf(r *http.Request) (from int64, hold time.Duration, err error) {
	query := r.URL.Query()
	if !query.Has("from") {
		return -1, 0, nil
	}
	if from, err = strconv.ParseInt(query.Get("from"), 10, 64); err != nil {
		return 0, 0, fmt.Errorf("from: %w", err)
	}
	milliseconds, err := strconv.Atoi(query.Get("hold_ms"))
	return from, time.Duration(milliseconds) * time.Millisecond, err
}

// await waits until the forwarder has all in force, and tells since when.
func (a *listAgent) await(ctx context.Context) (time.Time, error) {
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for {
		if since, is := a.inForce(); is {
			return since, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("the list was not asked after: %w", ctx.Err())
		case <-look.C:
		}
	}
}
