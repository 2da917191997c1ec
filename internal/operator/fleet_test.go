package operator

import (
	"encoding/json"
	"testing"
	"time"
)

// TestFleetCheckAndDigest checks that Check rejects each invalid field of a fleet block, and that the digest does not depend on the
// forwarder's own address.
func TestFleetCheckAndDigest(t *testing.T) {
	validFleet := func() *Fleet {
		return &Fleet{LedgerBytes: 1 << 20, Lease: Duration(time.Second), DiscoveryWait: Duration(DefaultDiscoveryWait), MaxFencedShare: 0.2, Gossip: &Gossip{Listen: "10.0.0.4:7946", Join: []string{"10.0.0.5:7946"}}}
	}
	config := func(f *Fleet) *Config {
		c := Default()
		c.Fleet = f
		return c
	}
	if list := config(validFleet()).Check(); len(list) > 0 {
		t.Fatal(list)
	}
	for name, invalidate := range map[string]func(*Fleet){
		"ledger small":  func(f *Fleet) { f.LedgerBytes = 1 },
		"ledger large":  func(f *Fleet) { f.LedgerBytes = 1 << 40 },
		"ledger below":  func(f *Fleet) { f.LedgerBytes = -1 },
		"fence":         func(f *Fleet) { f.Lease = 1 },
		"unheard":       func(f *Fleet) { f.DiscoveryWait = 0 },
		"unheard alone": func(f *Fleet) { f.Lease = 0 },
		"share":         func(f *Fleet) { f.MaxFencedShare = 0.6 },
		"share below":   func(f *Fleet) { f.MaxFencedShare = -0.1 },
		"share alone":   func(f *Fleet) { f.Gossip = nil },
		"listen":        func(f *Fleet) { f.Gossip.Listen = "10.0.0.4" },
		"join":          func(f *Fleet) { f.Gossip.Join = []string{"x"} },
		"joins":         func(f *Fleet) { f.Gossip.Join = make([]string, 65) },
	} {
		f := validFleet()
		if invalidate(f); len(config(f).Check()) == 0 {
			t.Errorf("%s is accepted", name)
		}
	}
	a, b := config(validFleet()), config(validFleet())
	b.Fleet.Gossip.Listen, b.Positions = "10.0.0.9:7946", map[string]string{"fleet": "other.hcl:3"}
	if a.Digest() != b.Digest() {
		t.Error("the digest depends on the forwarder's own address or on the positions of settings")
	}
	b.Fleet.Gossip.Join = nil
	if a.Digest() == b.Digest() {
		t.Error("the digest does not depend on the members to join")
	}
	if text, err := json.Marshal(b); err != nil || b.Fleet.Gossip.Listen == "" {
		t.Errorf("encoding the configuration, or computing its digest, changed it: %s (%v)", text, err)
	}
}
