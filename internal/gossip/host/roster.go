package host

import (
	"strings"
	"sync"

	"github.com/hashicorp/memberlist"
)

// roster holds the names and addresses of the members, as memberlist's events report them. The nodes that Memberlist.Members returns can't be read while
// gossip arrives, since memberlist writes their addresses under a lock of its own. It holds that lock when it calls an event.
type roster struct {
	mu    sync.Mutex
	alive map[string]string // addresses by node name
	known map[string]string // by the names of the forwarders: the addresses of all members that have ever been alive
}

func newRoster() *roster {
	return &roster{alive: map[string]string{}, known: map[string]string{}}
}

// NotifyJoin implements memberlist.EventDelegate, as the next two methods do.
func (r *roster) NotifyJoin(node *memberlist.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := node.Address()
	r.alive[node.Name] = address
	name, _, _ := strings.Cut(node.Name, "/")
	if _, exists := r.known[name]; exists || len(r.known) < maxKnown {
		r.known[name] = address
	}
}

// NotifyUpdate does nothing: members have no metadata.
func (r *roster) NotifyUpdate(*memberlist.Node) {}

// NotifyLeave is called when a member has left or is dead.
func (r *roster) NotifyLeave(node *memberlist.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.alive, node.Name)
}

// size returns the number of living members.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.alive)
}

// aliveNodes returns the node names of the living members, including this one.
func (r *roster) aliveNodes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.alive))
	for name := range r.alive {
		names = append(names, name)
	}
	return names
}

// absent returns those of the configured addresses, and of the addresses that were alive earlier, at which no member is alive.
func (r *roster) absent(configured []string, isOwn func(address string) bool) (addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := map[string]bool{}
	for _, address := range r.alive {
		present[address] = true
	}
	for _, address := range configured {
		if !present[address] && !isOwn(address) {
			addresses = append(addresses, address)
		}
	}
	for _, address := range r.known {
		if !present[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
