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

// Fleet configures audit, fencing and gossip among the forwarders of a fleet. Without this block all of them are off.
type Fleet struct {
	LedgerBytes    int64    `json:"ledger,omitempty"`  // size of the persistent audit log's folder in bytes; 0: no audit log
	Lease          Duration `json:"fence,omitempty"`   // a process that was suspended for longer than this lease makes no call until it has asked discovery again; 0: no fencing
	DiscoveryWait  Duration `json:"unheard,omitempty"` // how long such a process waits for discovery's answer
	Gossip         *Gossip  `json:"gossip,omitempty"`
	MaxFencedShare float64  `json:"share,omitempty"` // largest share of the fleet, and of each zone, that may be fenced off
}

// Gossip configures how forwarders exchange the versions that they run and act on.
type Gossip struct {
	Listen    string   `json:"listen,omitempty"`    // NODE_GOSSIP overrides it
	Advertise string   `json:"advertise,omitempty"` // the address at which others reach it, if it differs; NODE_GOSSIP_ADVERTISE overrides it
	Join      []string `json:"join,omitempty"`
	KeyFile   string   `json:"key_file,omitempty"` // file with the key of the gossip library, 16, 24 or 32 bytes; empty: no encryption
}

// Defaults and bounds of the fields of a Fleet.
const (
	DefaultDiscoveryWait  = 3 * time.Second
	DefaultMaxFencedShare = 0.2
	maxLease              = time.Minute
	maxJoin               = 64
)

func (c *Config) checkFleet(add func(key, what, remedy string)) {
	f := c.Fleet
	if f == nil {
		return
	}
	if f.LedgerBytes != 0 && (f.LedgerBytes < ledger.MinBytes || f.LedgerBytes > ledger.MaxBytes) {
		add("fleet.ledger", fmt.Sprintf("a ledger of %d bytes", f.LedgerBytes), fmt.Sprintf("set from %d to %d bytes, or leave it out", ledger.MinBytes, ledger.MaxBytes))
	}
	if d := time.Duration(f.Lease); d != 0 && (d < fence.MinLease || d > maxLease) {
		add("fleet.fence", fmt.Sprintf("a lease of %v", d), fmt.Sprintf("set from %v to %v, or leave it out", fence.MinLease, maxLease))
	}
	if d := time.Duration(f.DiscoveryWait); d != 0 && (f.Lease == 0 || d < fence.MinLease || d > maxLease) {
		add("fleet.unheard", fmt.Sprintf("a wait of %v for discovery after a suspension", d), fmt.Sprintf("set fence as well, and from %v to %v", fence.MinLease, maxLease))
	}
	if f.Lease != 0 && f.DiscoveryWait == 0 { // only in a file written by hand: the compiler sets a default
		add("fleet.unheard", "a fenced process has no time limit for its wait for discovery", fmt.Sprintf("set unheard, as %v", DefaultDiscoveryWait))
	}
	if f.MaxFencedShare < 0 || f.MaxFencedShare > 0.5 || f.MaxFencedShare != 0 && f.Gossip == nil {
		add("fleet.share", fmt.Sprintf("a share of %v that may be fenced off", f.MaxFencedShare), "set from 0 to 0.5, with gossip: to fence off more than half would be the outage that fencing is to prevent")
	}
	if g := f.Gossip; g != nil {
		if len(g.Join) > maxJoin {
			add("fleet.gossip.join", fmt.Sprintf("%d members to join", len(g.Join)), fmt.Sprintf("name %d at most: one that is running is enough", maxJoin))
		}
		for _, a := range append([]string{g.Listen, g.Advertise}, g.Join...) {
			if _, _, err := net.SplitHostPort(a); err != nil && a != "" {
				add("fleet.gossip", fmt.Sprintf("%q is not an address", a), "write an IP address and a port, as 10.0.0.4:7946")
			}
		}
	}
}

// Digest returns the digest of the configuration without the positions of settings and without the gossip addresses, which
// differ from forwarder to forwarder.
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
		panic(err) // not reached: the configuration was decoded from JSON or has passed Check
	}
	return version.DigestOf(text)
}

// diffFleet compares the fleet blocks of two configurations.
func diffFleet(old, new *Config, compare func(key, a, b string)) {
	describe := func(c *Config) [6]string {
		if c.Fleet == nil {
			return [6]string{"none", "none", "none", "none", "none", "none"}
		}
		g := "none"
		if c.Fleet.Gossip != nil {
			text, _ := json.Marshal(c.Fleet.Gossip) // can't fail: the struct holds only strings
			g = string(text)
		}
		f := c.Fleet
		return [6]string{"kept", fmt.Sprint(f.LedgerBytes), time.Duration(f.Lease).String(), time.Duration(f.DiscoveryWait).String(), g, fmt.Sprint(f.MaxFencedShare)}
	}
	a, b := describe(old), describe(new)
	for i, key := range []string{"fleet", "fleet.ledger", "fleet.fence", "fleet.unheard", "fleet.gossip", "fleet.share"} {
		compare(key, a[i], b[i])
	}
}
