package opfile

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
)

// route takes one route.
func (l *loader) route(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "a route takes one name", `Write route "NAME" { ... }.`)
		return
	}
	l.known(block.Body, "route", "order", "fronts", "classes", "destinations", "fields", "pool")
	r, wrong := operator.Route{Name: block.Labels[0]}, len(l.diags)
	key := "route." + r.Name
	if at, twice := l.places[key]; twice {
		l.fail(block.DefRange(), fmt.Sprintf("there are two routes %q", r.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", place(at)))
		return
	}
	l.places[key] = block.DefRange()
	if block.Body.Attributes["pool"] == nil {
		l.fail(block.DefRange(), fmt.Sprintf("the route %q leads nowhere", r.Name), `Write pool = "NAME".`)
	}
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		l.places[key+"."+name] = a.Expr.Range()
		switch name {
		case "classes", "destinations":
			l.bound(a, &r.Classes, &r.Destinations)
		case "fronts":
			r.Fronts = l.names(a, `["resp2"]`)
		case "order":
			r.Order, _ = l.number(a, anyNumber, 7)
		case "pool":
			r.Pool, _ = l.text(a)
		case "fields":
			r.Fields = l.fields(a)
		}
	}
	if len(l.diags) == wrong {
		l.routes = append(l.routes, r)
	}
}

// fields reads what fields must hold.
func (l *loader) fields(a *hclsyntax.Attribute) map[string]string {
	v, ok := l.value(a)
	if !ok {
		return nil
	}
	m := map[string]string{}
	if good := v.Type().IsObjectType() || v.Type().IsMapType(); good {
		for name, want := range v.AsValueMap() {
			if want.IsNull() || want.Type() != cty.String {
				l.fail(a.Expr.Range(), fmt.Sprintf("the field %q must hold a text", name), `Write "tartu", "tartu-*" or "/[a-z]+/".`)
				continue
			}
			m[name] = want.AsString()
		}
	}
	if len(m) == 0 {
		l.fail(a.Expr.Range(), "fields are names, and what each must hold", `Write fields = { campaign = "tartu-*" }, or leave it out.`)
	}
	return m
}

// names reads a list of texts that must not be empty.
func (l *loader) names(a *hclsyntax.Attribute, example string) []string {
	v, ok := l.value(a)
	if !ok {
		return nil
	}
	list, ok := texts(v)
	if !ok || len(list) == 0 {
		l.fail(a.Expr.Range(), a.Name+" are a list", fmt.Sprintf("Write %s = %s, or leave it out.", a.Name, example))
	}
	slices.Sort(list)
	return slices.Compact(list)
}
