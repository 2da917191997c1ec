// Package host is the gossip sidecar of a daemon. It uses hashicorp/memberlist, which maintains the list of living members itself and carries reports and desired versions in
// its packets.
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

// Config configures a Node. Both functions receive messages with their kind in front.
type Config struct {
	gossip.Config
	OnReport  func(message []byte) // called for each report of another process that is newer than the known one
	OnDesired func(message []byte) // called for each desired version
}

// Node is this member's connection to the other members.
type Node struct {
	config    Config
	cluster   *memberlist.Memberlist
	queue     *memberlist.TransmitLimitedQueue
	roster    *roster
	rng       *rand.Rand // guarded by mu
	closeOnce sync.Once

	mu        sync.Mutex
	ownReport []byte                  // this member's latest report
	desired   []byte                  // the desired version in force
	reports   map[string]storedReport // by nodeName: the latest report of each other process, for members that join
}

const (
	maxKnown     = 4096 // reports, and addresses
	leaveTimeout = 200 * time.Millisecond

	retransmitMult    = 2   // transmissions of a broadcast for each digit of the fleet's size
	minBroadcastNodes = 100 // in a smaller fleet, a report is transmitted as often as in one of this size: 6 times

	// In a fleet of up to smallFleet members few others pass a report on, so it is transmitted as often as in one of smallFleetNodes: 8 times.
	smallFleet      = 32
	smallFleetNodes = 9_999
)

// New starts to listen. It contacts no other members: see Join.
func New(config Config) (*Node, error) {
	listenHost, listenPort, err := config.ListenAddress()
	if err != nil {
		return nil, err
	}
	advertisedHost, advertisedPort, err := config.AdvertisedAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, roster: newRoster(), rng: rand.New(rand.NewPCG(config.Seed, 0x90551)), reports: map[string]storedReport{}}
	m := memberlist.DefaultLANConfig()
	// When the endpoint list changes, every member sends a report and every member passes all reports on. With the library's defaults for 200 members (12 transmissions of each
	// report, to 3 members 5 times a second) this took longer than a member may be out of date. With 6 transmissions a report reaches 99.75% of the members: each member
	// receives it 6 times on average, and a fraction of e^-6 never does. In smaller fleets fewer members pass a report on. A member sends its report twice more
	// after the first has spread (member.go of the forwarder), and a report that is still missed arrives with the next push/pull synchronization.
	m.RetransmitMult, m.GossipInterval, m.GossipNodes = retransmitMult, 100*time.Millisecond, 5
	m.EnableCompression = false // digests are incompressible, and compressing them costs more than all other work
	if config.ShortTimeouts {
		m.ProbeInterval, m.ProbeTimeout, m.SuspicionMult, m.GossipInterval, m.PushPullInterval = 200*time.Millisecond, 100*time.Millisecond, 2, 50*time.Millisecond, 2*time.Second
		m.TCPTimeout = time.Second
	}
	m.Name = nodeName(config.Name, config.Started)
	m.BindAddr, m.BindPort, m.AdvertiseAddr, m.AdvertisePort = listenHost, listenPort, advertisedHost, advertisedPort
	m.Delegate, m.Events, m.SecretKey = (*delegate)(n), n.roster, config.Key
	m.Logger = log.New(io.Discard, "", 0) // members that join and leave are reported by the audit
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listenHost}, BindPort: listenPort, Logger: m.Logger})
	if err != nil {
		return nil, fmt.Errorf("gossip: can't listen at %s: %w", config.Listen, err)
	}
	m.Transport = &transport{netTransport, &net.TCPAddr{IP: net.ParseIP(listenHost)}}
	m.DeadNodeReclaimTime = time.Second // a restarted process has a different node name
	n.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: n.broadcastNodes}
	if n.cluster, err = memberlist.Create(m); err != nil {
		netTransport.Shutdown()
		return nil, fmt.Errorf("gossip: can't start the member at %s: %w", config.Listen, err)
	}
	return n, nil
}

// broadcastNodes returns the size of the fleet from which memberlist derives how often a broadcast is transmitted.
func (n *Node) broadcastNodes() int {
	members := n.roster.size()
	if members <= smallFleet {
		return smallFleetNodes
	}
	return max(minBroadcastNodes, members)
}

// transport opens connections from the address at which this member listens, as its packets are sent from there. On a machine with several addresses, the others recognize
// the member by this address.
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

// storedReport is a report as it was received.
type storedReport struct {
	seq  uint64
	text []byte
}

// nodeName returns the node name of a process. It differs between processes, so that two processes that claim to be the same forwarder are both visible.
func nodeName(name string, started time.Time) string {
	return name + "/" + strconv.FormatInt(started.UnixNano(), 36)
}

