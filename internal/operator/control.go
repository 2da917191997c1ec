package operator

import (
	"fmt"
	"net"
	"strings"

	"scaleroute/internal/ownership"
)

// Control lets the forwarder hold only its part of the endpoint list, which it gets from control servers. Without this block the
// forwarder watches the whole list at the platform's discovery service.
type Control struct {
	Servers              []string `json:"servers"`
	Partitions           int      `json:"partitions"`   // the same in the whole fleet and at its control servers
	Replicas             int      `json:"replicas"`     // owners of each partition; the same in the whole fleet
	MaxFetched           int      `json:"fetched"`      // bounds the destinations outside its part that the forwarder caches
	LookupBytesPerSecond int64    `json:"lookup_bytes"` // bytes per second for looking up such destinations
}

// DefaultControl returns the defaults of a control block that sets only its servers.
func DefaultControl() Control {
	return Control{Partitions: 1 << 21, Replicas: 3, MaxFetched: 256, LookupBytesPerSecond: 1500}
}

// Bounds of the fields of a Control.
const (
	maxServers     = 16
	maxFetched     = 256
	minLookupBytes = 500
	maxLookupBytes = 16 << 20
)

func (c *Config) checkControl(add func(key, what, remedy string)) {
	s := c.Control
	if s == nil {
		return
	}
	if n := len(s.Servers); n == 0 || n > maxServers {
		add("control.servers", fmt.Sprintf("%d control servers", n), fmt.Sprintf(`name from 1 to %d, as servers = ["10.0.0.4:7400", "10.0.0.5:7400"]`, maxServers))
	}
	seen := map[string]bool{}
	for _, a := range s.Servers {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" || strings.ContainsAny(a, "/?#@ ") {
			add("control.servers", fmt.Sprintf("%q is not an address", a), "write a host and a port, as 10.0.0.4:7400")
		}
		if seen[a] {
			add("control.servers", fmt.Sprintf("%s is named twice", a), "name each once")
		}
		seen[a] = true
	}
	if err := (ownership.Layout{Partitions: s.Partitions, Replicas: 1}).Validate(); err != nil {
		add("control.partitions", err.Error(), "write the number that all forwarders and control servers have, as 2097152")
	}
	if err := (ownership.Layout{Partitions: 1, Replicas: s.Replicas}).Validate(); err != nil {
		add("control.replicas", err.Error(), "write the number that all forwarders have, as 3")
	}
	if s.MaxFetched < 1 || s.MaxFetched > maxFetched {
		add("control.fetched", fmt.Sprintf("%d destinations fetched on demand", s.MaxFetched), fmt.Sprintf("set from 1 to %d", maxFetched))
	}
	if s.LookupBytesPerSecond < minLookupBytes || s.LookupBytesPerSecond > maxLookupBytes {
		add("control.lookup_bytes", fmt.Sprintf("%d bytes a second for look-ups", s.LookupBytesPerSecond), fmt.Sprintf("set from %d to %d: one look-up costs some 500", minLookupBytes, maxLookupBytes))
	}
	if c.Fleet != nil && c.Fleet.Gossip != nil {
		add("control", "with a block control, forwarders have different lists, and gossip would take all but one for stale", "remove the block gossip of fleet: control servers have the members")
	}
}

// diffControl compares the control blocks of two configurations.
func diffControl(old, new *Config, compare func(key, a, b string)) {
	describe := func(c *Config) [6]string {
		s := c.Control
		if s == nil {
			return [6]string{"the whole list", "none", "none", "none", "none", "none"}
		}
		return [6]string{"a part of the list", strings.Join(s.Servers, " "), fmt.Sprint(s.Partitions), fmt.Sprint(s.Replicas), fmt.Sprint(s.MaxFetched), fmt.Sprint(s.LookupBytesPerSecond)}
	}
	a, b := describe(old), describe(new)
	for i, key := range []string{"control", "control.servers", "control.partitions", "control.replicas", "control.fetched", "control.lookup_bytes"} {
		compare(key, a[i], b[i])
	}
}

// explainControl describes how the forwarder gets the endpoints of a message's destination.
func (c *Config) explainControl(destination int) []Change {
	s := c.Control
	if s == nil || destination < 0 {
		return nil
	}
	layout := ownership.Layout{Partitions: s.Partitions, Replicas: s.Replicas}
	text := fmt.Sprintf("by control servers: partition %d of %d, sent to its %d owners; others look it up", layout.PartitionOf(destination), s.Partitions, s.Replicas)
	return []Change{{Scope: fmt.Sprintf("destination %d", destination), Key: "control", New: text, NewPosition: c.Positions["control"]}}
}
