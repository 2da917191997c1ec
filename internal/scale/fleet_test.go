package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/config"
	"scaleroute/internal/control/client"
	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
	"scaleroute/internal/standin"
)

const (
	testNodes        = 100 // simulated
	testReals        = 4
	testControls     = 2
	testDestinations = 60
	testEndpoints    = 2 // of each destination
	answerTime       = 20 * time.Millisecond
	downTime         = 500 * time.Millisecond // of one destination after the other
	patience         = 100 * time.Second
)

var testLayout = ownership.Layout{Partitions: 1 << 11, Replicas: 3}

// wellScript is so slow that a busy machine is not taken for an endpoint that is silent. downScript takes no new connection, and fails on open ones.
var (
	wellScript = standin.Script{Latency: answerTime, Jitter: answerTime}
	downScript = standin.Script{Latency: answerTime, Refusing: true, Errors: 1}
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) // a hundred nodes warn of each fault
	if len(os.Args) == 2 && os.Args[1] == hostCommand {
		if Host(os.Stdin, os.Stdout) != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// scaledFleet is a fleet of real forwarders and simulated nodes with its control servers, in a world whose endpoints note what arrives.
type scaledFleet struct {
	t        *testing.T
	ctx      context.Context
	dir      string
	rig      *fleet.Rig
	upstream *standin.Member // discovery as the control servers ask it
	controls []*testControl
	near     []*fleet.Edge // to the control servers, of most nodes
	far      []*fleet.Edge // the same, of the last node and the last real forwarder
	nodes    []*Node
	taps     []*tap // by real forwarder, of each control server
	start    *Start // of all nodes
}

// testControl is a control server that is killed and started again.
type testControl struct {
	command []string
	process *fleet.Process
}

func (c *testControl) run(t *testing.T) {
	t.Helper()
	var err error
	if c.process, err = fleet.Launch(c.command, os.Environ(), nil, nil); err != nil {
		t.Fatal(err)
	}
	if err := c.process.Ready(); err != nil {
		t.Fatal(err)
	}
}

func (c *testControl) kill(t *testing.T) {
	t.Helper()
	if err := c.process.Kill(); err != nil {
		t.Fatal(err)
	}
}

// buildPrograms builds the real programs.
func buildPrograms(t *testing.T, dir string) {
	t.Helper()
	if _, err := exec.LookPath("go"); err != nil {
		t.Fatal("the programs are built by go: ", err)
	}
	if text, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir, "scaleroute/cmd/scaleroute", "scaleroute/cmd/scaleroute-control").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
}

// newScaledFleet starts control servers, nodes and real forwarders, and waits until all know each other.
func newScaledFleet(t *testing.T) *scaledFleet {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	f := &scaledFleet{t: t, ctx: ctx, dir: t.TempDir()}
	buildPrograms(t, f.dir)
	var err error
	f.rig, err = fleet.New(fleet.Shape{Forwarders: testReals, Destinations: testDestinations, Targets: testEndpoints, Left: 4 * time.Second, Seed: 1,
		Command: []string{filepath.Join(f.dir, "scaleroute")}, Set: []byte("{}"), Dir: f.dir})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.rig.Close)
	for _, e := range f.rig.World.Endpoints {
		e.Set(wellScript)
	}
	if f.upstream, err = f.rig.World.Join(); err != nil {
		t.Fatal(err)
	}
	f.startControls()
	f.near, f.far = f.newEdges(), f.newEdges()
	f.startNodes()
	f.startReals()
	f.awaitMembers(testNodes + testReals)
	return f
}