// Join contacts a member that is not alive in this member's view: one of the configured addresses or one that was alive earlier. It is called periodically, so that the halves
// of a partitioned fleet find each other again, and a member that was suspended rejoins.
func (n *Node) Join() {
	isOwn := func(address string) bool { return address == n.config.Listen || address == n.config.Advertise }
	absent := n.roster.absent(n.config.Join, isOwn)
	if len(absent) == 0 {
		return
	}
	n.mu.Lock()
	address := absent[n.rng.IntN(len(absent))]
	n.mu.Unlock()
	n.cluster.Join([]string{address}) // one member is enough: it sends the list of all others
}

// Members returns the living members, including this one.
func (n *Node) Members() (list []gossip.Member) {
	for _, node := range n.roster.aliveNodes() {
		name, started, ok := strings.Cut(node, "/")
		at, err := strconv.ParseInt(started, 36, 64)
		if ok && err == nil {
			list = append(list, gossip.Member{Name: name, Started: at})
		}
	}
	return list
}

// BroadcastReport sends this member's report to the others. An earlier report is no longer transmitted.
func (n *Node) BroadcastReport(report []byte) {
	n.mu.Lock()
	n.ownReport = report
	n.mu.Unlock()
	n.queue.QueueBroadcast(&broadcast{"n " + n.config.Name, report})
}

// BroadcastDesired sends a desired version to the others. An earlier one is no longer transmitted.
func (n *Node) BroadcastDesired(desired []byte) {
	n.mu.Lock()
	n.desired = desired
	n.mu.Unlock()
	n.queue.QueueBroadcast(&broadcast{"w", desired})
}

// Close announces to the others that this member leaves, and stops.
func (n *Node) Close() (err error) {
	n.closeOnce.Do(func() { err = errors.Join(n.cluster.Leave(leaveTimeout), n.cluster.Shutdown()) })
	return err
}

// CloseWithoutLeaving stops without an announcement, so that the others detect the member as dead.
func (n *Node) CloseWithoutLeaving() { n.closeOnce.Do(func() { n.cluster.Shutdown() }) }

// broadcast is a message that is being spread. A newer message with the same key replaces it.
type broadcast struct {
	key  string
	text []byte
}

func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && other.key == b.key
}
func (b *broadcast) Message() []byte { return b.text }
func (b *broadcast) Finished()       {}
func (b *broadcast) Name() string    { return b.key }

// delegate implements memberlist.Delegate.
type delegate Node

func (d *delegate) NodeMeta(int) []byte { return nil }

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return (*Node)(d).queue.GetBroadcasts(overhead, limit)
}

// NotifyMsg processes a received message. A malformed message is ignored, and a report that is new to this member is passed on.
func (d *delegate) NotifyMsg(b []byte) { (*Node)(d).handleMessage(b) }

// handleMessage processes a message from another member.
func (n *Node) handleMessage(b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case gossip.KindReport:
		report, err := gossip.DecodeReport(b)
		if err != nil || report.Name == "" {
			return
		}
		key := nodeName(report.Name, report.Vector.Started)
		n.mu.Lock()
		old, exists := n.reports[key]
		if exists && old.seq >= report.Seq || !exists && len(n.reports) >= maxKnown {
			n.mu.Unlock()
			return
		}
		text := append([]byte(nil), b...)
		n.reports[key] = storedReport{report.Seq, text}
		n.mu.Unlock()
		if report.Name != n.config.Name || !report.Vector.Started.Equal(n.config.Started) {
			n.queue.QueueBroadcast(&broadcast{"n " + key, text})
			n.config.OnReport(text)
		}
	case gossip.KindDesired:
		if _, err := gossip.DecodeDesired(b); err == nil {
			n.config.OnDesired(append([]byte(nil), b...))
		}
	}
}

// LocalState returns what this member sends in a push/pull synchronization: the desired version and its own report, and to a member that joins also all other reports.
func (d *delegate) LocalState(join bool) []byte {
	n := (*Node)(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	var b []byte
	add := func(text []byte) {
		if len(text) > 0 {
			b = append(append(b, byte(len(text)>>8), byte(len(text))), text...)
		}
	}
	add(n.desired)
	add(n.ownReport)
	if join {
		for _, t := range n.reports {
			add(t.text)
		}
	}
	return b
}

// MergeRemoteState processes the LocalState of another member.
func (d *delegate) MergeRemoteState(b []byte, join bool) {
	for len(b) >= 2 {
		length := int(b[0])<<8 | int(b[1])
		if length > len(b)-2 {
			return
		}
		(*Node)(d).handleMessage(b[2 : 2+length])
		b = b[2+length:]
	}
}

// PruneReports deletes the reports of processes that are no longer alive.
func (n *Node) PruneReports() {
	present := map[string]bool{}
	for _, node := range n.roster.aliveNodes() {
		present[node] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for key := range n.reports {
		if !present[key] {
			delete(n.reports, key)
		}
	}
}
