package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/gossip"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// node is a member of a small fleet in this process.
type node struct {
	g    *Node
	addr string
	mu   sync.Mutex
	news map[string]straggler.Report
	want straggler.Desired
	told chan struct{}
}

func (n *node) heard(name string) (straggler.Report, straggler.Desired) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.news[name], n.want
}

func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func join(t *testing.T, name, addr string, key []byte, to ...string) *node {
	t.Helper()
	n := &node{addr: addr, news: map[string]straggler.Report{}, told: make(chan struct{}, 1)}
	note := func() {
		select {
		case n.told <- struct{}{}:
		default:
		}
	}
	var err error
	n.g, err = New(Config{Config: gossip.Config{Name: name, Started: time.Now(), Listen: addr, Join: to, Key: key, ShortTimeouts: true},
		OnReport: func(b []byte) {
			v, err := gossip.DecodeReport(b)
			if err != nil {
				t.Errorf("heard what is no news: %v", err)
			}
			n.mu.Lock()
			n.news[v.Name] = v
			n.mu.Unlock()
			note()
		},
		OnDesired: func(b []byte) {
			w, err := gossip.DecodeDesired(b)
			if err != nil {
				t.Errorf("heard what is no want: %v", err)
			}
			n.mu.Lock()
			newer := w.Gen > n.want.Gen
			if newer {
				n.want = w
			}
			n.mu.Unlock()
			if newer { // it is passed on by whoever takes it
				n.g.BroadcastDesired(b)
			}
			note()
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.g.Close() })
	n.g.Join()
	return n
}

func (n *node) tell(v straggler.Report) { n.g.BroadcastReport(gossip.EncodeReport(&v)) }

func (n *node) await(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.After(30 * time.Second); !so(); {
		select {
		case <-n.told:
		case <-time.After(50 * time.Millisecond): // who is there is asked, and not told
		case <-end:
			t.Fatal("not in time: " + what)
		}
	}
}

// TestTold: news and wants reach everybody, also one that joins later; noise and packets under another key do nothing; a member that is gone is missed, and found again.
func TestTold(t *testing.T) {
	first := free(t)
	nodes := []*node{join(t, "n0", first, nil)}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, join(t, fmt.Sprint("n", i), free(t), nil, first))
	}
	for i, n := range nodes {
		n.tell(straggler.Report{Format: 1, Name: fmt.Sprint("n", i), Seq: 1, Vector: version.Vector{Started: n.g.set.Started, List: version.List{Index: int64(i)}}})
	}
	want, err := gossip.EncodeDesired(&straggler.Desired{Gen: 4, By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	nodes[3].g.BroadcastDesired(want)
	late := join(t, "n5", free(t), nil, nodes[2].addr)
	for i, n := range append(nodes, late) {
		for j := range nodes {
			if i != j {
				n.await(t, fmt.Sprintf("n%d hears of n%d", i, j), func() bool { v, _ := n.heard(fmt.Sprint("n", j)); return v.Seq == 1 && v.Vector.List.Index == int64(j) })
			}
		}
		if i != 3 {
			n.await(t, fmt.Sprintf("n%d hears the want", i), func() bool { _, w := n.heard(""); return w.Gen == 4 })
		}
	}
	// Noise, a message cut short, and one in another's name that is old.
	conn, err := net.Dial("udp", first)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	old := gossip.EncodeReport(&straggler.Report{Format: 1, Name: "n1", Seq: 0, Vector: version.Vector{Started: nodes[1].g.set.Started, List: version.List{Index: 99}}})
	for i := range 200 {
		b := make([]byte, rng.IntN(300))
		for j := range b {
			b[j] = byte(rng.IntN(256))
		}
		if i%3 == 0 {
			b = append([]byte{8}, old[:rng.IntN(len(old)+1)]...) // 8: a message of whoever uses the library
		}
		conn.Write(b)
	}
	stranger := join(t, "n9", free(t), []byte("0123456789abcdef"), first)
	stranger.tell(straggler.Report{Format: 1, Name: "n9", Seq: 1})
	nodes[1].tell(straggler.Report{Format: 1, Name: "n1", Seq: 2, Vector: version.Vector{Started: nodes[1].g.set.Started, List: version.List{Index: 7}}})
	nodes[0].await(t, "n0 hears of n1 again", func() bool { v, _ := nodes[0].heard("n1"); return v.Seq == 2 })
	if v, _ := nodes[0].heard("n1"); v.Vector.List.Index != 7 {
		t.Errorf("old news count: %+v", v)
	}
	if v, _ := nodes[0].heard("n9"); v.Name != "" || len(stranger.g.Members()) != 1 {
		t.Error("one with another key is heard")
	}
	// A death, and a return under the same address.
	nodes[4].g.CloseWithoutLeaving()
	nodes[0].await(t, "n4 is missed", func() bool { return len(nodes[0].g.Members()) == 5 })
	back := join(t, "n4", nodes[4].addr, nil, first)
	back.await(t, "it is back", func() bool { back.g.Join(); return len(back.g.Members()) == 6 })
	back.await(t, "it hears the want", func() bool { _, w := back.heard(""); return w.Gen == 4 })
}
