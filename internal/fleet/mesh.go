package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh has relays on the edges between members, each way of each pair with faults of its own. Each member listens at an IP address of its own, by which a relay knows who sends, and
// is told to others as its relay's.
type Mesh struct {
	seed  uint64
	mu    sync.Mutex
	doors []*meshDoor // by member
	by    map[string]int
	lines map[[2]int]*line // from, to; made where they are first used
	pass  *line            // for who is no member
}

// meshDoor is where one member is reached.
type meshDoor struct {
	edge *Edge
	conn *net.UDPConn
	to   *net.UDPAddr
	wg   sync.WaitGroup
	late chan struct{} // packets that wait
}

const (
	latePackets = 4096 // of one member; more are lost
	mostPacket  = 64 << 10
)

// NewMesh makes one for n members.
func NewMesh(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{seed: seed, by: map[string]int{}, lines: map[[2]int]*line{}, pass: newLine(seed)}
	for i := range n {
		ip := fmt.Sprintf("127.77.%d.%d", i/200, i%200+1)
		at, err := freePort(ip)
		if err != nil {
			m.Close()
			return nil, err
		}
		d, err := m.door(i, at)
		if err != nil {
			m.Close()
			return nil, err
		}
		m.mu.Lock()
		m.doors, m.by[ip] = append(m.doors, d), i
		m.mu.Unlock()
	}
	for i, d := range m.doors { // all are known now
		d.wg.Go(func() { m.packets(i, d) })
	}
	return m, nil
}

// Listen is where a member is to listen, and Told what it is to tell others.
func (m *Mesh) Listen(i int) string { return m.doors[i].to.String() }
func (m *Mesh) Told(i int) string   { return m.doors[i].edge.Address() }

func (m *Mesh) door(i int, to string) (d *meshDoor, err error) {
	d = &meshDoor{late: make(chan struct{}, latePackets)}
	if d.to, err = net.ResolveUDPAddr("udp", to); err != nil {
		return nil, err
	}
	for range 20 { // one port for both
		ln, err1 := net.Listen("tcp", "127.0.0.1:0")
		if err = err1; err != nil {
			return nil, err
		}
		at := ln.Addr().(*net.TCPAddr)
		if d.conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			d.edge = newEdge(ln, to, m.pass, func(source net.Addr) *line { return m.line(source.(*net.TCPAddr).IP, i) })
			return d, nil
		}
		ln.Close()
	}
	return nil, err
}

// line leads from an address to a member.
func (m *Mesh) line(from net.IP, to int) *line {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, known := m.by[from.String()]
	if !known {
		return m.pass
	}
	return m.between(i, to)
}

func (m *Mesh) between(from, to int) *line {
	k := [2]int{from, to}
	if m.lines[k] == nil {
		m.lines[k] = newLine(m.seed ^ rand.New(rand.NewPCG(uint64(from), uint64(to))).Uint64())
	}
	return m.lines[k]
}

// Set says what is wrong between one member and another, by their numbers. Up is from the one to the other: packets of that way are lost, and connections that either has made carry nothing
// that way.
func (m *Mesh) Set(one, other int, f Fault) {
	back := f
	back.Silent = f.Silent&Up<<1 | f.Silent&Down>>1
	for _, l := range []struct {
		from, to int
		f        Fault
	}{{one, other, f}, {other, one, back}} {
		m.mu.Lock()
		to := m.between(l.from, l.to)
		m.mu.Unlock()
		m.doors[l.to].edge.set(to, l.f)
	}
}

// packets passes on what comes to a member.
func (m *Mesh) packets(i int, d *meshDoor) {
	buf := make([]byte, mostPacket)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return // it is closed: nothing else ends reading of packets
		}
		l := m.line(from.IP, i)
		f := l.now()
		wait, _, lost := l.draw(n)
		if lost || f.Cut || f.Silent&Up != 0 {
			continue
		}
		if wait == 0 {
			d.conn.WriteToUDP(buf[:n], d.to)
			continue
		}
		select {
		case d.late <- struct{}{}:
		default:
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		d.wg.Add(1)
		time.AfterFunc(wait, func() {
			defer d.wg.Done()
			<-d.late
			d.conn.WriteToUDP(packet, d.to)
		})
	}
}

// Passed is how many bytes members have sent each other.
func (m *Mesh) Passed() (n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.lines {
		l.mu.Lock()
		n += l.passed
		l.mu.Unlock()
	}
	return n
}

// Close ends it.
func (m *Mesh) Close() {
	var all sync.WaitGroup
	for _, d := range m.doors {
		all.Go(func() {
			d.conn.Close()
			d.edge.Close()
			d.wg.Wait()
		})
	}
	all.Wait()
}
