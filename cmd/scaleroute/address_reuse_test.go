package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"scaleroute/internal/operations"
	"scaleroute/internal/standin"
)

// The destination of the endpoint that first has an address, and that of the one that has it later.
const (
	formerDest = 7
	laterDest  = 8
)

// When the processes at an address started.
const (
	formerStart = 1_000
	laterStart  = 2_000
)

// entryJSON returns a list entry of an endpoint.
func entryJSON(name, address string, dest int, status string, startedMS int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"std","group":%d,"status":%q,"weight":50,"since_ms":%d}`, name, address, dest, status, startedMS)
}

// recorder is a fake endpoint that records which messages it receives, and over which connections.
type recorder struct {
	t       *testing.T
	address string

	mu     sync.Mutex
	remote map[string]string // the peer's address by message id
}

// listenAndRecord serves a new address until the test ends.
func listenAndRecord(t *testing.T) *recorder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return record(t, ln, nil)
}

// record serves a listener until the test ends.
func record(t *testing.T, ln net.Listener, answer func(id string)) *recorder {
	r := &recorder{t: t, address: ln.Addr().String(), remote: map[string]string{}}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Req-Id")
		r.mu.Lock()
		r.remote[id] = request.RemoteAddr
		r.mu.Unlock()
		if answer != nil {
			answer(id)
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return r
}

// peerOf returns the peer's address of the connection over which a message came; "" if it did not come.
func (r *recorder) peerOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remote[id]
}

// await waits until a message has been received.
func (r *recorder) await(id string) {
	r.t.Helper()
	eventually(r.t, id+" is received", func() bool { return r.peerOf(id) != "" })
}

// others returns the messages received that are not among the expected ones.
func (r *recorder) others(expected ...string) (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.remote {
		if !strings.Contains(strings.Join(expected, " "), id) {
			list = append(list, id)
		}
	}
	return list
}

// tcpSocket is a TCP socket of this machine.
type tcpSocket struct {
	local, remote string // host:port
	state         string // as in /proc/net/tcp
}

const tcpSynSent = "02" // a connection is being established

// countSockets returns how many IPv4 sockets of this machine match.
func countSockets(t *testing.T, matches func(tcpSocket) bool) (count int) {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[0] == "sl" {
			continue
		}
		if matches(tcpSocket{decodeSocketAddress(fields[1]), decodeSocketAddress(fields[2]), fields[3]}) {
			count++
		}
	}
	return count
}

// decodeSocketAddress decodes an address of /proc/net/tcp, whose bytes are in the order of a little-endian number.
func decodeSocketAddress(text string) string {
	var ip [4]byte
	var port int
	fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &ip[3], &ip[2], &ip[1], &ip[0], &port)
	return fmt.Sprintf("%d.%d.%d.%d:%d", ip[0], ip[1], ip[2], ip[3], port)
}

// connecting returns how many connections to an address are being established.
func connecting(t *testing.T, address string) int {
	t.Helper()
	return countSockets(t, func(s tcpSocket) bool { return s.remote == address && s.state == tcpSynSent })
}

// changesOfOwner returns the ways in which discovery may report that an address has another endpoint: each as the lists in which it does.
// Besides, the former endpoint's destination gets another endpoint, at otherAddress.
func changesOfOwner(address, otherAddress string) map[string][]update {
	former := func(status string) string { return entryJSON("former", address, formerDest, status, formerStart) }
	later := entryJSON("later", address, laterDest, "SERVING", laterStart)
	other := entryJSON("other", otherAddress, formerDest, "SERVING", formerStart)
	return map[string][]update{
		"the former is gone, then the later":   {{false, []string{former("DELETED"), later, other}}},
		"the later, then the former is gone":   {{false, []string{later, former("DELETED"), other}}},
		"two changes, the former's end first":  {{false, []string{former("DELETED"), other}}, {false, []string{later}}},
		"two changes, the later first":         {{false, []string{later, other}}, {false, []string{former("DELETED")}}},
		"the former's end is not reported":     {{false, []string{later, other}}},
		"the former drains":                    {{false, []string{former("DRAINING"), later, other}}},
		"a whole list without the former":      {{true, []string{later, other}}},
		"a whole list with both":               {{true, []string{later, former("SERVING"), other}}},
		"the former moves":                     {{false, []string{later, entryJSON("former", otherAddress, formerDest, "SERVING", formerStart)}}},
		"the former's name, other destination": {{false, []string{other, entryJSON("former", address, laterDest, "SERVING", laterStart)}}},
	}
}

// update is one list that discovery reports.
type update struct {
	isWhole bool
	entries []string
}

// reportAll publishes lists and waits until the forwarder has applied them.
func (w *testEnv) reportAll(c *client, list []update) {
	w.t.Helper()
	for _, u := range list {
		w.publish(u.isWhole, u.entries...)
	}
	w.awaitUpdatesReceived()
	c.do("ENQUEUE", "0", "barrier", "c=harmless,d=200000,dest=99", "x") // answered by the event loop, after it has applied the lists
}

const lateMessages = 4

// TestLateConnectReachesLaterOwnerOfAddress: a connection that comes up after its endpoint has lost the address carries none of its messages.
func TestLateConnectReachesLaterOwnerOfAddress(t *testing.T) {
	for name := range changesOfOwner("", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			stalled, err := standin.Stall("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stalled.Close)
			w.endpoints = entryJSON("former", stalled.Address(), formerDest, "SERVING", formerStart)
			c := w.start().connect()
			for i := range lateMessages {
				c.mustEnqueue(fmt.Sprint("late-", i), "unsafe", 200000)
			}
			eventually(t, "a connection is being established", func() bool { return connecting(t, stalled.Address()) > 0 })
			w.reportAll(c, changesOfOwner(stalled.Address(), w.target.Listener.Addr().String())[name])
			if got := c.enqueueTo("for-later", "harmless", laterDest); got != "+OK" {
				t.Fatal(got)
			}
			ln, err := stalled.Open()
			if err != nil {
				t.Fatal(err)
			}
			later := record(t, ln, nil)
			later.await("for-later")
			eventually(t, "all connections are established", func() bool { return connecting(t, later.address) == 0 })
			for i := range lateMessages {
				id := fmt.Sprint("late-", i)
				eventually(t, id+" is sent", func() bool { return w.callCount(id) > 0 || later.peerOf(id) != "" })
			}
			if wrong := later.others("for-later"); len(wrong) > 0 {
				t.Errorf("messages of destination %d came to an endpoint of destination %d: %v", formerDest, laterDest, wrong)
			}
		})
	}
}

// TestIdleConnectionOfFormerOwnerIsNotReused: an endpoint's messages are not written to a connection that the former endpoint of its address has accepted.
func TestIdleConnectionOfFormerOwnerIsNotReused(t *testing.T) {
	for name := range changesOfOwner("", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			owner, reference := w.listFormerAndReference(listenAndRecord(t))
			c := w.start().connect()
			c.mustEnqueue("for-former", "unsafe", 200000)
			owner.await("for-former")
			reference.awaitReuse(c)
			w.reportAll(c, changesOfOwner(owner.address, w.target.Listener.Addr().String())[name])
			if got := c.enqueueTo("for-later", "unsafe", laterDest); got != "+OK" {
				t.Fatal(got)
			}
			owner.await("for-later")
			if owner.peerOf("for-former") == owner.peerOf("for-later") {
				t.Error("the message of the later endpoint came over the former one's connection")
			}
		})
	}
}

// listFormerAndReference makes the initial list: the former endpoint at an address, and the reference endpoint.
func (w *testEnv) listFormerAndReference(former *recorder) (owner, reference *recorder) {
	reference = listenAndRecord(former.t)
	w.endpoints = entryJSON("former", former.address, formerDest, "SERVING", formerStart) + "," + reference.listing()
	return former, reference
}

// listing returns the list entry of the reference endpoint.
func (r *recorder) listing() string {
	return entryJSON("reference", r.address, referenceDest, "SERVING", formerStart)
}

// withEntry adds an entry to each list, so that whole lists keep it.
func withEntry(list []update, entry string) []update {
	for i := range list {
		list[i].entries = append(list[i].entries, entry)
	}
	return list
}

// referenceDest is the destination of an endpoint that shows when connections may be used again.
const referenceDest = 9

// awaitReuse sends messages to the recorder's endpoint, of the reference destination, until two have come over one connection: by then a
// connection that had its last response before the call may be used again, too.
func (r *recorder) awaitReuse(c *client) {
	r.t.Helper()
	used := map[string]bool{}
	for i := 0; ; i++ {
		id := fmt.Sprint("reference-", i)
		if got := c.enqueueTo(id, "unsafe", referenceDest); got != "+OK" {
			r.t.Fatal(got)
		}
		r.await(id)
		peer := r.peerOf(id)
		if used[peer] {
			return
		}
		used[peer] = true
	}
}

// TestHandedOverConnectionOfFormerOwnerIsNotReused: a connection that was handed over, idle or in a call, is not used for another endpoint at its address.
func TestHandedOverConnectionOfFormerOwnerIsNotReused(t *testing.T) {
	for name := range changesOfOwner("", "") {
		for _, isBefore := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the handover %t", name, isBefore), func(t *testing.T) {
				t.Parallel()
				u := newUpgradeEnv(t)
				release := make(chan bool)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				owner := record(t, ln, func(id string) {
					if id == "for-former-in-flight" {
						<-release
					}
				})
				_, reference := u.listFormerAndReference(owner)
				changes := withEntry(changesOfOwner(owner.address, u.target.Listener.Addr().String())[name], reference.listing())
				old := u.launch()
				old.awaitReady()
				c := old.connect()
				for _, id := range []string{"for-former-in-flight", "for-former-idle"} {
					c.mustEnqueue(id, "unsafe", 200000)
					owner.await(id)
				}
				if isBefore {
					u.reportAll(c, changes)
				}
				next := u.launch()
				next.awaitReady()
				if !isBefore {
					u.reportAll(c, changes)
				}
				close(release)
				next.awaitStats("the call in flight is not completed", func(s operations.Stats) bool { return s.Fulfilled["unsafe"] > 0 })
				reference.awaitReuse(c)
				if got := c.enqueueTo("for-later", "unsafe", laterDest); got != "+OK" {
					t.Fatal(got)
				}
				owner.await("for-later")
				for _, id := range []string{"for-former-in-flight", "for-former-idle"} {
					if owner.peerOf(id) == owner.peerOf("for-later") {
						t.Errorf("the message of the later endpoint came over the connection of %s", id)
					}
				}
			})
		}
	}
}
