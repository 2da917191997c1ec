package opfile

import (
	"maps"
	"math/big"
	"slices"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
)

// fleet evaluates the fleet block; only one is allowed.
func (l *loader) fleet(block *hclsyntax.Block) {
	if len(block.Labels) > 0 {
		l.fail(block.DefRange(), "fleet takes no name", "Write fleet { ... }.")
	}
	if at, exists := l.positions["fleet"]; exists {
		l.fail(block.DefRange(), "there are two fleet blocks", "The other is at "+position(at)+". Merge them.")
		return
	}
	l.positions["fleet"] = block.DefRange()
	l.checkNames(block.Body, "fleet", "ledger", "fence", "unheard", "share", "gossip*")
	f := &operator.Fleet{}
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		l.positions["fleet."+name] = a.Expr.Range()
		switch name {
		case "ledger":
			if n, ok := l.size(a); ok {
				f.LedgerBytes = int64(n)
			}
		case "fence":
			f.Lease, _ = l.duration(a)
		case "unheard":
			f.DiscoveryWait, _ = l.duration(a)
		case "share":
			if v, ok := l.evaluate(a); ok && v.Type() != cty.Number {
				l.fail(a.Expr.Range(), "share is a number", "Write share = 0.2 for a fifth.")
			} else if ok {
				f.MaxFencedShare, _ = new(big.Float).Copy(v.AsBigFloat()).Float64()
			}
		}
	}
	for _, b := range block.Body.Blocks {
		if b.Type != "gossip" {
			continue
		}
		if f.Gossip != nil {
			l.fail(b.DefRange(), "fleet has two gossip blocks", "Merge them.")
		}
		l.positions["fleet.gossip"] = b.DefRange()
		l.checkNames(b.Body, "gossip", "listen", "advertise", "join", "key_file")
		f.Gossip = &operator.Gossip{}
		for _, name := range slices.Sorted(maps.Keys(b.Body.Attributes)) {
			a := b.Body.Attributes[name]
			l.positions["fleet.gossip."+name] = a.Expr.Range()
			switch name {
			case "listen":
				f.Gossip.Listen, _ = l.text(a)
			case "advertise":
				f.Gossip.Advertise, _ = l.text(a)
			case "join":
				f.Gossip.Join = l.stringSet(a, `["10.0.0.4:7946"]`)
			case "key_file":
				f.Gossip.KeyFile, _ = l.text(a)
			}
		}
	}
	if f.Lease != 0 && block.Body.Attributes["unheard"] == nil {
		f.DiscoveryWait = operator.Duration(operator.DefaultDiscoveryWait)
	}
	if f.Gossip != nil && block.Body.Attributes["share"] == nil {
		f.MaxFencedShare = operator.DefaultMaxFencedShare
	}
	l.fleetConfig = f
}
