package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is how large a world is.
type Shape struct {
	Destinations int
	Endpoints    int // of each
	Hosts        int // addresses at most; 0 for one an endpoint
	Weight       float64
}

// World is a running world, with one forwarder at first.
type World struct {
	*Member
	Endpoints []*Endpoint // those of destination 0 first
	shape     Shape
	hosts     []*host
	members   []*Member
}

// Member is what one forwarder of a world has for itself: its agent, its clients, and the record of what passed at either and of its calls.
type Member struct {
	Log       *Log
	Discovery *Discovery
	Clients   *Clients
	number    int
	ids       atomic.Uint64
	away      atomic.Bool
	ends      atomic.Int64 // of its processes
}

// mostMembers is how many forwarders an id can tell apart.
const mostMembers = 1 << 12

// New starts a world in which all endpoints answer at once.
func New(shape Shape) (*World, error) {
	w := &World{shape: shape}
	if _, err := w.Join(); err != nil {
		return nil, err
	}
	w.Member = w.members[0]
	n := shape.Destinations * shape.Endpoints
	if shape.Hosts <= 0 || shape.Hosts > n {
		shape.Hosts = n
	}
	for range shape.Hosts {
		h, err := listen(w)
		if err != nil {
			w.Close()
			return nil, fmt.Errorf("listening for %d endpoints: %w", n, err)
		}
		w.hosts = append(w.hosts, h)
	}
	var limited *window
	for i := range n {
		if i%shape.Endpoints == 0 {
			limited = &window{}
		}
		h := w.hosts[i%len(w.hosts)]
		e := &Endpoint{Name: fmt.Sprintf("s-%05d", i), Group: i / shape.Endpoints, Address: h.ln.Addr().String(),
			Weight: shape.Weight, limited: limited}
		e.Set(Script{})
		if h.first == nil {
			h.first = e
		}
		h.byGroup[e.Group] = e
		w.Endpoints = append(w.Endpoints, e)
	}
	for _, h := range w.hosts {
		h.wg.Add(1)
		go h.serve()
	}
	w.Set(Serving, w.Endpoints...)
	return w, nil
}

// AddUncalled lists more endpoints, of destinations that no message is for. Nothing listens at their address.
func (w *World) AddUncalled(n int) (added []*Endpoint) {
	for i := range n {
		added = append(added, &Endpoint{Name: fmt.Sprintf("u-%05d", i), Group: w.shape.Destinations + i, Address: "127.0.0.1:1", Weight: w.shape.Weight})
	}
	w.Set(Serving, added...)
	return added
}

// Join adds a forwarder to the world, whose agent knows all endpoints. All forwarders join before any runs.
func (w *World) Join() (*Member, error) {
	if len(w.members) == mostMembers {
		return nil, fmt.Errorf("a world has %d forwarders at most", mostMembers)
	}
	m := &Member{Log: NewLog(), number: len(w.members)}
	m.Clients = &Clients{member: m}
	var err error
	if m.Discovery, err = newDiscovery(m.Log); err != nil {
		return nil, err
	}
	w.members = append(w.members, m)
	if len(w.Endpoints) > 0 {
		m.Discovery.Set(Serving, w.Endpoints...)
	}
	return m, nil
}

// Members are the forwarders of the world.
func (w *World) Members() []*Member { return w.members }

// Set tells the state of endpoints to every agent.
func (w *World) Set(state string, endpoints ...*Endpoint) {
	for _, m := range w.members {
		m.Discovery.Set(state, endpoints...)
	}
}

// Whole has every agent answer watches with the whole list at the next change.
func (w *World) Whole() {
	for _, m := range w.members {
		m.Discovery.Whole()
	}
}

// SetAll tells the states of several endpoints to every agent in one change.
func (w *World) SetAll(states map[*Endpoint]string) {
	for _, m := range w.members {
		m.Discovery.SetAll(states)
	}
}

// Replace takes an endpoint away and gives its address to a new one of another destination. Neither is told of.
func (w *World) Replace(old *Endpoint, destination int) *Endpoint {
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.byGroup[old.Group] == old {
			e := &Endpoint{Name: fmt.Sprintf("r-%05d", len(w.Endpoints)), Group: destination, Address: old.Address, Weight: old.Weight, limited: &window{},
				SinceMS: time.Now().UnixMilli(), Former: old}
			e.Set(*old.script.Load())
			delete(h.byGroup, old.Group)
			h.byGroup[destination] = e
			if h.first == old {
				h.first = e
			}
			w.Endpoints = append(w.Endpoints, e)
			h.mu.Unlock()
			return e
		}
		h.mu.Unlock()
	}
	return nil
}

// Close ends all of it.
func (w *World) Close() {
	for _, m := range w.members {
		m.Discovery.close()
	}
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(h.close)
	}
	wg.Wait()
}

// Of returns the endpoints of a destination.
func (w *World) Of(destination int) []*Endpoint {
	n := w.shape.Endpoints
	return w.Endpoints[destination*n : (destination+1)*n]
}

// Handshakes is how many connections the endpoints have accepted.
func (w *World) Handshakes() (n int64) {
	for _, h := range w.hosts {
		n += h.handshake.Load()
	}
	return n
}

