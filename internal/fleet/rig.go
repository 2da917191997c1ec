package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/standin"
)

// Shape is a fleet and the world that it runs in.
type Shape struct {
	Forwarders   int
	Destinations int
	Targets      int // of each
	Zones        int
	Slots        int
	Left         time.Duration // longest life of a message
	DiskMB       float64
	MemoryMB     int
	Seed         uint64
	MustAsk      bool  // discovery has to be asked
	FirstList    bool  // each start is configured with the list of the forwarder's first start, as an old one
	Inherited    bool  // each forwarder's socket for clients is held for it, and outlasts its processes
	Sockets      int   // descriptors of a forwarder; 0: 1024
	Mesh         *Mesh // each gossips through it; nil: as operators have set. Closed with the rig

	Command []string      // the daemon; the operators' file is added
	Env     []string      // beside what it is told
	Grace   time.Duration // of drains; 0: the default
	Connect time.Duration // time-out of a connection being established; 0: the default
	Set     []byte        // what operators have set, resolved; nil: nothing
	Dir     string        // for folders and files; it must exist
	Told    func(node, line string)
}

// Rig is a fleet that runs.
type Rig struct {
	Shape
	World *standin.World
	Nodes []*Node
	began time.Time

	mu     sync.Mutex
	events []Event
}

// Node is one forwarder: its processes, its folder, its edges.
type Node struct {
	*standin.Member
	Name, Zone string
	Env        []string         // of processes that are started from now on, beside what all have
	List       *Edge            // to its agent
	Front      *Edge            // from its clients
	To         map[string]*Edge // to targets, by name
	rig        *Rig
	number     int

	mu      sync.Mutex
	process *Process
	command []string
	socket  *os.File // for clients, where it is held
	folder  string
	stopped bool
	cpu     time.Duration // of those that have ended
	peakKB  int64
	starts  int
	first   json.RawMessage // the list of the first configuration
	touched time.Time       // its folder was, then: it does not tell of what was before, and what it held is gone
}

// Event is something that was done to the fleet, or seen of it.
type Event struct {
	At   time.Duration // since the start
	Node string
	What string
	Text string
}

// New makes a fleet, and starts none of it.
func New(s Shape) (*Rig, error) {
	switch {
	case s.Forwarders < 1 || s.Forwarders > 1000:
		return nil, fmt.Errorf("%d forwarders: from 1 to 1000", s.Forwarders)
	case s.Destinations < 1 || s.Targets < 1 || s.Destinations*s.Targets*s.Forwarders > 20_000:
		return nil, fmt.Errorf("%d destinations with %d targets each for %d forwarders: 20,000 edges at most", s.Destinations, s.Targets, s.Forwarders)
	case len(s.Command) == 0:
		return nil, errors.New("no program")
	}
	w, err := standin.New(standin.Shape{Destinations: s.Destinations, Endpoints: s.Targets})
	if err != nil {
		return nil, err
	}
	r := &Rig{Shape: s, World: w, began: time.Now()}
	for i := range s.Forwarders {
		if err := r.join(i); err != nil {
			r.Close()
			return nil, err
		}
	}
	return r, nil
}

func (r *Rig) join(i int) (err error) {
	n := &Node{Member: r.World.Member, Name: fmt.Sprintf("n%d", i+1), Zone: string(rune('a' + i%max(1, r.Zones))), To: map[string]*Edge{}, rig: r, number: i, command: r.Command}
	if i > 0 {
		if n.Member, err = r.World.Join(); err != nil {
			return err
		}
	}
	r.Nodes = append(r.Nodes, n)
	seed := r.Seed + uint64(i)<<20
	if n.List, err = NewEdge("127.0.0.1:0", n.Discovery.Address(), seed); err != nil {
		return err
	}
	if n.Front, err = NewEdge("127.0.0.1:0", "127.0.0.1:1", seed+1); err != nil {
		return err
	}
	n.Clients.At(n.Front.Address())
	if r.Inherited {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer ln.Close()
		if n.socket, err = ln.(*net.TCPListener).File(); err != nil {
			return err
		}
	}
	for _, e := range r.World.Endpoints {
		if err := n.lead(e, seed); err != nil {
			return err
		}
	}
	n.Discovery.Where(n.where)
	n.folder = filepath.Join(r.Dir, n.Name, "state")
	return os.MkdirAll(n.folder, 0o700)
}

