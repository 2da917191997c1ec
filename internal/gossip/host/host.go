// Package host is the process that speaks for a daemon, by hashicorp/memberlist: who is there it says itself, and news and wants go with its packets.
package host

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"scaleroute/internal/gossip"
)

// Config is what it is told.
type Config struct {
	gossip.Config
	OnReport  func(message []byte) // news that are new
	OnDesired func(message []byte)
}

// Node is one member's.
type Node struct {
	set   Config
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue
	rng   *rand.Rand // by mu
	over  sync.Once

	mu   sync.Mutex
	own  []byte            // the newest news of this member
	want []byte            // that holds
	all  map[string]told   // the newest of others, for who joins
	seen map[string]string // addresses by name, of all that ever were there
}

const (
	mostSeen = 4096
	leaveFor = 200 * time.Millisecond

	leastNodes = 99 // a fleet that is smaller passes news on as often as one of so many: 4 times
)

// New begins to listen.
func New(c Config) (*Node, error) {
	address, number, err := c.ListenAddress()
	if err != nil {
		return nil, err
	}
	known, knownNumber, err := c.AdvertisedAddress()
	if err != nil {
		return nil, err
	}
	g := &Node{set: c, rng: rand.New(rand.NewPCG(c.Seed, 0x90551)), all: map[string]told{}, seen: map[string]string{}}
	m := memberlist.DefaultLANConfig()
	// On a change of the list every member has news, and every member passes all of them on: with the library's 12 transmissions of each at 200 members, to 3 others 5 times a second, that took
	// longer than a member may be behind. 6 transmissions reach 99.75% of them (each hears of each 6 times on average, and e^-6 never); below a hundred 4 reach 98%. A member tells its news
	// twice more once the first have passed (member.go), and what is missed all the same comes with the next push and pull.
	m.RetransmitMult, m.GossipInterval, m.GossipNodes = 2, 100*time.Millisecond, 5
	m.EnableCompression = false // digests don't shrink, and to try costs more than all else
	if c.ShortTimeouts {
		m.ProbeInterval, m.ProbeTimeout, m.SuspicionMult, m.GossipInterval, m.PushPullInterval = 200*time.Millisecond, 100*time.Millisecond, 2, 50*time.Millisecond, 2*time.Second
		m.TCPTimeout = time.Second
	}
	m.Name = nodeName(c.Name, c.Started)
	m.BindAddr, m.BindPort, m.AdvertiseAddr, m.AdvertisePort = address, number, known, knownNumber
	m.Delegate, m.SecretKey = (*delegate)(g), c.Key
	m.Logger = log.New(io.Discard, "", 0) // who comes and goes is the audit's to tell
	wires, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{address}, BindPort: number, Logger: m.Logger})
	if err != nil {
		return nil, fmt.Errorf("gossip: listening at %s: %w", c.Listen, err)
	}
	m.Transport = &transport{wires, &net.TCPAddr{IP: net.ParseIP(address)}}
	m.DeadNodeReclaimTime = time.Second // a process that was started anew has another name
	g.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: m.RetransmitMult, NumNodes: func() int {
		if g.list == nil {
			return leastNodes
		}
		return max(leastNodes, g.list.NumMembers())
	}}
	if g.list, err = memberlist.Create(m); err != nil {
		wires.Shutdown()
		return nil, fmt.Errorf("gossip: meeting others from %s: %w", c.Listen, err)
	}
	return g, nil
}

// transport has connections come from where this member listens, as its packets do: on a machine with several addresses others then know them by it.
type transport struct {
	*memberlist.NetTransport
	from *net.TCPAddr
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: t.from}
	return d.Dial("tcp", a.Addr)
}

// told is news as they came.
type told struct {
	seq  uint64
	text []byte
}

// nodeName is one for each process: two that say that they are one forwarder are both seen.
func nodeName(name string, started time.Time) string {
	return name + "/" + strconv.FormatInt(started.UnixNano(), 36)
}

// Join looks for members: those that were named, and those that were there once. It is called again and again, so that halves that were cut
// apart find each other, and a member that slept finds its way back.
func (g *Node) Join() {
	there := map[string]bool{}
	for _, n := range g.list.Members() {
		there[n.Address()] = true
		g.mu.Lock()
		if len(g.seen) < mostSeen {
			g.seen[strings.SplitN(n.Name, "/", 2)[0]] = n.Address()
		}
		g.mu.Unlock()
	}
	var away []string
	for _, a := range g.set.Join {
		if !there[a] && a != g.set.Listen && a != g.set.Advertise {
			away = append(away, a)
		}
	}
	g.mu.Lock()
	for _, a := range g.seen {
		if !there[a] {
			away = append(away, a)
		}
	}
	g.mu.Unlock()
	if len(away) == 0 {
		return
	}
	g.mu.Lock()
	one := away[g.rng.IntN(len(away))]
	g.mu.Unlock()
	g.list.Join([]string{one}) // one at a time: it tells of the others
}

