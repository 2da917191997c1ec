package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// listed is an entry of discovery's list.
type listed struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
	index   int64
}

// notice is a message's end that was reported to the platform.
type notice struct {
	result string
	at     time.Time
}

// platform is the agent on the forwarder's machine: discovery's list, and the receiver of notices.
type platform struct {
	rec    *record
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	index   int64
	entries map[string]listed
	changed chan struct{}
	silent  bool // discovery is down: no list is answered; notices are taken
	notices map[string][]notice
}

func newPlatform(rec *record) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, ln: ln, entries: map[string]listed{}, changed: make(chan struct{}), notices: map[string][]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", p.servers)
	mux.HandleFunc("POST /v2/finals", p.finals)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p, nil
}

func (p *platform) address() string { return p.ln.Addr().String() }

// set changes entries in one version of the list.
func (p *platform) set(list ...listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	for _, e := range list {
		e.index = p.index
		p.entries[e.Name] = e
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// setSilent has discovery go down, or return.
func (p *platform) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	p.rec.add("platform", "discovery is down: %v", silent)
	close(p.changed)
	p.changed = make(chan struct{})
}

// list returns the whole list, or what changed after a version. p is locked.
func (p *platform) list(from int64) (any, int) {
	entries := []listed{}
	for _, e := range p.entries {
		if e.index > from && (from >= 0 || e.Status != "DELETED") {
			entries = append(entries, e)
		}
	}
	return map[string]any{"index": p.index, "snapshot": from < 0, "endpoints": entries}, len(entries)
}

// known returns the whole list, as a forwarder's configuration has it.
func (p *platform) known() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, _ := p.list(-1)
	return l
}

func (p *platform) servers(w http.ResponseWriter, r *http.Request) {
	from, hold := int64(-1), 0
	if q := r.URL.Query(); q.Has("from") {
		from, _ = strconv.ParseInt(q.Get("from"), 10, 64)
		hold, _ = strconv.Atoi(q.Get("hold_ms"))
	}
	end := time.After(time.Duration(hold) * time.Millisecond)
	over := false
	for {
		p.mu.Lock()
		l, n := p.list(from)
		silent, changed := p.silent, p.changed
		p.mu.Unlock()
		if !silent && (from < 0 || n > 0 || over) {
			text, err := json.Marshal(l)
			if err != nil {
				return
			}
			w.Write(text)
			http.NewResponseController(w).Flush()
			if n > 0 {
				p.rec.add("platform", "told %.300s", text)
			}
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) finals(w http.ResponseWriter, r *http.Request) {
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		var n struct{ Ref, Result string }
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.Result != "dead" && n.Result != "bounced" {
			http.Error(w, fmt.Sprint("unreadable: ", err), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.notices[n.Ref] = append(p.notices[n.Ref], notice{n.Result, time.Now()})
		p.mu.Unlock()
		p.rec.add("platform", "notice %s", lines.Text())
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticed returns the notices of a message.
func (p *platform) noticed(id string) []notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices[id]
}