func (f *scaledFleet) startControls() {
	addresses := make([]string, testControls)
	for i := range addresses {
		var err error
		if addresses[i], err = fleet.FreePort(); err != nil {
			f.t.Fatal(err)
		}
	}
	for i, address := range addresses {
		name := fmt.Sprintf("control-%d", i)
		state := filepath.Join(f.dir, name)
		if err := os.MkdirAll(state, 0o700); err != nil {
			f.t.Fatal(err)
		}
		flags := append(controlFlags(name, address, f.upstream.Discovery.Address(), state, addresses, testLayout), "--lease=2s", "--settle=500ms", "--publish=100ms")
		c := &testControl{command: append([]string{filepath.Join(f.dir, "scaleroute-control")}, flags...)}
		c.run(f.t)
		f.t.Cleanup(func() { c.process.Kill() })
		f.controls = append(f.controls, c)
	}
	for _, address := range addresses {
		if err := awaitList(address); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *scaledFleet) newEdges() (edges []*fleet.Edge) {
	for _, c := range f.controls {
		e, err := fleet.NewEdge("127.0.0.1:0", c.process.Address(), 1)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(e.Close)
		edges = append(edges, e)
	}
	return edges
}

func (f *scaledFleet) startNodes() {
	file := filepath.Join(f.dir, "simulated.json")
	if err := writeConfig(file, "simulated", f.upstream.Discovery.Address(), testNodes+testReals, 1); err != nil {
		f.t.Fatal(err)
	}
	f.start = &Start{Mechanism: PartialList, Config: file, Partial: Partial{Replicas: testLayout.Replicas, Partitions: testLayout.Partitions, Cached: 256, LookupBytes: 1500, Fleet: testNodes + testReals}}
	f.nodes = make([]*Node, testNodes)
	for i := range f.nodes {
		f.startNode(i)
	}
	f.t.Cleanup(func() { closeAll(f.nodes) })
}

// startNode starts one node, again or for the first time.
func (f *scaledFleet) startNode(number int) {
	start := *f.start
	start.Addresses = addressesOf(f.near)
	if number == testNodes-1 {
		start.Addresses = addressesOf(f.far)
	}
	c, err := config.ReadFile(start.Config)
	if err != nil {
		f.t.Fatal(err)
	}
	c.Settings.Seed += uint64(number)
	if f.nodes[number], err = startNode(&start, number, c.Settings); err != nil {
		f.t.Fatal(err)
	}
}

func closeAll(nodes []*Node) {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(n.Close)
	}
	all.Wait()
}

// startReals starts the real forwarders. Their configuration names no endpoint: all that they know comes from control servers, by way of taps that note it.
func (f *scaledFleet) startReals() {
	for i, n := range f.rig.Nodes {
		n.Discovery.Set(standin.Deleted, f.rig.World.Endpoints...)
		edges := f.near
		if i == testReals-1 {
			edges = f.far
		}
		set := operator.Default()
		set.Control = &operator.Control{Partitions: testLayout.Partitions, Replicas: testLayout.Replicas, MaxFetched: 256, LookupBytesPerSecond: 20_000}
		for _, e := range edges {
			tap := newTap(f.t, e.Address(), n.Log)
			f.taps = append(f.taps, tap)
			set.Control.Servers = append(set.Control.Servers, tap.address())
		}
		text, err := json.Marshal(set)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := n.SetOperators(text); err != nil {
			f.t.Fatal(err)
		}
	}
	if err := f.rig.Start(f.ctx); err != nil {
		f.t.Fatal(err)
	}
}

// awaitMembers waits until all nodes and real forwarders know so many members, and have their parts.
func (f *scaledFleet) awaitMembers(members int) {
	f.t.Helper()
	for _, n := range f.nodes {
		if err := n.source.(*partialList).awaitMembers(f.ctx, members); err != nil {
			f.t.Fatalf("%s: %v", n.Name, err)
		}
	}
	for _, n := range f.rig.Nodes {
		for {
			s := f.status(n)
			if s.Members == members && s.Complete {
				break
			}
			if err := pause(f.ctx, memberPause); err != nil {
				f.t.Fatalf("%s knows %d members, %d are awaited: %v; its log ends:\n%s", n.Name, s.Members, members, err, n.Process().Tail())
			}
		}
	}
}

