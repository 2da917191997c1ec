package scale

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"scaleroute/internal/agent"
)

const (
	maxHold       = time.Minute
	maxChangeLog  = 1 << 20 // changes that are remembered; who is further behind gets a snapshot
	writeBuffer   = 64 << 10
	endpointPort  = 8080
	simulatedZone = "a"
	simulatedType = "std"
)

// Directory is a fake discovery with one endpoint for each destination. It makes entries as they are asked for, so that millions cost it nothing,
// and remembers changes only. The endpoints are addresses that nobody listens at.
type Directory struct {
	destinations int
	server       *http.Server
	listener     net.Listener
	stopped      chan struct{}

	mu      sync.Mutex
	index   int64
	status  map[int]string // of the destinations whose endpoint is not serving
	log     []change       // by index
	first   int64          // the log is whole from this index on
	changed chan struct{}  // closed at the next change
}

// change is one change of a destination's endpoint.
type change struct {
	index       int64
	destination int
	status      string
}

// firstIndex is that of the list as the directory starts.
const firstIndex = 1

// NewDirectory starts one.
func NewDirectory(destinations int) (*Directory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Directory{destinations: destinations, listener: listener, stopped: make(chan struct{}), index: firstIndex, first: firstIndex,
		status: map[int]string{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(listener)
	return d, nil
}

// Address is where it listens.
func (d *Directory) Address() string { return d.listener.Addr().String() }

// Close ends it and its connections.
func (d *Directory) Close() {
	close(d.stopped)
	d.server.Close()
}

// EndpointName is the name of a destination's endpoint.
func EndpointName(destination int) string { return fmt.Sprintf("endpoint-%07d", destination) }

// Set changes the status of some destinations' endpoints as one change, and returns its index.
func (d *Directory) Set(status string, destinations ...int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, destination := range destinations {
		if status == agent.Serving {
			delete(d.status, destination)
		} else {
			d.status[destination] = status
		}
		d.log = append(d.log, change{d.index, destination, status})
	}
	for len(d.log) > maxChangeLog {
		d.first = d.log[0].index
		cut := sort.Search(len(d.log), func(i int) bool { return d.log[i].index > d.first })
		d.log = slices.Clone(d.log[cut:])
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.index
}

// Toggle has a destination's endpoint drain, or serve where it does.
func (d *Directory) Toggle(destination int) int64 {
	d.mu.Lock()
	_, away := d.status[destination]
	d.mu.Unlock()
	if away {
		return d.Set(agent.Serving, destination)
	}
	return d.Set(agent.Draining, destination)
}

// Pick draws destinations whose endpoint is serving, each once.
func (d *Directory) Pick(random *rand.Rand, count int) (destinations []int) {
	order := random.Perm(d.destinations)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, destination := range order {
		if _, away := d.status[destination]; !away && len(destinations) < count {
			destinations = append(destinations, destination)
		}
	}
	return destinations
}

// since are the changes after an index, each destination's newest alone; not known: a snapshot is due.
func (d *Directory) since(from int64) (changes []change, index int64, changed <-chan struct{}, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from < d.first || from > d.index {
		return nil, d.index, d.changed, false
	}
	start := sort.Search(len(d.log), func(i int) bool { return d.log[i].index > from })
	newest := make(map[int]int, len(d.log)-start)
	for _, c := range d.log[start:] {
		if at, seen := newest[c.destination]; seen {
			changes[at] = c
			continue
		}
		newest[c.destination] = len(changes)
		changes = append(changes, c)
	}
	return changes, d.index, d.changed, true
}

// serve answers a call of the watch.
func (d *Directory) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("from") {
		d.writeSnapshot(w)
		return
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	milliseconds, err2 := strconv.Atoi(query.Get("hold_ms"))
	hold := time.Duration(milliseconds) * time.Millisecond
	if err != nil || err2 != nil || hold < 0 || hold > maxHold {
		http.Error(w, fmt.Sprintf("from and hold_ms are whole numbers, hold_ms %d at most", maxHold.Milliseconds()), http.StatusBadRequest)
		return
	}
	end := time.NewTimer(hold)
	defer end.Stop()
	for held := false; ; {
		changes, index, changed, known := d.since(from)
		if !known {
			d.writeSnapshot(w)
			return
		}
		if len(changes) > 0 || held {
			writeChanges(w, index, changes)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			held = true
		case <-r.Context().Done():
			return
		case <-d.stopped:
			return
		}
	}
}

// writeSnapshot writes the whole list as it is made.
func (d *Directory) writeSnapshot(to io.Writer) {
	d.mu.Lock()
	index := d.index
	status := make(map[int]string, len(d.status))
	for destination, s := range d.status {
		status[destination] = s
	}
	d.mu.Unlock()
	w := bufio.NewWriterSize(to, writeBuffer)
	fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[`, index)
	var line []byte
	written := false
	for destination := range d.destinations {
		s, changed := status[destination]
		if s == agent.Deleted {
			continue
		}
		if !changed {
			s = agent.Serving
		}
		line = appendEntry(line[:0], written, destination, s)
		written = true
		if _, err := w.Write(line); err != nil {
			return // whoever asked is gone
		}
	}
	w.WriteString("]}")
	w.Flush()
}

// writeChanges writes what changed.
func writeChanges(to io.Writer, index int64, changes []change) {
	w := bufio.NewWriterSize(to, writeBuffer)
	fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[`, index)
	var line []byte
	for i, c := range changes {
		line = appendEntry(line[:0], i > 0, c.destination, c.status)
		w.Write(line)
	}
	w.WriteString("]}")
	w.Flush()
}

// appendEntry writes one entry of a list, after a comma where it is not the first.
func appendEntry(to []byte, comma bool, destination int, status string) []byte {
	if comma {
		to = append(to, ',')
	}
	return fmt.Appendf(to, `{"name":"endpoint-%07d","address":"127.%d.%d.%d:%d","zone":%q,"type":%q,"group":%d,"status":%q,"weight":5,"since_ms":0}`,
		destination, destination>>16&0xff, destination>>8&0xff, destination&0xff, endpointPort, simulatedZone, simulatedType, destination, status)
}
