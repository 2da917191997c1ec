package operator

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/agext/levenshtein"

	"scaleroute/internal/decide"
	"scaleroute/internal/route"
)

// Route leads messages to a pool. What it does not name may be anything; package route says which of several goes first.
type Route struct {
	Name         string            `json:"name"`
	Order        int               `json:"order,omitempty"`
	Fronts       []string          `json:"fronts,omitempty"`
	Classes      []string          `json:"classes,omitempty"`
	Destinations []int             `json:"destinations,omitempty"` // that clients name
	Fields       map[string]string `json:"fields,omitempty"`       // what clients say beside
	Pool         string            `json:"pool"`
}

// What becomes of a message that fits no route.
const (
	ForwardUnrouted = "go"
	RejectUnrouted  = "reject"
)

// Fronts are those that there are.
var Fronts = []string{"resp2"}

// ownFields are those that have a place of their own, or that the client's side uses for itself.
var ownFields = []string{"c", "d", "dest", "r", "again"}

const mostRoutes = 200_000

// names finds pools and routes by their names.
type names struct {
	pools  map[string]*Pool
	routes map[string]*Route
}

// index finds what there is by name, and gives each limit the numbers of the pools that it names. It is made anew by whoever is about to look
// things up: the lists may have changed.
func (c *Config) index() {
	c.names = names{map[string]*Pool{}, map[string]*Route{}}
	for i := range c.Pools {
		c.names.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		c.names.routes[c.Routes[i].Name] = &c.Routes[i]
	}
	for i := range c.Limits {
		l := &c.Limits[i]
		l.numbers = nil
		for _, name := range l.Pools {
			if p := c.names.pools[name]; p != nil {
				l.numbers = append(l.numbers, p.DestinationNumber())
			}
		}
	}
}

// goalOf is the number of the destination that a route leads to.
func (c *Config) goalOf(r *Route) int {
	if p := c.names.pools[r.Pool]; p != nil {
		return p.DestinationNumber()
	}
	return 0
}

// checkNames checks the pools and routes that a limit names.
func (c *Config) checkNames(l *Limit, add func(key, what, remedy string)) {
	key := "limits." + l.Name
	for _, name := range l.Pools {
		if c.names.pools[name] == nil {
			add(key+".pools", fmt.Sprintf("there is no pool %q", name), SuggestName(name, c.poolNames()))
		}
	}
	for _, name := range l.Routes {
		if c.names.routes[name] == nil {
			add(key+".routes", fmt.Sprintf("there is no route %q", name), SuggestName(name, c.routeNames()))
		}
	}
	if len(l.Routes) > 0 && len(l.Destinations)+len(l.Pools) > 0 {
		add(key+".routes", "the block names routes and destinations or pools", "leave one of them: a route says itself where its messages go")
	}
}

func (c *Config) poolNames() (list []string) {
	for _, p := range c.Pools {
		list = append(list, p.Name)
	}
	return list
}

func (c *Config) routeNames() (list []string) {
	for _, r := range c.Routes {
		list = append(list, r.Name)
	}
	return list
}

// limitedRoutes are those that a limit names.
func (c *Config) limitedRoutes() (list []*Route) {
	seen := map[string]bool{}
	for _, l := range c.Limits {
		for _, name := range l.Routes {
			if r := c.names.routes[name]; r != nil && !seen[name] {
				seen[name] = true
				list = append(list, r)
			}
		}
	}
	return list
}

// SuggestName is the remedy for a name that there is not.
func SuggestName(name string, known []string) string {
	if len(known) == 0 {
		return "there is none"
	}
	best, least := "", 0
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); best == "" || d < least {
			best, least = k, d
		}
	}
	if least <= max(1, len(best)/3) {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "there is: " + strings.Join(known[:min(len(known), 10)], ", ")
}

// Routes finds where messages go.
type Routes struct {
	table  *route.Table
	mine   map[*route.Rule]bool
	to     map[string]int // by the route's name
	reject bool
}

