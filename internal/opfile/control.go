package opfile

import (
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"scaleroute/internal/operator"
)

// control evaluates the control block; only one is allowed.
func (l *loader) control(block *hclsyntax.Block) {
	if len(block.Labels) > 0 {
		l.fail(block.DefRange(), "control takes no name", "Write control { ... }.")
	}
	if at, exists := l.positions["control"]; exists {
		l.fail(block.DefRange(), "there are two control blocks", "The other is at "+position(at)+". Merge them.")
		return
	}
	l.positions["control"] = block.DefRange()
	l.checkNames(block.Body, "control", "servers", "partitions", "replicas", "fetched", "lookup_bytes")
	control := operator.DefaultControl()
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		l.positions["control."+name] = a.Expr.Range()
		switch name {
		case "servers":
			control.Servers = l.stringSet(a, `["10.0.0.4:7400", "10.0.0.5:7400"]`)
		case "partitions":
			l.setNumber(a, &control.Partitions)
		case "replicas":
			l.setNumber(a, &control.Replicas)
		case "fetched":
			l.setNumber(a, &control.MaxFetched)
		case "lookup_bytes":
			if n, ok := l.size(a); ok {
				control.LookupBytesPerSecond = int64(n)
			}
		}
	}
	l.controlConfig = &control
}

// setNumber evaluates a whole number. If the value is invalid, the default stays, and the remedy of the finding contains it.
func (l *loader) setNumber(a *hclsyntax.Attribute, to *int) {
	if n, ok := l.number(a, anyNumber, *to); ok {
		*to = n
	}
}
