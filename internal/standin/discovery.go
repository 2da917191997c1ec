package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Discovery is the agent that a forwarder asks for its endpoints, and to which
// it takes its notices.
type Discovery struct {
	log    *Log
	server *http.Server
	ln     net.Listener
	over   chan struct{}

	mu      sync.Mutex
	index   int64
	entries map[string]*entry
	lag     time.Duration
	down    bool
	delay   time.Duration          // of the answer to each list call
	refuse  bool                   // list calls are answered with 503
	whole   int64                  // a watch from before this version is answered with the whole list
	where   func(*Endpoint) string // where an endpoint is, for this forwarder; nil: at its address
	calls   []time.Time            // for the list
	changed chan struct{}          // closed at the next change
}

// entry is one endpoint in the list, and the version in which it changed last.
type entry struct {
	endpoint *Endpoint
	status   string
	index    int64
	at       time.Time // it is told from then on
}

type listed struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type list struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []listed `json:"endpoints"`
}

func newDiscovery(log *Log) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{log: log, ln: ln, over: make(chan struct{}), entries: map[string]*entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.servers)
	mux.HandleFunc("POST /v2/finals", d.finals)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(ln)
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

func (d *Discovery) close() {
	close(d.over)
	d.server.Close()
}

// Where has endpoints told at other addresses to this forwarder.
func (d *Discovery) Where(where func(*Endpoint) string) {
	d.mu.Lock()
	d.where = where
	d.mu.Unlock()
}

// Skip raises the index, as if something had changed that does not concern this agent's entries.
func (d *Discovery) Skip(n int64) {
	d.mu.Lock()
	d.index += n
	d.mu.Unlock()
}

// Index is the version of the list.
func (d *Discovery) Index() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index
}

// List is the whole list as it is now.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	l, _ := d.since(-1)
	d.mu.Unlock()
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain values: it can't be
	}
	return text
}

// Calls are when the list was asked for.
func (d *Discovery) Calls() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Lag has changes from now on told so much later.
func (d *Discovery) Lag(lag time.Duration) {
	d.mu.Lock()
	d.lag = lag
	d.mu.Unlock()
}

// Down has it say nothing of the list; notices are still taken.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	d.down = down
	d.stir()
	d.mu.Unlock()
}

// Delay has it take so long for the answer to each list call. An answer has what was known when it began.
func (d *Discovery) Delay(delay time.Duration) {
	d.mu.Lock()
	d.delay = delay
	d.mu.Unlock()
}

// Refuse has it answer list calls with 503.
func (d *Discovery) Refuse(refuse bool) {
	d.mu.Lock()
	d.refuse = refuse
	d.mu.Unlock()
}

// Set tells the state of endpoints.
func (d *Discovery) Set(state string, endpoints ...*Endpoint) {
	states := make(map[*Endpoint]string, len(endpoints))
	for _, e := range endpoints {
		states[e] = state
	}
	d.SetAll(states)
}

// Whole answers the watches that have not seen the next version with the whole list.
func (d *Discovery) Whole() {
	d.mu.Lock()
	d.whole = d.index + 1
	d.mu.Unlock()
}

// SetAll tells the states of several endpoints in one change, in any order.
func (d *Discovery) SetAll(states map[*Endpoint]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	at := time.Now().Add(d.lag)
	for e, state := range states {
		d.entries[e.Name] = &entry{endpoint: e, status: state, index: d.index, at: at}
	}
	if d.lag > 0 {
		time.AfterFunc(d.lag, func() {
			d.mu.Lock()
			d.stir()
			d.mu.Unlock()
		})
	}
	d.stir()
}

// stir wakes the watches.
func (d *Discovery) stir() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// since collects what is newer than a version, or all.
func (d *Discovery) since(from int64) (l list, told []Told) {
	now := time.Now()
	l = list{Snapshot: from < 0 || from < d.whole && d.index >= d.whole, Endpoints: []listed{}}
	l.Index = max(0, from)
	for _, e := range d.entries {
		isNew := e.index > from
		if !isNew && !l.Snapshot || e.at.After(now) {
			continue
		}
		if l.Snapshot && e.status == Deleted { // told by its absence
			if isNew && from >= 0 {
				l.Index = max(l.Index, e.index)
				told = append(told, Told{Endpoint: e.endpoint.Name, State: Deleted})
			}
			continue
		}
		l.Index = max(l.Index, e.index)
		address := e.endpoint.Address
		if d.where != nil {
			address = d.where(e.endpoint)
		}
		l.Endpoints = append(l.Endpoints, listed{Name: e.endpoint.Name, Address: address, Zone: "a", Type: "std",
			Group: e.endpoint.Group, Status: e.status, Weight: e.endpoint.Weight, SinceMS: e.endpoint.SinceMS})
		told = append(told, Told{Endpoint: e.endpoint.Name, State: e.status})
	}
	return l, told
}

func (d *Discovery) servers(w http.ResponseWriter, r *http.Request) {
	from, hold := int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("from") {
		n, err := strconv.ParseInt(q.Get("from"), 10, 64)
		ms, err2 := strconv.Atoi(q.Get("hold_ms"))
		if err != nil || err2 != nil || ms < 0 || ms > 60000 {
			http.Error(w, "from and hold_ms are whole numbers, hold_ms 60000 at most", http.StatusBadRequest)
			return
		}
		from, hold = n, time.Duration(ms)*time.Millisecond
	}
	d.mu.Lock()
	d.calls = append(d.calls, time.Now())
	refuse := d.refuse
	d.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := time.NewTimer(hold)
	defer end.Stop()
	for {
		d.mu.Lock()
		l, told := d.since(from)
		down, changed := d.down, d.changed
		d.mu.Unlock()
		if !down && (from < 0 || len(l.Endpoints) > 0) {
			d.write(w, r, l, told)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			if !down {
				d.write(w, r, l, told)
				return
			}
		case <-r.Context().Done():
			return
		case <-d.over:
			return
		}
	}
}

// write answers a list call, unless the caller leaves before.
func (d *Discovery) write(w http.ResponseWriter, r *http.Request, l list, told []Told) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	case <-d.over:
		return
	}
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	now := time.Now()
	for i := range told {
		told[i].At = now
	}
	d.log.Tell(told)
}

func (d *Discovery) finals(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var notices []Notice
	for in := json.NewDecoder(r.Body); in.More(); {
		var n struct {
			Ref    string `json:"ref"`
			Result string `json:"result"`
			WaitMS int64  `json:"wait_ms"`
		}
		if err := in.Decode(&n); err != nil || n.Ref == "" || n.Result != "dead" && n.Result != "bounced" {
			http.Error(w, "a line that is no notice", http.StatusBadRequest)
			return
		}
		notices = append(notices, Notice{ID: n.Ref, Result: n.Result, Wait: time.Duration(n.WaitMS) * time.Millisecond, At: now})
	}
	for _, n := range notices {
		d.log.notice(n)
	}
	w.WriteHeader(http.StatusNoContent)
}
