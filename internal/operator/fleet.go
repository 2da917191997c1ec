package operator

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"scaleroute/internal/fence"
	"scaleroute/internal/ledger"
	"scaleroute/internal/version"
)

// Fleet is what makes several forwarders a fleet that can be audited. Without it there is none of that.
type Fleet struct {
	LedgerBytes    int64    `json:"ledger,omitempty"`  // bytes of the folder that lasts; 0: no ledger
	Lease          Duration `json:"fence,omitempty"`   // the lease; a process that slept longer makes no call until it has asked again. 0: none
	DiscoveryWait  Duration `json:"unheard,omitempty"` // how long it waits for discovery then
	Gossip         *Gossip  `json:"gossip,omitempty"`
	MaxFencedShare float64  `json:"share,omitempty"` // of the fleet, and of each zone, that may be shut out
}

// Gossip is how forwarders tell each other what they act under.
type Gossip struct {
	Listen    string   `json:"listen,omitempty"`    // NODE_GOSSIP goes before it
	Advertise string   `json:"advertise,omitempty"` // where others reach it, if that is elsewhere; NODE_GOSSIP_ADVERTISE goes before it
	Join      []string `json:"join,omitempty"`
	KeyFile   string   `json:"key_file,omitempty"` // the library's keyring: 16, 24 or 32 bytes; empty: none
}

// Defaults and bounds of a fleet.
const (
	DefaultDiscoveryWait  = 3 * time.Second
	DefaultMaxFencedShare = 0.2
	mostFence             = time.Minute
	mostJoin              = 64
)

func (c *Config) checkFleet(add func(key, what, remedy string)) {
	f := c.Fleet
	if f == nil {
		return
	}
	if f.LedgerBytes != 0 && (f.LedgerBytes < ledger.MinBytes || f.LedgerBytes > ledger.MaxBytes) {
		add("fleet.ledger", fmt.Sprintf("a ledger of %d bytes", f.LedgerBytes), fmt.Sprintf("set from %d to %d bytes, or leave it out", ledger.MinBytes, ledger.MaxBytes))
	}
	if d := time.Duration(f.Lease); d != 0 && (d < fence.MinLease || d > mostFence) {
		add("fleet.fence", fmt.Sprintf("a lease of %v", d), fmt.Sprintf("set from %v to %v, or leave it out", fence.MinLease, mostFence))
	}
	if d := time.Duration(f.DiscoveryWait); d != 0 && (f.Lease == 0 || d < fence.MinLease || d > mostFence) {
		add("fleet.unheard", fmt.Sprintf("to wait %v for discovery after a sleep", d), fmt.Sprintf("set fence as well, and from %v to %v", fence.MinLease, mostFence))
	}
	if f.Lease != 0 && f.DiscoveryWait == 0 { // a file made by hand: the compiler sets it
		add("fleet.unheard", "nothing says how long a process that slept waits for discovery", fmt.Sprintf("set unheard, as %v", DefaultDiscoveryWait))
	}
	if f.MaxFencedShare < 0 || f.MaxFencedShare > 0.5 || f.MaxFencedShare != 0 && f.Gossip == nil {
		add("fleet.share", fmt.Sprintf("a share of %v that may be shut out", f.MaxFencedShare), "set from 0 to 0.5, with gossip: more than half would be the outage that it is to prevent")
	}
	if g := f.Gossip; g != nil {
		if len(g.Join) > mostJoin {
			add("fleet.gossip.join", fmt.Sprintf("%d members to join", len(g.Join)), fmt.Sprintf("name %d at most: one that is there is enough", mostJoin))
		}
		for _, a := range append([]string{g.Listen, g.Advertise}, g.Join...) {
			if _, _, err := net.SplitHostPort(a); err != nil && a != "" {
				add("fleet.gossip", fmt.Sprintf("%q is no address", a), "write an IP address and a port, as 10.0.0.4:7946")
			}
		}
	}
}

// Digest is that of what is set, wherever it is written, but for what is each forwarder's own.
func (c *Config) Digest() version.Digest {
	d := *c
	d.Positions = nil
	if c.Fleet != nil && c.Fleet.Gossip != nil {
		f, g := *c.Fleet, *c.Fleet.Gossip
		g.Listen, g.Advertise = "", ""
		f.Gossip, d.Fleet = &g, &f
	}
	text, err := json.Marshal(&d)
	if err != nil {
		panic(err) // it was read from that form, or is checked
	}
	return version.DigestOf(text)
}

// diffFleet lists what differs of the fleet.
func diffFleet(old, new *Config, whole func(key, a, b string)) {
	word := func(c *Config) [6]string {
		if c.Fleet == nil {
			return [6]string{"none", "none", "none", "none", "none", "none"}
		}
		g := "none"
		if c.Fleet.Gossip != nil {
			text, _ := json.Marshal(c.Fleet.Gossip) // plain texts
			g = string(text)
		}
		f := c.Fleet
		return [6]string{"kept", fmt.Sprint(f.LedgerBytes), time.Duration(f.Lease).String(), time.Duration(f.DiscoveryWait).String(), g, fmt.Sprint(f.MaxFencedShare)}
	}
	a, b := word(old), word(new)
	for i, key := range []string{"fleet", "fleet.ledger", "fleet.fence", "fleet.unheard", "fleet.gossip", "fleet.share"} {
		whole(key, a[i], b[i])
	}
}