// status is how a real forwarder stands with the control servers.
func (f *scaledFleet) status(n *fleet.Node) (s client.Status) {
	f.t.Helper()
	text, err := door.NewClientWithTimeout(n.Process().Door(), patience).Call(f.ctx, "GET", "/control")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	if err != nil {
		f.t.Fatalf("%s: %v", n.Name, err)
	}
	return s
}

// change has discovery tell a state of endpoints, and returns its index.
func (f *scaledFleet) change(state string, endpoints ...*standin.Endpoint) int64 {
	f.upstream.Discovery.Set(state, endpoints...)
	return f.upstream.Discovery.Index()
}

// awaitChange waits until a change of endpoints is in force in all nodes that own their destinations.
func (f *scaledFleet) awaitChange(index int64, endpoints ...*standin.Endpoint) (concerned int) {
	f.t.Helper()
	var destinations []int
	for _, e := range endpoints {
		destinations = append(destinations, e.Group)
	}
	for _, n := range f.nodes {
		if !n.source.concerns(destinations) {
			continue
		}
		concerned++
		if _, err := n.clock.reached(f.ctx, index); err != nil {
			f.t.Fatalf("%s: %v", n.Name, err)
		}
	}
	return concerned
}

// awaitTold waits until a real forwarder was told a state of an endpoint.
func (f *scaledFleet) awaitTold(n *fleet.Node, e *standin.Endpoint, state string) {
	f.t.Helper()
	if !n.Log.Await(patience, func(s *standin.State) bool {
		return slices.ContainsFunc(s.Told(), func(t standin.Told) bool { return t.Endpoint == e.Name && t.State == state })
	}) {
		f.t.Fatalf("%s was not told that %s is %s", n.Name, e.Name, state)
	}
}

// awaitDelivered waits until a real forwarder has made so many calls that ran since a time.
func (f *scaledFleet) awaitDelivered(n *fleet.Node, since time.Time, count int) {
	f.t.Helper()
	if !n.Log.Await(patience, func(s *standin.State) bool {
		ran := 0
		for _, c := range s.Calls() {
			if c.First.After(since) && c.Ran == standin.Yes {
				ran++
			}
		}
		return ran >= count
	}) {
		f.t.Fatalf("%s has delivered fewer than %d messages", n.Name, count)
	}
}

// owned finds a real forwarder that owns a destination, and that destination's endpoints.
func (f *scaledFleet) owned(not int) (*fleet.Node, []*standin.Endpoint) {
	f.t.Helper()
	names := f.names()
	for destination := range testDestinations {
		for _, owner := range testLayout.Owners(testLayout.PartitionOf(destination), names) {
			if n := f.rig.Node(owner); n != nil && destination != not {
				return n, f.rig.World.Of(destination)
			}
		}
	}
	f.t.Fatal("no real forwarder owns a destination")
	return nil, nil
}

func (f *scaledFleet) names() (names []string) {
	for _, n := range f.nodes {
		names = append(names, n.Name)
	}
	for _, n := range f.rig.Nodes {
		names = append(names, n.Name)
	}
	return names
}