// Members lists who is there, this member too.
func (g *Node) Members() (list []gossip.Member) {
	for _, n := range g.list.Members() {
		name, started, ok := strings.Cut(n.Name, "/")
		at, err := strconv.ParseInt(started, 36, 64)
		if ok && err == nil {
			list = append(list, gossip.Member{Name: name, Started: at})
		}
	}
	return list
}

// BroadcastReport tells news of this member; what it told before is not sent any more.
func (g *Node) BroadcastReport(news []byte) {
	g.mu.Lock()
	g.own = news
	g.mu.Unlock()
	g.queue.QueueBroadcast(&broadcast{"n " + g.set.Name, news})
}

// BroadcastDesired tells a want.
func (g *Node) BroadcastDesired(want []byte) {
	g.mu.Lock()
	g.want = want
	g.mu.Unlock()
	g.queue.QueueBroadcast(&broadcast{"w", want})
}

// Close leaves.
func (g *Node) Close() (err error) {
	g.over.Do(func() { err = errors.Join(g.list.Leave(leaveFor), g.list.Shutdown()) })
	return err
}

// CloseWithoutLeaving goes without a word: the others miss it.
func (g *Node) CloseWithoutLeaving() { g.over.Do(func() { g.list.Shutdown() }) }

// broadcast is a message on its way; a newer one about the same takes its place.
type broadcast struct {
	about string
	text  []byte
}

func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && other.about == b.about
}
func (b *broadcast) Message() []byte { return b.text }
func (b *broadcast) Finished()       {}
func (b *broadcast) Name() string    { return b.about }

// delegate is what memberlist calls.
type delegate Node

func (d *delegate) NodeMeta(int) []byte { return nil }

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return (*Node)(d).queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg takes what came; what can't be read is passed over. News that are new to this member are passed on.
func (d *delegate) NotifyMsg(b []byte) { (*Node)(d).hear(b) }

func (g *Node) hear(b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case gossip.KindReport:
		n, err := gossip.DecodeReport(b)
		if err != nil || n.Name == "" {
			return
		}
		about := nodeName(n.Name, n.Vector.Started)
		g.mu.Lock()
		old, known := g.all[about]
		if known && old.seq >= n.Seq || !known && len(g.all) >= mostSeen {
			g.mu.Unlock()
			return
		}
		text := append([]byte(nil), b...)
		g.all[about] = told{n.Seq, text}
		g.mu.Unlock()
		if n.Name != g.set.Name || !n.Vector.Started.Equal(g.set.Started) {
			g.queue.QueueBroadcast(&broadcast{"n " + about, text})
			g.set.OnReport(text)
		}
	case gossip.KindDesired:
		if _, err := gossip.DecodeDesired(b); err == nil {
			g.set.OnDesired(append([]byte(nil), b...))
		}
	}
}

// LocalState is what this member tells another one that it meets: all that it knows to one that joins, else its own.
func (d *delegate) LocalState(join bool) []byte {
	g := (*Node)(d)
	g.mu.Lock()
	defer g.mu.Unlock()
	var b []byte
	add := func(text []byte) {
		if len(text) > 0 {
			b = append(append(b, byte(len(text)>>8), byte(len(text))), text...)
		}
	}
	add(g.want)
	add(g.own)
	if join {
		for _, t := range g.all {
			add(t.text)
		}
	}
	return b
}

// MergeRemoteState takes that.
func (d *delegate) MergeRemoteState(b []byte, join bool) {
	for len(b) >= 2 {
		n := int(b[0])<<8 | int(b[1])
		if n > len(b)-2 {
			return
		}
		(*Node)(d).hear(b[2 : 2+n])
		b = b[2+n:]
	}
}

// PruneReports drops what is kept of processes that are not there any more.
func (g *Node) PruneReports() {
	there := map[string]bool{}
	for _, n := range g.list.Members() {
		there[n.Name] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for about := range g.all {
		if !there[about] {
			delete(g.all, about)
		}
	}
}
