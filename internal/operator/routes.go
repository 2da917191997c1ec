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

// Route sends matching messages to a pool. A condition that is not set matches anything. Package route decides which of several
// matching routes takes precedence.
type Route struct {
	Name         string            `json:"name"`
	Order        int               `json:"order,omitempty"`
	Fronts       []string          `json:"fronts,omitempty"`
	Classes      []string          `json:"classes,omitempty"`
	Destinations []int             `json:"destinations,omitempty"` // the destinations that clients name
	Fields       map[string]string `json:"fields,omitempty"`       // patterns for the other fields that clients send
	Pool         string            `json:"pool"`
}

// The actions for a message that matches no route.
const (
	ForwardUnrouted = "go"
	RejectUnrouted  = "reject"
)

// Fronts are the names of the fronts.
var Fronts = []string{"resp2"}

// reservedFields are the fields that have keys of their own in a route or that the client side uses for its own purposes.
var reservedFields = []string{"c", "d", "dest", "r", "again"}

const maxRoutes = 200_000

// nameLookup finds pools and routes by name.
type nameLookup struct {
	pools  map[string]*Pool
	routes map[string]*Route
}

// buildLookup indexes pools and routes by name and sets the destination numbers of the pools that each limit names. Each caller
// rebuilds it before looking names up, since the lists may have changed.
func (c *Config) buildLookup() {
	c.lookup = nameLookup{map[string]*Pool{}, map[string]*Route{}}
	for i := range c.Pools {
		c.lookup.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		c.lookup.routes[c.Routes[i].Name] = &c.Routes[i]
	}
	for i := range c.Limits {
		l := &c.Limits[i]
		l.poolNumbers = nil
		for _, name := range l.Pools {
			if p := c.lookup.pools[name]; p != nil {
				l.poolNumbers = append(l.poolNumbers, p.DestinationNumber())
			}
		}
	}
}

// destinationOf returns the number of the destination that a route leads to.
func (c *Config) destinationOf(r *Route) int {
	if p := c.lookup.pools[r.Pool]; p != nil {
		return p.DestinationNumber()
	}
	return 0
}