// FreePort finds a port that nobody has now, for TCP and UDP, below those that the system gives away: one of these may be gone by the time that it is used.
func FreePort() (address string, err error) { return freePort("127.0.0.1") }

func freePort(ip string) (address string, err error) {
	for range 100 {
		address = fmt.Sprintf("%s:%d", ip, 18000+rand.IntN(14000))
		ln, err1 := net.Listen("tcp", address)
		if err = err1; err != nil {
			continue
		}
		conn, err1 := net.ListenPacket("udp", address)
		ln.Close()
		if err = err1; err == nil {
			conn.Close()
			return address, nil
		}
	}
	return "", err
}

func (n *Node) lead(e *standin.Endpoint, seed uint64) error {
	edge, err := NewEdge("127.0.0.1:0", e.Address, seed+uint64(len(n.To))+2)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.To[e.Name] = edge
	n.mu.Unlock()
	return nil
}

func (n *Node) where(e *standin.Endpoint) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if edge := n.To[e.Name]; edge != nil {
		return edge.Address()
	}
	return e.Address
}

// Replace takes a target away, and gives its address, as every forwarder knows it, to a new one of another destination.
func (r *Rig) Replace(old *standin.Endpoint, destination int) *standin.Endpoint {
	e := r.World.Replace(old, destination)
	if e == nil {
		return nil
	}
	for _, n := range r.Nodes {
		n.mu.Lock()
		n.To[e.Name] = n.To[old.Name]
		n.mu.Unlock()
	}
	return e
}

// Note keeps an event.
func (r *Rig) Note(node, what, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{time.Since(r.began), node, what, text})
}

// Events are what was noted, in order.
func (r *Rig) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Began is when the rig was made.
func (r *Rig) Began() time.Time { return r.began }

// Node finds one by its name.
func (r *Rig) Node(name string) *Node {
	if i := slices.IndexFunc(r.Nodes, func(n *Node) bool { return n.Name == name }); i >= 0 {
		return r.Nodes[i]
	}
	return nil
}

// Twin starts a second process of the same name, with a folder and addresses of its own, as by a mistake of whoever deploys.
func (n *Node) Twin(name string, gossip string) (*Process, error) {
	r := n.rig
	dir := filepath.Join(r.Dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return nil, err
	}
	command := append(slices.Clone(n.command), "-operators", n.OperatorsFile())
	env := append(os.Environ(), "NODE_CONFIG="+filepath.Join(r.Dir, n.Name, "config.json"), "NODE_STATE="+filepath.Join(dir, "state"), "NODE_OPS=127.0.0.1:0", "TMPDIR="+dir, "NODE_GOSSIP="+gossip)
	p, err := Launch(command, append(env, r.Env...), nil, nil)
	if err != nil {
		return nil, err
	}
	return p, p.Ready()
}

// OperatorsFile is where a forwarder reads what operators have set.
func (n *Node) OperatorsFile() string { return filepath.Join(n.rig.Dir, n.Name, "operators.json") }

// SetOperators writes it, whole; the forwarder reads it at a start or a SIGHUP.
func (n *Node) SetOperators(text []byte) error { return replace(n.OperatorsFile(), text) }

// replace writes a file whole: a process that runs may read it at any time.
func replace(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Start starts all that do not run, some at a time.
func (r *Rig) Start(ctx context.Context) error {
	var all sync.WaitGroup
	errs := make([]error, len(r.Nodes))
	turn := make(chan struct{}, 32)
	for i, n := range r.Nodes {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			if ctx.Err() == nil {
				errs[i] = n.Start()
			}
		})
	}
	all.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

