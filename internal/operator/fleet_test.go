package operator

import (
	"encoding/json"
	"testing"
	"time"
)

// TestFleetIsChecked: what can't be carried out is refused, and the own address is no part of what is compared.
func TestFleetIsChecked(t *testing.T) {
	good := func() *Fleet {
		return &Fleet{LedgerBytes: 1 << 20, Lease: Duration(time.Second), DiscoveryWait: Duration(DefaultDiscoveryWait), MaxFencedShare: 0.2, Gossip: &Gossip{Listen: "10.0.0.4:7946", Join: []string{"10.0.0.5:7946"}}}
	}
	config := func(f *Fleet) *Config {
		c := Default()
		c.Fleet = f
		return c
	}
	if list := config(good()).Check(); len(list) > 0 {
		t.Fatal(list)
	}
	for name, spoil := range map[string]func(*Fleet){
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
		f := good()
		if spoil(f); len(config(f).Check()) == 0 {
			t.Errorf("%s is taken", name)
		}
	}
	a, b := config(good()), config(good())
	b.Fleet.Gossip.Listen, b.Positions = "10.0.0.9:7946", map[string]string{"fleet": "other.hcl:3"}
	if a.Digest() != b.Digest() {
		t.Error("the own address, or where it is set, makes another digest")
	}
	b.Fleet.Gossip.Join = nil
	if a.Digest() == b.Digest() {
		t.Error("whom to join makes no other digest")
	}
	if text, err := json.Marshal(b); err != nil || b.Fleet.Gossip.Listen == "" {
		t.Errorf("%s (%v)", text, err)
	}
}
