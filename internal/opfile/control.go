package opfile

import (
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"scaleroute/internal/operator"
)

// control takes the one block of that kind.
func (l *loader) control(block *hclsyntax.Block) {
	if len(block.Labels) > 0 {
		l.fail(block.DefRange(), "control takes no name", "Write control { ... }.")
	}
	if at, twice := l.places["control"]; twice {
		l.fail(block.DefRange(), "there are two blocks control", "The other is at "+place(at)+". Make them one.")
		return
	}
	l.places["control"] = block.DefRange()
	l.known(block.Body, "control", "servers", "partitions", "replicas", "fetched", "lookup_bytes")
	set := operator.DefaultControl()
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		l.places["control."+name] = a.Expr.Range()
		switch name {
		case "servers":
			set.Servers = l.names(a, `["10.0.0.4:7400", "10.0.0.5:7400"]`)
		case "partitions":
			l.setNumber(a, &set.Partitions)
		case "replicas":
			l.setNumber(a, &set.Replicas)
		case "fetched":
			l.setNumber(a, &set.MaxFetched)
		case "lookup_bytes":
			if n, ok := l.size(a); ok {
				set.LookupBytesPerSecond = int64(n)
			}
		}
	}
	l.controlSet = &set
}

// setNumber reads a whole number, and leaves the default where it is none. A remedy names the default.
func (l *loader) setNumber(a *hclsyntax.Attribute, to *int) {
	if n, ok := l.number(a, anyNumber, *to); ok {
		*to = n
	}
}