// SetAway says whether the forwarder is being killed and started again.
func (m *Member) SetAway(away bool) {
	if m.away.Store(away); away {
		m.ends.Add(1)
	}
}

// Away tells whether it is.
func (m *Member) Away() bool { return m.away.Load() }

// newID makes an id that tells its destination, so that an address which stands for several
// endpoints knows which of them is called, and its forwarder.
func (m *Member) newID(destination int) string {
	return fmt.Sprintf("%05x%03x%08x", destination, m.number, uint32(m.ids.Add(1)))
}

// of reads an id. The calls of one that nobody made are the first forwarder's.
func (w *World) of(id string) (group int, log *Log, ok bool) {
	if len(id) == 16 {
		n, err := strconv.ParseUint(id[:8], 16, 32)
		if m := int(n % mostMembers); err == nil && m < len(w.members) {
			return int(n / mostMembers), w.members[m].Log, true
		}
	}
	return 0, w.Log, false
}

// Config is what a forwarder in this world is told.
type Config struct {
	Name       string // default n1
	Forwarders int    // default 1
	Discovery  string // default the agent's own address
	MustAsk    bool

	Listen   string // default 127.0.0.1:0
	Slots    int
	MaxHeld  int
	Sockets  int
	MemoryMB int
	DiskMB   float64
	Left     time.Duration // longest life of a message
	Seed     uint64
	Weights  string // what the weights of endpoints mean; default nothing

	Known          json.RawMessage // the list of the configuration; default the present one
	DrainGrace     time.Duration   // default 1 s
	ConnectTimeout time.Duration   // default 1 s
}

// The classes in this world.
const (
	Safe   = "status-update"
	Unsafe = "signature-handover"
)

// Write is the configuration as the platform would write it.
func (c Config) Write(w *World) []byte { return c.For(w.Member) }

// For is that of one forwarder.
func (c Config) For(w *Member) []byte {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Weights == "" {
		c.Weights = "silent"
	}
	if c.DrainGrace == 0 {
		c.DrainGrace = time.Second
	}
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = time.Second
	}
	ms := float64(c.Left.Milliseconds())
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "OnTime": ms / 4, "Deadline": ms, "Worth": worth, "LateShare": 0.4}
	}
	if c.Known == nil {
		c.Known = w.Discovery.List()
	}
	if c.Discovery == "" {
		c.Discovery = w.Discovery.Address()
	}
	if c.Name == "" {
		c.Name = "n1"
	}
	if c.Forwarders == 0 {
		c.Forwarders = 1
	}
	mode := "automatic"
	if c.MustAsk {
		mode = "subscribe"
	}
	text, err := json.Marshal(map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", c.Seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets, "disk_mb": c.DiskMB},
		"known":  c.Known,
		"settings": map[string]any{
			"Azs": []string{"a"}, "Kinds": []string{"std"}, "Siblings": c.Forwarders, "Weights": c.Weights, "Discovery": mode,
			"Tenants": []string{}, "Locality": "a",
			"FamilyInfo": map[string]any{"Workers": c.Slots, "Late": "line", "PerCall": []int{1},
				"SeparateRoutes": []bool{false}, "Carriage": []float64{0}},
			"Limits": map[string]any{"MaxOpen": c.MaxHeld, "MaxAttempts": 6, "ConnIdle": 15000.0, "ConnectTimeout": float64(c.ConnectTimeout.Milliseconds()),
				"Cancel": true, "MaxRetryAfter": 3000.0, "RetryAfter": true},
			"Costs": map[string]any{"Handshake": 0.06},
			"Invariants": map[string]any{"Cold": 9500.0, "DrainGrace": float64(c.DrainGrace.Milliseconds()), "Fall": 3000.0, "StartCapacity": 0.2,
				"TipMultiple": 2.0, "KeyRest": 100.0},
			"Classes": []any{class(Safe, "pure", 1), class(Unsafe, "side_effect", 3)},
		},
	})
	if err != nil {
		panic(err) // plain values: it can't be
	}
	return text
}

// Times collects durations.
type Times struct {
	mu   sync.Mutex
	list []time.Duration
}

// Add adds one.
func (t *Times) Add(d time.Duration) {
	t.mu.Lock()
	t.list = append(t.list, d)
	t.mu.Unlock()
}

// Spread tells the middle of them, what 99 in 100 stay under, and the longest.
func (t *Times) Spread() (p50, p99, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(t.list)
	return t.list[len(t.list)/2], t.list[len(t.list)*99/100], t.list[len(t.list)-1]
}

// Deliveries are the times from when a message was first handed in to its delivery, of those that keep says.
func (l *Log) Deliveries(keep func(*Handed) bool) *Times {
	l.mu.Lock()
	defer l.mu.Unlock()
	handed := map[string]*Handed{}
	for _, h := range l.handed {
		if keep(h) {
			handed[h.ID] = h
		}
	}
	t := &Times{}
	for _, c := range l.calls {
		if h := handed[c.ID]; c.Ran == Yes && h != nil {
			t.list = append(t.list, c.Ended.Sub(h.Sent))
			delete(handed, c.ID)
		}
	}
	return t
}

// Each shows all of them.
func (t *Times) Each(show func(time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.list {
		show(d)
	}
}
