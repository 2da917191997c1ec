package opfile

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
)

// route evaluates one route block.
func (l *loader) route(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "a route takes one name", `Write route "NAME" { ... }.`)
		return
	}
	l.checkNames(block.Body, "route", "order", "fronts", "classes", "destinations", "fields", "pool")
	r, findingsBefore := operator.Route{Name: block.Labels[0]}, len(l.diags)
	key := "route." + r.Name
	if at, exists := l.positions[key]; exists {
		l.fail(block.DefRange(), fmt.Sprintf("there are two routes %q", r.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", position(at)))
		return
	}
	l.positions[key] = block.DefRange()
	if block.Body.Attributes["pool"] == nil {
		l.fail(block.DefRange(), fmt.Sprintf("the route %q has no pool", r.Name), `Write pool = "NAME".`)
	}
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		l.positions[key+"."+name] = a.Expr.Range()
		switch name {
		case "classes", "destinations":
			l.classesOrDestinations(a, &r.Classes, &r.Destinations)
		case "fronts":
			r.Fronts = l.stringSet(a, `["resp2"]`)
		case "order":
			r.Order, _ = l.number(a, anyNumber, 7)
		case "pool":
			r.Pool, _ = l.text(a)
		case "fields":
			r.Fields = l.fields(a)
		}
	}
	if len(l.diags) == findingsBefore {
		l.routes = append(l.routes, r)
	}
}

// fields evaluates the patterns that the fields of a message must match.
func (l *loader) fields(a *hclsyntax.Attribute) map[string]string {
	v, ok := l.evaluate(a)
	if !ok {
		return nil
	}
	m := map[string]string{}
	if isMap := v.Type().IsObjectType() || v.Type().IsMapType(); isMap {
		for name, pattern := range v.AsValueMap() {
			if pattern.IsNull() || pattern.Type() != cty.String {
				l.fail(a.Expr.Range(), fmt.Sprintf("the pattern for field %q must be a text", name), `Write "tartu", "tartu-*" or "/[a-z]+/".`)
				continue
			}
			m[name] = pattern.AsString()
		}
	}
	if len(m) == 0 {
		l.fail(a.Expr.Range(), "fields are names with patterns", `Write fields = { campaign = "tartu-*" }, or remove it.`)
	}
	return m
}

// stringSet evaluates a list of strings that must not be empty, and returns it sorted and without duplicates.
func (l *loader) stringSet(a *hclsyntax.Attribute, example string) []string {
	v, ok := l.evaluate(a)
	if !ok {
		return nil
	}
	list, ok := stringList(v)
	if !ok || len(list) == 0 {
		l.fail(a.Expr.Range(), a.Name+" are a list", fmt.Sprintf("Write %s = %s, or remove it.", a.Name, example))
	}
	slices.Sort(list)
	return slices.Compact(list)
}