// Start starts a forwarder with its folder as it is, and waits until it serves.
func (n *Node) Start() error {
	p, err := n.Next()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.stopped = p, false
	n.mu.Unlock()
	if err := p.Ready(); err != nil {
		return fmt.Errorf("%s: %w", n.Name, err)
	}
	n.Front.To(p.Address())
	return nil
}

// Next starts a process on the forwarder's folder, beside one that may run: that is an upgrade. It does not wait until it serves.
func (n *Node) Next() (*Process, error) {
	r := n.rig
	c := standin.Config{Name: n.Name, Forwarders: r.Forwarders, Discovery: n.List.Address(), MustAsk: r.MustAsk, Slots: max(8, r.Slots), Sockets: cmp.Or(r.Sockets, 1024),
		MemoryMB: max(64, r.MemoryMB), DiskMB: max(3, r.DiskMB), Left: r.Left, DrainGrace: r.Grace, ConnectTimeout: r.Connect, Seed: r.Seed + uint64(n.number)<<20 + uint64(n.starts)}
	if r.FirstList {
		if n.first == nil {
			n.first = n.Discovery.List()
		}
		c.Known = n.first
	}
	file := filepath.Join(r.Dir, n.Name, "config.json")
	if err := replace(file, c.For(n.Member)); err != nil {
		return nil, err
	}
	command := slices.Clone(n.command)
	if r.Set != nil {
		if _, err := os.Stat(n.OperatorsFile()); errors.Is(err, os.ErrNotExist) {
			if err := n.SetOperators(r.Set); err != nil {
				return nil, err
			}
		}
		command = append(command, "-operators", n.OperatorsFile())
	}
	env := append(os.Environ(), "NODE_CONFIG="+file, "NODE_STATE="+n.folder, "NODE_OPS=127.0.0.1:0", "TMPDIR="+filepath.Join(r.Dir, n.Name))
	if r.Mesh != nil {
		env = append(env, "NODE_GOSSIP="+r.Mesh.Listen(n.number), "NODE_GOSSIP_ADVERTISE="+r.Mesh.Told(n.number))
	}
	told := func(line string) {
		if r.Told != nil {
			r.Told(n.Name, line)
		}
	}
	n.mu.Lock()
	n.starts++
	n.mu.Unlock()
	var files []*os.File
	if n.socket != nil {
		files, env = []*os.File{n.socket}, append(env, "NODE_SOCKET_FD=3")
	}
	p, err := Launch(command, slices.Concat(env, r.Env, n.Env), files, told)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", n.Name, err)
	}
	return p, nil
}

// Take has clients go to a process that has taken over, and the one before counted.
func (n *Node) Take(p *Process) error {
	if err := p.Ready(); err != nil {
		return fmt.Errorf("%s: %w", n.Name, err)
	}
	n.mu.Lock()
	if old := n.process; old != nil && old != p {
		n.cpu += old.CPU()
		n.peakKB = max(n.peakKB, old.Measure())
	}
	n.process = p
	n.mu.Unlock()
	n.Front.To(p.Address())
	return nil
}

// Edge is the one to a target.
func (n *Node) Edge(target string) *Edge {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.To[target]
}

// Process is the one that runs, or ran last.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Folder is where its state is.
func (n *Node) Folder() string { return n.folder }

// Kill ends its process with SIGKILL.
func (n *Node) Kill() error { return n.end((*Process).Kill) }

// End ends it in order.
func (n *Node) End() error {
	return n.end(func(p *Process) error { return p.End(3700 * time.Millisecond) })
}