// RouteMatch is a route that a message takes, and the number of the destination that it leads to.
type RouteMatch struct {
	Name        string
	Destination int
}

func (c *Config) rules() (rules []route.Rule, err error) {
	for i := range c.Routes {
		r := &c.Routes[i]
		rule := route.Rule{Name: r.Name, Order: r.Order, Fronts: r.Fronts, Classes: r.Classes, Destinations: r.Destinations}
		for _, name := range slices.Sorted(maps.Keys(r.Fields)) {
			m, err := route.ParseMatch(r.Fields[name])
			if err != nil {
				return nil, fmt.Errorf("route %q, field %s: %w", r.Name, name, err)
			}
			rule.Fields = append(rule.Fields, route.Field{Name: name, Match: m})
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

// NewRoutes makes the index of routes that Check has passed.
func (c *Config) NewRoutes() (*Routes, error) {
	rules, err := c.rules()
	if err != nil {
		return nil, err
	}
	t, err := route.New(rules)
	if err != nil {
		return nil, err
	}
	c.index()
	all := &Routes{table: t, mine: map[*route.Rule]bool{}, to: map[string]int{}, reject: c.Unrouted == RejectUnrouted}
	for _, r := range t.Rules() {
		all.mine[r] = true
	}
	for _, r := range c.Routes {
		p := c.names.pools[r.Pool]
		if p == nil {
			return nil, fmt.Errorf("route %q: there is no pool %q", r.Name, r.Pool)
		}
		all.to[r.Name] = p.DestinationNumber()
	}
	return all, nil
}

// Find returns the way that a message takes; nil if it fits no route.
func (t *Routes) Find(m *route.Message) *RouteMatch {
	if r := t.table.Find(m); r != nil {
		return &RouteMatch{r.Name, t.to[r.Name]}
	}
	return nil
}

// RejectsUnrouted tells whether a message that fits no route is rejected.
func (t *Routes) RejectsUnrouted() bool { return t.reject }

// Empty tells whether there is nothing to find.
func (t *Routes) Empty() bool { return t.table.Len() == 0 && !t.reject }

func (c *Config) checkRoutes(add func(key, what, remedy string)) {
	if c.Unrouted != "" && c.Unrouted != ForwardUnrouted && c.Unrouted != RejectUnrouted {
		add("unrouted", fmt.Sprintf("unrouted is %q", c.Unrouted), `choose "go" (to the destination that the message names) or "reject"`)
	}
	if c.Unrouted == RejectUnrouted && len(c.Routes) == 0 {
		add("unrouted", "all messages would be rejected: there is no route", "write routes, or take it out")
	}
	if len(c.Routes) > mostRoutes {
		add("route."+c.Routes[mostRoutes].Name, fmt.Sprintf("%d routes", len(c.Routes)), fmt.Sprintf("set %d at most", mostRoutes))
		return
	}
	pools, named, good := map[string]bool{}, map[string]bool{}, true
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	bad := func(key, what, remedy string) {
		good = false
		add(key, what, remedy)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := "route." + r.Name
		if r.Name == "" || len(r.Name) > mostName {
			bad(key, fmt.Sprintf("%.40q is no name of a route", r.Name), fmt.Sprintf("give it one of %d bytes at most", mostName))
		}
		if named[r.Name] {
			bad(key, fmt.Sprintf("there are two routes %q", r.Name), "give each a name of its own")
		}
		named[r.Name] = true
		if !pools[r.Pool] {
			bad(key+".pool", fmt.Sprintf("there is no pool %q", r.Pool), SuggestName(r.Pool, c.poolNames()))
		}
		if r.Order < -route.MaxOrder || r.Order > route.MaxOrder {
			bad(key+".order", fmt.Sprintf("order is %d", r.Order), fmt.Sprintf("set from -%d to %d", route.MaxOrder, route.MaxOrder))
		}
		for _, f := range r.Fronts {
			if !slices.Contains(Fronts, f) {
				bad(key+".fronts", fmt.Sprintf("there is no front %q", f), SuggestName(f, Fronts))
			}
		}
		for _, d := range r.Destinations {
			if d < 0 {
				bad(key+".destinations", fmt.Sprintf("no client can name the destination %d", d), "set 0 or more")
			}
		}
		if len(r.Fields) > route.MaxFields {
			bad(key+".fields", fmt.Sprintf("%d fields", len(r.Fields)), fmt.Sprintf("name %d at most", route.MaxFields))
		}
		for _, name := range slices.Sorted(maps.Keys(r.Fields)) {
			switch _, err := route.ParseMatch(r.Fields[name]); {
			case slices.Contains(ownFields, name):
				bad(key+".fields", fmt.Sprintf("the field %q is the client's own", name), "name classes and destinations by classes and destinations; the others are no ground for a route")
			case name == "" || len(name) > route.MaxNameLen || strings.ContainsAny(name, ",= \r\n"):
				bad(key+".fields", fmt.Sprintf("%.70q is no name of a field", name), fmt.Sprintf("a name has %d bytes at most, and no comma, space or =", route.MaxNameLen))
			case err != nil:
				bad(key+".fields", fmt.Sprintf("what field %s must hold can't be read: %v", name, err), `write a text, a beginning ("tartu-*") or a regular expression ("/[a-z]+-[0-9]+/")`)
			case strings.Contains(r.Fields[name], ",") && r.Fields[name][0] != '/':
				bad(key+".fields", fmt.Sprintf("no field can hold %q: a comma ends it", r.Fields[name]), "take the comma out")
			}
		}
	}
	if good {
		c.checkWays(add)
	}
}

// checkWays looks at routes that fit one message.
func (c *Config) checkWays(add func(key, what, remedy string)) {
	rules, err := c.rules()
	if err != nil {
		return // said already
	}
	t, err := route.New(rules)
	if err != nil {
		key := "route." + c.Routes[0].Name
		if e := (*route.Error)(nil); errors.As(err, &e) {
			key = "route." + e.Route
		}
		add(key, err.Error(), "write fewer different forms: other fields, or other lengths of what a field begins with, are other forms")
		return
	}
	pairs, err := t.Ambiguous()
	if err != nil {
		add("route."+c.Routes[0].Name, err.Error(), "there are no patterns needed where a text or a beginning will do")
		return
	}
	for _, p := range pairs {
		at := cmp.Or(c.Positions["route."+p.A.Name], p.A.Name)
		add("route."+p.B.Name, fmt.Sprintf("the routes %q and %q are of equal rank for %s", p.A.Name, p.B.Name, p.Messages),
			fmt.Sprintf("set order in one of them: the lower one goes first (the other: %s)", at))
	}
	if len(pairs) == 0 {
		c.hidden(t, nil, add)
	}
}

// hidden says which routes never match; with classes there are no others.
func (c *Config) hidden(t *route.Table, classes []string, add func(key, what, remedy string)) {
	for _, r := range t.Rules() {
		by := t.ShadowedBy(r, classes, Fronts)
		if len(by) == 0 {
			continue
		}
		var others []string
		for _, o := range by[:min(len(by), 10)] {
			others = append(others, fmt.Sprintf("%q (%s)", o.Name, cmp.Or(c.Positions["route."+o.Name], o.Name)))
		}
		add("route."+r.Name, fmt.Sprintf("the route %q can never match: %s go before it for all of its messages", r.Name, strings.Join(others, ", ")),
			"take it out, or give it a lower order")
	}
}

// routesAgainst lists what routes name that the platform does not have.
func (c *Config) routesAgainst(names []string, add func(key, what, remedy string)) {
	for _, r := range c.Routes {
		for _, name := range r.Classes {
			if !slices.Contains(names, name) {
				add("route."+r.Name+".classes", fmt.Sprintf("the platform has no class %q", name), fmt.Sprintf("it has %v", names))
			}
		}
	}
}

// PlatformWarnings lists routes that never match since the platform has no other classes than those that others go before them for.
func (c *Config) PlatformWarnings(set decide.Settings) (list []Problem) {
	rules, err := c.rules()
	if err != nil {
		return nil // said by Check
	}
	t, err := route.New(rules)
	if err != nil {
		return nil
	}
	var names []string
	for _, k := range set.Classes {
		names = append(names, k.Name)
	}
	c.hidden(t, names, func(key, what, remedy string) { list = append(list, Problem{key, what, remedy}) })
	return list
}

// Warnings lists what can be carried out and is likely not meant.
func (c *Config) Warnings() (list []Problem) {
	used := map[string]bool{}
	for _, r := range c.Routes {
		used[r.Pool] = true
	}
	for _, p := range c.Pools {
		if p.Destination == nil && !used[p.Name] {
			list = append(list, Problem{"pool." + p.Name, fmt.Sprintf("nobody uses the pool %q: no route leads to it, and it has no destination", p.Name),
				"name it in a route, or give it the destination whose endpoints it has"})
		}
		if p.Discovered && !used[p.Name] {
			list = append(list, Problem{"pool." + p.Name, fmt.Sprintf("nobody uses the pool %q: no route leads to it, and discovery's endpoints are used without it", p.Name), "name it in a route, or take it out"})
		}
	}
	return append(list, c.slips()...)
}

// slips are times that differ a thousandfold between blocks: likely "3s" for "3ms", or the other way round.
func (c *Config) slips() (list []Problem) {
	for _, n := range []int{answer, whole, connect, wait} {
		by := map[float64][]*Limit{}
		for i := range c.Limits {
			if v := c.Limits[i].figure(n); v != 0 {
				by[v] = append(by[v], &c.Limits[i])
			}
		}
		for _, v := range slices.Sorted(maps.Keys(by)) {
			few, many := by[v], by[v*1000]
			if len(many) == 0 {
				continue
			}
			if len(few) > len(many) {
				few, many = many, few
			}
			key, other := "limits."+few[0].Name+"."+figureNames[n], "limits."+many[0].Name+"."+figureNames[n]
			list = append(list, Problem{key, fmt.Sprintf("%s is %s here, and %s in %q: a thousandfold", figureNames[n], few[0].show(n), many[0].show(n), many[0].Name),
				fmt.Sprintf("is the unit meant? (the other: %s)", cmp.Or(c.Positions[other], other))})
		}
	}
	return list
}

// diffRoutes lists the messages that go elsewhere.
func diffRoutes(old, new *Config, most int) (list []Change) {
	a, err := old.NewRoutes()
	b, err2 := new.NewRoutes()
	if errors.Join(err, err2) != nil {
		return []Change{{Scope: "routes", Key: "goes", Old: fmt.Sprint(cmp.Or(err, err2)), New: "can't be told"}}
	}
	place := func(r *route.Rule) string {
		switch {
		case r == nil:
			return "by no route"
		case b.mine[r]:
			return new.goal(b.to[r.Name])
		}
		return old.goal(a.to[r.Name])
	}
	way := func(r *route.Rule) int { // the same number is the same place
		switch {
		case r == nil:
			return math.MinInt
		case b.mine[r]:
			return b.to[r.Name]
		}
		return a.to[r.Name]
	}
	where := func(c *Config, r *route.Rule) string {
		if r == nil {
			return ""
		}
		return c.Positions["route."+r.Name]
	}
	for _, c := range route.Diff(a.table, b.table, most, way) {
		if c.Truncated {
			list = append(list, Change{c.Messages.String(), "goes", "more kinds of these, that fit other routes too, go elsewhere", "ask explain", "", ""})
			continue
		}
		list = append(list, Change{c.Messages.String(), "goes", place(c.Old), place(c.New), where(old, c.Old), where(new, c.New)})
	}
	return list
}

func (c *Config) shownOr(old *Config, s scope) string {
	if s.named && s.dest < 0 && strings.HasPrefix(c.goal(s.dest), "destination") {
		return old.shown(s)
	}
	return c.shown(s)
}