// TestScaledFleet: a hundred simulated nodes, four real forwarders and two control servers, with one fault after the other, while one of the sixty destinations, ever
// another, is down. Changes are in force again after each fault, and by the endpoints' own record the real forwarders break no rule.
func TestScaledFleet(t *testing.T) {
	f := newScaledFleet(t)
	over := make(chan struct{})
	wait := f.rig.Load(20, 4, 100, over)
	down := f.haveOneDown(over)
	stop := sync.OnceFunc(func() {
		close(over)
		wait()
		if down() < 2 {
			t.Error("no two destinations were down")
		}
	})
	defer stop()
	for _, fault := range []struct {
		name string
		play func(*scaledFleet)
	}{
		{"a control server is killed in the middle of an answer, and starts again", (*scaledFleet).killInAnswer},
		{"an edge is cut and healed", (*scaledFleet).cutEdge},
		{"an endpoint is withdrawn while its part moves", (*scaledFleet).withdrawInMove},
		{"a fifth of the nodes is gone at once, and back", (*scaledFleet).loseFifth},
		{"all control servers are dead, and a drain received before holds", (*scaledFleet).killAllControls},
	} {
		began := time.Now()
		fault.play(f)
		t.Logf("%s: %v", fault.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	if open := f.rig.Settle(f.rig.Nodes, 6*time.Second); open > 0 {
		t.Errorf("%d messages are not over", open)
	}
	v := f.rig.Check(standin.Rules)
	t.Logf("%d messages handed in, %d delivered, %d rejected, %d failed", v.Handed, v.Delivered, v.Refused, v.Failed)
	if v.Broken() || v.Delivered == 0 {
		t.Errorf("%+v", v)
	}
}

// haveOneDown has one destination after the other be down until over; wait returns how many have been.
func (f *scaledFleet) haveOneDown(over <-chan struct{}) (wait func() int) {
	count := make(chan int, 1)
	go func() {
		next := time.NewTicker(downTime)
		defer next.Stop()
		for destination := 0; ; destination++ {
			endpoints := f.rig.World.Of(destination % testDestinations)
			setAll(endpoints, downScript)
			select {
			case <-next.C:
			case <-over:
				setAll(endpoints, wellScript)
				count <- destination + 1
				return
			}
			setAll(endpoints, wellScript)
		}
	}()
	return func() int { return <-count }
}

func setAll(endpoints []*standin.Endpoint, script standin.Script) {
	for _, e := range endpoints {
		e.Set(script)
	}
}

// killInAnswer kills a control server while it sends what has changed, piece by piece.
func (f *scaledFleet) killInAnswer() {
	slow := fleet.Fault{Piece: 32, Delay: 20 * time.Millisecond}
	f.near[0].Set(slow)
	before := f.near[0].Passed()
	var changed []*standin.Endpoint
	for destination := range testDestinations {
		changed = append(changed, f.rig.World.Of(destination)[1])
	}
	index := f.change(standin.Draining, changed...)
	for f.near[0].Passed() < before+64 { // an answer is under way
		if err := pause(f.ctx, time.Millisecond); err != nil {
			f.t.Fatal(err)
		}
	}
	f.controls[0].kill(f.t)
	if concerned := f.awaitChange(index, changed...); concerned < testNodes/2 {
		f.t.Errorf("the change concerned %d nodes", concerned)
	}
	f.near[0].Set(fleet.Fault{})
	f.controls[0].run(f.t)
	f.awaitChange(f.change(standin.Serving, changed...), changed...)
	f.awaitMembers(testNodes + testReals)
}

// cutEdge cuts one node and one real forwarder off, with a change meanwhile.
func (f *scaledFleet) cutEdge() {
	for _, e := range f.far {
		e.Set(fleet.Fault{Cut: true})
	}
	var changed []*standin.Endpoint
	for destination := range testDestinations {
		changed = append(changed, f.rig.World.Of(destination)[0])
	}
	index := f.change(standin.Draining, changed...)
	real := f.rig.Nodes[testReals-1]
	f.awaitDelivered(real, time.Now(), 5) // by what it knew
	for _, e := range f.far {
		e.Set(fleet.Fault{})
	}
	f.awaitChange(index, changed...)
	f.awaitChange(f.change(standin.Serving, changed...), changed...)
	f.awaitMembers(testNodes + testReals)
}

// withdrawInMove has an owner of a destination leave in the moment in which an endpoint of it is withdrawn: who owns it next must not know that endpoint.
func (f *scaledFleet) withdrawInMove() {
	owner, destination := f.simulatedOwner()
	gone := f.rig.World.Of(destination)[1]
	var left sync.WaitGroup
	left.Go(func() {
		if err := f.nodes[owner].Leave(); err != nil {
			f.t.Error(err)
		}
	})
	index := f.change(agent.Deleted, gone)
	left.Wait()
	f.nodes = slices.Delete(f.nodes, owner, owner+1)
	f.awaitMembers(len(f.nodes) + testReals)
	f.awaitChange(index, gone)
	for _, n := range f.nodes {
		for _, e := range n.source.(*partialList).follower.Save().Known.Endpoints {
			if e.Name == gone.Name {
				f.t.Errorf("%s knows %s as %s, which was withdrawn", n.Name, e.Name, e.Status)
			}
		}
	}
	f.checkUncalled(gone, time.Now())
}

// simulatedOwner finds a node that owns a destination.
func (f *scaledFleet) simulatedOwner() (number, destination int) {
	f.t.Helper()
	for number, n := range f.nodes {
		for destination := range testDestinations {
			if n.source.concerns([]int{destination}) {
				return number, destination
			}
		}
	}
	f.t.Fatal("no node owns a destination")
	return 0, 0
}

// loseFifth ends a fifth of the nodes without a word, waits until their parts have moved, and has them back at once.
func (f *scaledFleet) loseFifth() {
	lost := len(f.nodes) / 5
	closeAll(f.nodes[:lost])
	names := f.nodes[:lost:lost]
	f.nodes = f.nodes[lost:]
	f.awaitMembers(len(f.nodes) + testReals)
	index := f.change(standin.Draining, f.rig.World.Of(0)[0])
	f.awaitChange(index, f.rig.World.Of(0)[0])
	back := make([]*Node, testNodes)
	f.nodes, back = back, f.nodes
	for _, n := range names {
		f.startNode(numberOf(f.t, n.Name))
	}
	f.nodes = slices.Concat(slices.DeleteFunc(f.nodes, func(n *Node) bool { return n == nil }), back)
	f.awaitMembers(len(f.nodes) + testReals)
	f.awaitChange(f.change(standin.Serving, f.rig.World.Of(0)[0]), f.rig.World.Of(0)[0])
}

func numberOf(t *testing.T, name string) (number int) {
	t.Helper()
	if _, err := fmt.Sscanf(name, "simulated-%d", &number); err != nil {
		t.Fatal(err)
	}
	return number
}

// killAllControls has a real forwarder receive a drain, kills all control servers, and has messages delivered still; then the servers come back and tell a change.
func (f *scaledFleet) killAllControls() {
	owner, endpoints := f.owned(0)
	f.change(standin.Draining, endpoints[0])
	f.awaitTold(owner, endpoints[0], standin.Draining)
	for _, c := range f.controls {
		c.kill(f.t)
	}
	for _, n := range f.rig.Nodes {
		f.awaitDelivered(n, time.Now(), 10)
	}
	for _, c := range f.controls {
		c.run(f.t)
	}
	f.awaitMembers(len(f.nodes) + testReals)
	other := f.rig.World.Of(endpoints[0].Group)[1]
	f.awaitChange(f.change(standin.Draining, other), other)
	f.awaitTold(owner, other, standin.Draining)
	f.change(standin.Serving, endpoints...)
}

// checkUncalled: no real forwarder has a call to an endpoint that began so late after it was withdrawn that it must have known.
func (f *scaledFleet) checkUncalled(e *standin.Endpoint, withdrawn time.Time) {
	f.t.Helper()
	f.t.Cleanup(func() {
		for _, n := range f.rig.Nodes {
			if count, last := n.Arrived(e.Name, withdrawn.Add(standin.Rules.Drain+lookupStale), time.Time{}); count > 0 {
				f.t.Errorf("%s has called %s %d times after it was withdrawn, last %v later", n.Name, e.Name, count, last.Sub(withdrawn))
			}
		}
	})
}

// lookupStale is how long a forwarder may go on by what it looked up before: until the watch that it holds tells the change.
const lookupStale = 5 * time.Second
