package opfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
)

// pool evaluates one pool block with its endpoints.
func (l *loader) pool(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "a pool takes one name", `Write pool "NAME" { ... }.`)
		return
	}
	l.checkNames(block.Body, "pool", "destination", "source", "sender", "recipient", "endpoint*")
	p, findingsBefore := operator.Pool{Name: block.Labels[0]}, len(l.diags)
	key := "pool." + p.Name
	if at, exists := l.positions[key]; exists {
		l.fail(block.DefRange(), fmt.Sprintf("there are two pools %q", p.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", position(at)))
		return
	}
	l.positions[key] = block.DefRange()
	if a := block.Body.Attributes["destination"]; a != nil {
		l.positions[key+".destination"] = a.Expr.Range()
		if n, ok := l.number(a, anyNumber, 7); ok {
			p.Destination = &n
		}
	}
	if a := block.Body.Attributes["source"]; a != nil {
		v, ok := l.text(a)
		if p.Discovered = v == "discovery"; ok && !p.Discovered {
			l.fail(a.Expr.Range(), fmt.Sprintf("there is no source %q", v), `Write source = "discovery", or list endpoints.`)
		}
	}
	for _, name := range []string{"sender", "recipient"} {
		if a := block.Body.Attributes[name]; a != nil {
			l.positions[key+"."+name] = a.Expr.Range()
			*map[string]*string{"sender": &p.Sender, "recipient": &p.Recipient}[name], _ = l.text(a)
		}
	}
	for _, b := range block.Body.Blocks {
		if b.Type == "endpoint" {
			l.endpoint(&p, b)
		}
	}
	slices.SortFunc(p.Endpoints, func(a, b operator.PoolEndpoint) int { return strings.Compare(a.Name, b.Name) })
	if len(l.diags) == findingsBefore {
		l.pools = append(l.pools, p)
	}
}

// endpoint evaluates one endpoint block of a pool.
func (l *loader) endpoint(p *operator.Pool, b *hclsyntax.Block) {
	if len(b.Labels) != 1 {
		l.fail(b.DefRange(), "an endpoint takes one name", `Write endpoint "NAME" { address = "10.0.0.7:8080" }.`)
		return
	}
	l.checkNames(b.Body, "endpoint", "address", "zone", "backup", "drain", "weight", "protocol")
	e := operator.PoolEndpoint{Name: b.Labels[0]}
	key := "pool." + p.Name + "." + e.Name
	if _, exists := l.positions[key]; !exists {
		l.positions[key] = b.DefRange()
	}
	for _, name := range slices.Sorted(maps.Keys(b.Body.Attributes)) {
		a := b.Body.Attributes[name]
		l.positions[key+"."+name] = a.Expr.Range()
		switch name {
		case "address":
			e.Address, _ = l.text(a)
		case "protocol":
			e.Protocol, _ = l.text(a)
		case "zone":
			e.Zone, _ = l.text(a)
		case "weight":
			if n, ok := l.number(a, anyNumber, 7); ok && n < 1 {
				l.fail(a.Expr.Range(), fmt.Sprintf("weight is %d", n), "Write 1 or more; use drain = true to stop new calls.")
			} else if ok {
				e.Weight = n
			}
		case "backup", "drain":
			v, ok := l.evaluate(a)
			if ok && v.Type() != cty.Bool {
				l.fail(a.Expr.Range(), name+" is true or false", fmt.Sprintf("Write %s = true, or remove it.", name))
			} else if ok && name == "backup" {
				e.Backup = v.True()
			} else if ok {
				e.Drain = v.True()
			}
		}
	}
	p.Endpoints = append(p.Endpoints, e)
}
