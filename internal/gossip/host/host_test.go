package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"scaleroute/internal/gossip"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// testNode is a member of a small fleet within the test process.
type testNode struct {
	node    *Node
	addr    string
	mu      sync.Mutex
	reports map[string]straggler.Report
	desired straggler.Desired
	changed chan struct{}
}

func (n *testNode) received(name string) (straggler.Report, straggler.Desired) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reports[name], n.desired
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startTestNode(t *testing.T, name, addr string, key []byte, to ...string) *testNode {
	t.Helper()
	n := &testNode{addr: addr, reports: map[string]straggler.Report{}, changed: make(chan struct{}, 1)}
	notify := func() {
		select {
		case n.changed <- struct{}{}:
		default:
		}
	}
	var err error
	n.node, err = New(Config{Config: gossip.Config{Name: name, Started: time.Now(), Listen: addr, Join: to, Key: key, ShortTimeouts: true},
		OnReport: func(b []byte) {
			v, err := gossip.DecodeReport(b)
			if err != nil {
				t.Errorf("received a malformed report: %v", err)
			}
			n.mu.Lock()
			n.reports[v.Name] = v
			n.mu.Unlock()
			notify()
		},
		OnDesired: func(b []byte) {
			w, err := gossip.DecodeDesired(b)
			if err != nil {
				t.Errorf("received a malformed desired version: %v", err)
			}
			n.mu.Lock()
			newer := w.Gen > n.desired.Gen
			if newer {
				n.desired = w
			}
			n.mu.Unlock()
			if newer { // a member that adopts a desired version passes it on
				n.node.BroadcastDesired(b)
			}
			notify()
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.node.Close() })
	n.node.Join()
	return n
}

func (n *testNode) sendReport(v straggler.Report) { n.node.BroadcastReport(gossip.EncodeReport(&v)) }

func (n *testNode) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.After(30 * time.Second); !condition(); {
		select {
		case <-n.changed:
		case <-time.After(50 * time.Millisecond): // the list of members changes without a notification
		case <-end:
			t.Fatal("timeout: " + what)
		}
	}
}

// TestReportsAndDesiredVersionSpread: reports and the desired version reach all members, including one that joins later. Random packets and packets with another key have no
// effect. A member that dies is detected, and found again after its return.
func TestReportsAndDesiredVersionSpread(t *testing.T) {
	first := freeAddress(t)
	nodes := []*testNode{startTestNode(t, "n0", first, nil)}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, startTestNode(t, fmt.Sprint("n", i), freeAddress(t), nil, first))
	}
	for i, n := range nodes {
		n.sendReport(straggler.Report{Format: 1, Name: fmt.Sprint("n", i), Seq: 1, Vector: version.Vector{Started: n.node.config.Started, List: version.List{Index: int64(i)}}})
	}
	desired, err := gossip.EncodeDesired(&straggler.Desired{Gen: 4, By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	nodes[3].node.BroadcastDesired(desired)
	late := startTestNode(t, "n5", freeAddress(t), nil, nodes[2].addr)
	for i, n := range append(nodes, late) {
		for j := range nodes {
			if i != j {
				n.await(t, fmt.Sprintf("n%d receives the report of n%d", i, j), func() bool {
					v, _ := n.received(fmt.Sprint("n", j))
					return v.Seq == 1 && v.Vector.List.Index == int64(j)
				})
			}
		}
		if i != 3 {
			n.await(t, fmt.Sprintf("n%d receives the desired version", i), func() bool { _, w := n.received(""); return w.Gen == 4 })
		}
	}
	// Random packets, truncated messages, and an outdated report in the name of another member.
	conn, err := net.Dial("udp", first)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	outdated := gossip.EncodeReport(&straggler.Report{Format: 1, Name: "n1", Seq: 0, Vector: version.Vector{Started: nodes[1].node.config.Started, List: version.List{Index: 99}}})
	for i := range 200 {
		b := make([]byte, rng.IntN(300))
		for j := range b {
			b[j] = byte(rng.IntN(256))
		}
		if i%3 == 0 {
			b = append([]byte{8}, outdated[:rng.IntN(len(outdated)+1)]...) // 8: memberlist's type of packets with an application's message
		}
		conn.Write(b)
	}
	otherKey := startTestNode(t, "n9", freeAddress(t), []byte("0123456789abcdef"), first)
	otherKey.sendReport(straggler.Report{Format: 1, Name: "n9", Seq: 1})
	nodes[1].sendReport(straggler.Report{Format: 1, Name: "n1", Seq: 2, Vector: version.Vector{Started: nodes[1].node.config.Started, List: version.List{Index: 7}}})
	nodes[0].await(t, "n0 receives the second report of n1", func() bool { v, _ := nodes[0].received("n1"); return v.Seq == 2 })
	if v, _ := nodes[0].received("n1"); v.Vector.List.Index != 7 {
		t.Errorf("an outdated report was accepted: %+v", v)
	}
	if v, _ := nodes[0].received("n9"); v.Name != "" || len(otherKey.node.Members()) != 1 {
		t.Error("a member with another key was accepted")
	}
	// A member dies and returns with the same address.
	nodes[4].node.CloseWithoutLeaving()
	nodes[0].await(t, "n0 detects the death of n4", func() bool { return len(nodes[0].node.Members()) == 5 })
	returned := startTestNode(t, "n4", nodes[4].addr, nil, first)
	returned.await(t, "n4 sees all members after its return", func() bool { returned.node.Join(); return len(returned.node.Members()) == 6 })
	returned.await(t, "n4 receives the desired version", func() bool { _, w := returned.received(""); return w.Gen == 4 })
}

// TestMembersAreReadWhileGossipArrives guards against a data race: the addresses of members were read while memberlist wrote them, as each alive message of a
// member has it do. Only the race detector sees it.
func TestMembersAreReadWhileGossipArrives(t *testing.T) {
	first := startTestNode(t, "n0", freeAddress(t), nil)
	second := startTestNode(t, "n1", freeAddress(t), nil, first.addr)
	first.await(t, "n0 sees n1", func() bool { return len(first.node.Members()) == 2 })
	updated := make(chan error, 1)
	go func() {
		for range 20 {
			if err := second.node.cluster.UpdateNode(0); err != nil { // sends an alive message with a new incarnation
				updated <- err
				return
			}
		}
		close(updated)
	}()
	for {
		select {
		case err, failed := <-updated:
			if failed {
				t.Fatal(err)
			}
			return
		default:
		}
		first.node.Join()
		first.node.PruneReports()
		if got := len(first.node.Members()); got != 2 {
			t.Fatalf("n0 sees %d members, want 2", got)
		}
	}
}

// TestReportTransmissions guards against drains that other forwarders report and that arrive late: in a small fleet of which half is cut off and that loses
// three packets in ten, one report in twelve reached a member only when it was sent again.
func TestReportTransmissions(t *testing.T) {
	for members, want := range map[int]int{1: 8, 8: 8, smallFleet: 8, smallFleet + 1: 6, 99: 6, 100: 6, 300: 6} {
		n := &Node{roster: newRoster()}
		n.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: n.broadcastNodes}
		for i := range members {
			n.roster.NotifyJoin(&memberlist.Node{Name: nodeName(fmt.Sprint("n", i), time.Unix(0, 0))})
		}
		n.BroadcastReport([]byte("report"))
		got := 0
		for len((*delegate)(n).GetBroadcasts(0, 1400)) > 0 {
			got++
		}
		if got != want {
			t.Errorf("%d members: a report is transmitted %d times, want %d", members, got, want)
		}
	}
}