func (n *Node) end(how func(*Process) error) error {
	p := n.Process()
	if p == nil {
		return nil
	}
	n.SetAway(true)
	err := how(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cpu += p.CPU()
	n.peakKB = max(n.peakKB, p.Measure())
	n.process = nil
	return err
}

// Restart ends its process and starts it anew, with what between does meanwhile.
func (n *Node) Restart(end func() error, between func() error) error {
	ended := time.Now()
	if err := end(); err != nil {
		return err
	}
	gone := time.Now()
	if between != nil {
		if err := between(); err != nil {
			return err
		}
	}
	if err := n.Start(); err != nil {
		return err
	}
	n.SetAway(false)
	n.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
	return nil
}

// Stop stops its process, which knows nothing of it, until Continue.
func (n *Node) Stop() error { return n.hold(syscall.SIGSTOP, true) }

// Continue has it go on.
func (n *Node) Continue() error { return n.hold(syscall.SIGCONT, false) }

func (n *Node) hold(s syscall.Signal, stopped bool) error {
	p := n.Process()
	if p == nil {
		return fmt.Errorf("%s does not run", n.Name)
	}
	n.mu.Lock()
	n.stopped = stopped
	n.mu.Unlock()
	return p.Signal(s)
}

// Stopped tells whether it is stopped.
func (n *Node) Stopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// LoseFolder empties its folder; DamageFolder flips bits in its files.
func (n *Node) LoseFolder() error {
	n.touch()
	if err := os.RemoveAll(n.folder); err != nil {
		return err
	}
	return os.MkdirAll(n.folder, 0o700)
}

// DamageFolder flips a bit in one of each thousand bytes of its files, from the head on.
func (n *Node) DamageFolder(seed uint64) error {
	n.touch()
	rng := rand.New(rand.NewPCG(seed, 0xda))
	files, err := os.ReadDir(n.folder)
	if err != nil {
		return err
	}
	for _, f := range files {
		path := filepath.Join(n.folder, f.Name())
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for range len(text)/1000 + 1 {
			if len(text) > 0 {
				text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// SwapFolders gives two forwarders that do not run each other's folder.
func SwapFolders(a, b *Node) {
	a.touch()
	b.touch()
	a.folder, b.folder = b.folder, a.folder
}

func (n *Node) touch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.touched = time.Now()
}

// Touched tells whether its folder was: that is the end of a machine, and what it held is lost with it.
func (n *Node) Touched() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.touched.IsZero()
}

// Edges are all of a node's of one kind: list, clients, targets or all.
func (n *Node) Edges(kind string) (list []*Edge) {
	if kind == "list" || kind == "all" {
		list = append(list, n.List)
	}
	if kind == "clients" || kind == "all" {
		list = append(list, n.Front)
	}
	if kind == "targets" || kind == "all" {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, name := range slices.Sorted(maps.Keys(n.To)) {
			list = append(list, n.To[name])
		}
	}
	return list
}

// Between says what is wrong on the edges between some members and all others; where those are all, between any two. Up is from them.
func (r *Rig) Between(who []*Node, f Fault) {
	if r.Mesh == nil {
		return
	}
	for _, a := range who {
		for _, b := range r.Nodes {
			if len(who) == len(r.Nodes) && a.number < b.number || len(who) < len(r.Nodes) && !slices.Contains(who, b) {
				r.Mesh.Set(a.number, b.number, f)
			}
		}
	}
}

// Used is the processor's time and the largest memory, in KiB, of all its processes.
func (n *Node) Used() (time.Duration, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return n.cpu, n.peakKB
	}
	return n.cpu + n.process.CPU(), max(n.peakKB, n.process.Measure())
}

// Close ends all of it.
func (r *Rig) Close() {
	var all sync.WaitGroup
	for _, n := range r.Nodes {
		all.Go(func() {
			if p := n.Process(); p != nil {
				p.Kill()
			}
		})
	}
	all.Wait()
	for _, n := range r.Nodes {
		if n.socket != nil {
			n.socket.Close()
		}
	}
	closed := map[*Edge]bool{} // an address that was given to another is an edge of both
	for _, n := range r.Nodes {
		for _, e := range n.Edges("all") {
			if e != nil && !closed[e] {
				closed[e] = true
				all.Go(e.Close)
			}
		}
	}
	r.World.Close()
	if r.Mesh != nil {
		r.Mesh.Close()
	}
	all.Wait()
}
