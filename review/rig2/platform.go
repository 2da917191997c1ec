package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// listed is one target in discovery's list.
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

// list is an answer of discovery.
type list struct {
	Index     int64    `json:"index"`
	Snapshot  bool     `json:"snapshot"`
	Endpoints []listed `json:"endpoints"`
}

// The states of a target.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// notice is what the platform was told of a message that was not delivered.
type notice struct {
	Ref    string `json:"ref"`
	Result string `json:"result"`
	WaitMS int64  `json:"wait_ms"`
	at     time.Time
}

// discovery stands in for the agent of the platform on the forwarder's machine.
type discovery struct {
	w      *world
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	index   int64
	entries map[string]entry
	silent  bool          // it answers no list call; notices are taken all the same
	slow    time.Duration // how long it takes to answer a list call, beside the time that the call may wait
	refuse  int           // so many further list calls are answered 503, since it has no capacity for them
	refused chan struct{}
	changed chan struct{}
	notices map[string][]notice
}

// entry is a target as it was listed last.
type entry struct {
	listed
	index int64
}

func (w *world) newDiscovery() (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, ln: ln, index: 40, entries: map[string]entry{}, changed: make(chan struct{}), refused: make(chan struct{}), notices: map[string][]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.servers)
	mux.HandleFunc("POST /v2/finals", d.finals)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(ln)
	w.onClose(func() { d.server.Close() })
	return d, nil
}

func (d *discovery) address() string { return d.ln.Addr().String() }

// set lists targets in a state, in one change.
func (d *discovery) set(status string, targets ...listed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, t := range targets {
		t.Status = status
		d.entries[t.Name] = entry{t, d.index}
	}
	d.stir()
}

// setSilent has it answer no list call, or answer them again.
func (d *discovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.w.note("discovery is silent: %v", silent)
	d.stir()
}

// setSlow has it take so long for an answer to a list call.
func (d *discovery) setSlow(slow time.Duration) {
	d.mu.Lock()
	d.slow = slow
	d.mu.Unlock()
	d.w.note("discovery takes %v to answer a list call", slow)
}

// close has it take no new connection, and closes the open ones.
func (d *discovery) close() {
	d.w.note("the old address of discovery is closed")
	d.server.Close()
}

// stir wakes the watches.
func (d *discovery) stir() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns what changed after a version; all if it is negative.
func (d *discovery) since(from int64) list {
	l := list{Index: d.index, Snapshot: from < 0, Endpoints: []listed{}}
	for _, e := range d.entries {
		if e.index > from && (from >= 0 || e.Status != deleted) {
			l.Endpoints = append(l.Endpoints, e.listed)
		}
	}
	slices.SortFunc(l.Endpoints, func(a, b listed) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

func (d *discovery) servers(rw http.ResponseWriter, r *http.Request) {
	from, hold := int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("from") {
		n, err := strconv.ParseInt(q.Get("from"), 10, 64)
		ms, err2 := strconv.Atoi(q.Get("hold_ms"))
		if err != nil || err2 != nil || ms < 0 || ms > 60000 {
			http.Error(rw, "bad query", http.StatusBadRequest)
			return
		}
		from, hold = n, time.Duration(ms)*time.Millisecond
	}
	d.w.note("list call: from %d, hold %v", from, hold)
	d.mu.Lock()
	if d.refuse > 0 {
		if d.refuse--; d.refuse == 0 {
			defer close(d.refused)
		}
		d.mu.Unlock()
		d.w.note("list call refused: 503")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.mu.Unlock()
	end := time.NewTimer(hold)
	defer end.Stop()
	over := false
	for {
		d.mu.Lock()
		l, silent, changed := d.since(from), d.silent, d.changed
		d.mu.Unlock()
		if !silent && (from < 0 || over || len(l.Endpoints) > 0) {
			text, err := json.Marshal(l)
			if err != nil {
				http.Error(rw, err.Error(), http.StatusInternalServerError)
				return
			}
			d.mu.Lock()
			slow := d.slow
			d.mu.Unlock()
			select {
			case <-time.After(slow):
			case <-r.Context().Done():
				d.w.note("list call given up by the forwarder")
				return
			}
			d.w.note("list answered: index %d, whole %v, %d entries", l.Index, l.Snapshot, len(l.Endpoints))
			rw.Write(text)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (d *discovery) finals(rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var all []notice
	for in := json.NewDecoder(r.Body); in.More(); {
		var n notice
		if err := in.Decode(&n); err != nil || n.Ref == "" {
			http.Error(rw, "a line that is no notice", http.StatusBadRequest)
			return
		}
		n.at = now
		all = append(all, n)
	}
	d.mu.Lock()
	for _, n := range all {
		d.notices[n.Ref] = append(d.notices[n.Ref], n)
		d.w.note("notice: %s %s, wait %d ms", n.Ref, n.Result, n.WaitMS)
	}
	d.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}

// siteSettings are the settings of a small deployment, as nested JSON.
func siteSettings() map[string]any {
	return map[string]any{
		"Azs":        []string{"tallinn-dc1"},
		"Locality":   "tallinn-dc1",
		"Kinds":      []string{"large-organisers", "small-groups"},
		"Siblings":   3,
		"Weights":    "nominal",
		"Discovery":  "automatic",
		"Tenants":    []any{},
		"Stages":     "organiser-systems",
		"FamilyInfo": map[string]any{"Carriage": []float64{0}, "Late": "line", "PerCall": []int{1, 1}, "RefusedPrice": 0.05, "SeparateRoutes": []bool{false, false}, "Workers": 40},
		"Limits": map[string]any{"Cancel": true, "ConnIdle": 15000.0, "ConnectTimeout": 1500.0, "MaxAttempts": 6, "MaxOpen": 362, "MaxRetryAfter": 3000.0,
			"MayProbe": false, "Peers": false, "RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 1},
		"Invariants": map[string]any{"AnswerSlack": 20.0, "AskEvery": 10000.0, "Cold": 9500.0, "DrainGrace": 1000.0, "Fall": 3000.0, "StartCapacity": 0.2, "TipMultiple": 2.0},
		"Costs":      map[string]any{"Connection": 0.0, "Handshake": 0.06, "LateFail": 0.02, "Waste": 0.03, "Discovery": 0.0},
		"Classes": []any{
			map[string]any{"Name": "status-update", "Effect": "pure", "DedupScope": "all", "RepeatWindow": 5000.0, "OnTime": 3000.0, "Deadline": 28000.0, "Worth": 1.0, "LateShare": 0.4},
			map[string]any{"Name": "signature-handover", "Effect": "side_effect", "DedupScope": "all", "RepeatWindow": 5000.0, "OnTime": 3000.0, "Deadline": 24000.0, "Worth": 3.0, "LateShare": 0.4},
		},
	}
}