// checkLimitReferences checks that the pools and routes that a limit names exist.
func (c *Config) checkLimitReferences(l *Limit, add func(key, what, remedy string)) {
	key := "limits." + l.Name
	for _, name := range l.Pools {
		if c.lookup.pools[name] == nil {
			add(key+".pools", fmt.Sprintf("there is no pool %q", name), SuggestName(name, c.poolNames()))
		}
	}
	for _, name := range l.Routes {
		if c.lookup.routes[name] == nil {
			add(key+".routes", fmt.Sprintf("there is no route %q", name), SuggestName(name, c.routeNames()))
		}
	}
	if len(l.Routes) > 0 && len(l.Destinations)+len(l.Pools) > 0 {
		add(key+".routes", "the block names routes and destinations or pools", "remove one of them: the route already determines the destination of its messages")
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

// limitedRoutes returns the routes that a limit names.
func (c *Config) limitedRoutes() (list []*Route) {
	seen := map[string]bool{}
	for _, l := range c.Limits {
		for _, name := range l.Routes {
			if r := c.lookup.routes[name]; r != nil && !seen[name] {
				seen[name] = true
				list = append(list, r)
			}
		}
	}
	return list
}

// SuggestName returns the remedy for an unknown name: the most similar known name, or a list of known names.
func SuggestName(name string, known []string) string {
	if len(known) == 0 {
		return "there is none"
	}
	best, shortest := "", 0
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); best == "" || d < shortest {
			best, shortest = k, d
		}
	}
	if shortest <= max(1, len(best)/3) {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "there is: " + strings.Join(known[:min(len(known), 10)], ", ")
}

// Routes finds the destinations of messages.
type Routes struct {
	table          *route.Table
	rules          map[*route.Rule]bool
	destinations   map[string]int // by the name of the route
	rejectUnrouted bool
}

// RouteMatch is the route that a message matches and the number of the destination that it leads to.
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

// NewRoutes compiles the routes, which must have passed Check.
func (c *Config) NewRoutes() (*Routes, error) {
	rules, err := c.rules()
	if err != nil {
		return nil, err
	}
	t, err := route.New(rules)
	if err != nil {
		return nil, err
	}
	c.buildLookup()
	all := &Routes{table: t, rules: map[*route.Rule]bool{}, destinations: map[string]int{}, rejectUnrouted: c.Unrouted == RejectUnrouted}
	for _, r := range t.Rules() {
		all.rules[r] = true
	}
	for _, r := range c.Routes {
		p := c.lookup.pools[r.Pool]
		if p == nil {
			return nil, fmt.Errorf("route %q: there is no pool %q", r.Name, r.Pool)
		}
		all.destinations[r.Name] = p.DestinationNumber()
	}
	return all, nil
}

// Find returns the match for a message, or nil if it matches no route.
func (t *Routes) Find(m *route.Message) *RouteMatch {
	if r := t.table.Find(m); r != nil {
		return &RouteMatch{r.Name, t.destinations[r.Name]}
	}
	return nil
}

// RejectsUnrouted reports whether a message that matches no route is rejected.
func (t *Routes) RejectsUnrouted() bool { return t.rejectUnrouted }

// Empty reports whether routing has no effect: there is no route, and unrouted messages are forwarded.
func (t *Routes) Empty() bool { return t.table.Len() == 0 && !t.rejectUnrouted }

func (c *Config) checkRoutes(add func(key, what, remedy string)) {
	if c.Unrouted != "" && c.Unrouted != ForwardUnrouted && c.Unrouted != RejectUnrouted {
		add("unrouted", fmt.Sprintf("unrouted is %q", c.Unrouted), `choose "go" (to the destination that the message names) or "reject"`)
	}
	if c.Unrouted == RejectUnrouted && len(c.Routes) == 0 {
		add("unrouted", "all messages would be rejected: there is no route", "write routes, or remove it")
	}
	if len(c.Routes) > maxRoutes {
		add("route."+c.Routes[maxRoutes].Name, fmt.Sprintf("%d routes", len(c.Routes)), fmt.Sprintf("set %d at most", maxRoutes))
		return
	}
	pools, seen, valid := map[string]bool{}, map[string]bool{}, true
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	report := func(key, what, remedy string) {
		valid = false
		add(key, what, remedy)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := "route." + r.Name
		if r.Name == "" || len(r.Name) > maxNameLen {
			report(key, fmt.Sprintf("%.40q is not a valid name of a route", r.Name), fmt.Sprintf("choose one of 1 to %d bytes", maxNameLen))
		}
		if seen[r.Name] {
			report(key, fmt.Sprintf("there are two routes %q", r.Name), "give each a name of its own")
		}
		seen[r.Name] = true
		if !pools[r.Pool] {
			report(key+".pool", fmt.Sprintf("there is no pool %q", r.Pool), SuggestName(r.Pool, c.poolNames()))
		}
		if r.Order < -route.MaxOrder || r.Order > route.MaxOrder {
			report(key+".order", fmt.Sprintf("order is %d", r.Order), fmt.Sprintf("set from -%d to %d", route.MaxOrder, route.MaxOrder))
		}
		for _, f := range r.Fronts {
			if !slices.Contains(Fronts, f) {
				report(key+".fronts", fmt.Sprintf("there is no front %q", f), SuggestName(f, Fronts))
			}
		}
		for _, d := range r.Destinations {
			if d < 0 {
				report(key+".destinations", fmt.Sprintf("no client can name the destination %d", d), "set 0 or more")
			}
		}
		if len(r.Fields) > route.MaxFields {
			report(key+".fields", fmt.Sprintf("%d fields", len(r.Fields)), fmt.Sprintf("name %d at most", route.MaxFields))
		}
		for _, name := range slices.Sorted(maps.Keys(r.Fields)) {
			switch _, err := route.ParseMatch(r.Fields[name]); {
			case slices.Contains(reservedFields, name):
				report(key+".fields", fmt.Sprintf("the field %q is reserved for the client", name), "match classes and destinations by the keys classes and destinations; routes can't match the other reserved fields")
			case name == "" || len(name) > route.MaxNameLen || strings.ContainsAny(name, ",= \r\n"):
				report(key+".fields", fmt.Sprintf("%.70q is not a valid name of a field", name), fmt.Sprintf("a name has %d bytes at most, and no comma, space or =", route.MaxNameLen))
			case err != nil:
				report(key+".fields", fmt.Sprintf("the pattern for field %s can't be parsed: %v", name, err), `write a text, a prefix ("tartu-*") or a regular expression ("/[a-z]+-[0-9]+/")`)
			case strings.Contains(r.Fields[name], ",") && r.Fields[name][0] != '/':
				report(key+".fields", fmt.Sprintf("no field can contain %q: a comma ends it", r.Fields[name]), "remove the comma")
			}
		}
	}
	if valid {
		c.checkRouteOverlaps(add)
	}
}

// checkRouteOverlaps checks routes that match the same messages.
func (c *Config) checkRouteOverlaps(add func(key, what, remedy string)) {
	rules, err := c.rules()
	if err != nil {
		return // already reported
	}
	t, err := route.New(rules)
	if err != nil {
		key := "route." + c.Routes[0].Name
		if e := (*route.Error)(nil); errors.As(err, &e) {
			key = "route." + e.Route
		}
		add(key, err.Error(), "use fewer different forms of routes: routes with different fields or different lengths of prefixes have different forms")
		return
	}
	pairs, err := t.Ambiguous()
	if err != nil {
		add("route."+c.Routes[0].Name, err.Error(), "use a text or a prefix instead of a regular expression where it is enough")
		return
	}
	for _, p := range pairs {
		at := cmp.Or(c.Positions["route."+p.A.Name], p.A.Name)
		add("route."+p.B.Name, fmt.Sprintf("the routes %q and %q are of equal rank for %s", p.A.Name, p.B.Name, p.Messages),
			fmt.Sprintf("set order in one of them: the lower one takes precedence (the other: %s)", at))
	}
	if len(pairs) == 0 {
		c.reportShadowed(t, nil, add)
	}
}

// reportShadowed reports routes that never match. If classes are given, it assumes that no others exist.
func (c *Config) reportShadowed(t *route.Table, classes []string, add func(key, what, remedy string)) {
	for _, r := range t.Rules() {
		by := t.ShadowedBy(r, classes, Fronts)
		if len(by) == 0 {
			continue
		}
		var others []string
		for _, o := range by[:min(len(by), 10)] {
			others = append(others, fmt.Sprintf("%q (%s)", o.Name, cmp.Or(c.Positions["route."+o.Name], o.Name)))
		}
		add("route."+r.Name, fmt.Sprintf("the route %q can never match: %s take precedence for all of its messages", r.Name, strings.Join(others, ", ")),
			"remove it, or give it a lower order")
	}
}

// checkRouteClasses reports classes in routes that the platform does not have.
func (c *Config) checkRouteClasses(names []string, add func(key, what, remedy string)) {
	for _, r := range c.Routes {
		for _, name := range r.Classes {
			if !slices.Contains(names, name) {
				add("route."+r.Name+".classes", fmt.Sprintf("the platform has no class %q", name), fmt.Sprintf("it has %v", names))
			}
		}
	}
}

// PlatformWarnings lists routes that never match because other routes take precedence for all classes of the platform.
func (c *Config) PlatformWarnings(set decide.Settings) (list []Problem) {
	rules, err := c.rules()
	if err != nil {
		return nil // reported by Check
	}
	t, err := route.New(rules)
	if err != nil {
		return nil
	}
	var names []string
	for _, k := range set.Classes {
		names = append(names, k.Name)
	}
	c.reportShadowed(t, names, func(key, what, remedy string) { list = append(list, Problem{key, what, remedy}) })
	return list
}

// Warnings lists settings that are valid but probably unintended.
func (c *Config) Warnings() (list []Problem) {
	used := map[string]bool{}
	for _, r := range c.Routes {
		used[r.Pool] = true
	}
	for _, p := range c.Pools {
		if p.Destination == nil && !used[p.Name] {
			list = append(list, Problem{"pool." + p.Name, fmt.Sprintf("the pool %q is unused: no route leads to it, and it has no destination", p.Name),
				"name it in a route, or give it the destination whose endpoints it has"})
		}
		if p.Discovered && !used[p.Name] {
			list = append(list, Problem{"pool." + p.Name, fmt.Sprintf("the pool %q has no effect: no route leads to it, and discovery's endpoints are used without it", p.Name), "name it in a route, or remove it"})
		}
	}
	return append(list, c.unitMismatches()...)
}

// unitMismatches reports durations that differ by a factor of 1000 between blocks: probably "3s" was written for "3ms", or the
// other way round.
func (c *Config) unitMismatches() (list []Problem) {
	for _, n := range []int{keyAnswer, keyWhole, keyConnect, keyWait} {
		by := map[float64][]*Limit{}
		for i := range c.Limits {
			if v := c.Limits[i].value(n); v != 0 {
				by[v] = append(by[v], &c.Limits[i])
			}
		}
		for _, v := range slices.Sorted(maps.Keys(by)) {
			fewer, more := by[v], by[v*1000]
			if len(more) == 0 {
				continue
			}
			if len(fewer) > len(more) {
				fewer, more = more, fewer
			}
			key, other := "limits."+fewer[0].Name+"."+keyNames[n], "limits."+more[0].Name+"."+keyNames[n]
			list = append(list, Problem{key, fmt.Sprintf("%s is %s here and %s in %q: they differ by a factor of 1000", keyNames[n], fewer[0].format(n), more[0].format(n), more[0].Name),
				fmt.Sprintf("is the unit right? (the other: %s)", cmp.Or(c.Positions[other], other))})
		}
	}
	return list
}

// diffRoutes lists the groups of messages whose destination changes.
func diffRoutes(old, new *Config, maxGroups int) (list []Change) {
	a, err := old.NewRoutes()
	b, err2 := new.NewRoutes()
	if errors.Join(err, err2) != nil {
		return []Change{{Scope: "routes", Key: "goes", Old: fmt.Sprint(cmp.Or(err, err2)), New: "can't be determined"}}
	}
	describe := func(r *route.Rule) string {
		switch {
		case r == nil:
			return "by no route"
		case b.rules[r]:
			return new.describeDestination(b.destinations[r.Name])
		}
		return old.describeDestination(a.destinations[r.Name])
	}
	destination := func(r *route.Rule) int { // equal numbers mean the same destination
		switch {
		case r == nil:
			return math.MinInt
		case b.rules[r]:
			return b.destinations[r.Name]
		}
		return a.destinations[r.Name]
	}
	position := func(c *Config, r *route.Rule) string {
		if r == nil {
			return ""
		}
		return c.Positions["route."+r.Name]
	}
	for _, c := range route.Diff(a.table, b.table, maxGroups, destination) {
		if c.Truncated {
			list = append(list, Change{c.Messages.String(), "goes", "more of these messages, which match other routes too, change destination", "use explain", "", ""})
			continue
		}
		list = append(list, Change{c.Messages.String(), "goes", describe(c.Old), describe(c.New), position(old, c.Old), position(new, c.New)})
	}
	return list
}

// describeScopeOr describes a scope by this configuration, or by the old one if only that has the pool of the scope.
func (c *Config) describeScopeOr(old *Config, s scope) string {
	if s.hasDest && s.dest < 0 && strings.HasPrefix(c.describeDestination(s.dest), "destination") {
		return old.describeScope(s)
	}
	return c.describeScope(s)
}
