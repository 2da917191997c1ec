package operator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Limit bounds what is done for some messages. Each of its figures holds on its own: one that a rule does not set comes from
// the next less specific one, and in the end from the platform. A limit can only tighten.
type Limit struct {
	Name           string   `json:"name"`
	Classes        []string `json:"classes,omitempty"`      // none: all
	Destinations   []int    `json:"destinations,omitempty"` // where messages go; none: all
	Pools          []string `json:"pools,omitempty"`        // the same, by the names of pools
	Routes         []string `json:"routes,omitempty"`       // by which they came; none: any, or none
	MaxAttempts    int      `json:"attempts,omitempty"`     // for one message; 0: not set
	AttemptTimeout Duration `json:"answer,omitempty"`       // how long one attempt may wait for its answer; 0: not set
	TotalTimeout   Duration `json:"whole,omitempty"`        // how long a message may be delivered in all; 0: not set
	MaxQueued      int      `json:"held,omitempty"`         // messages held at once, for each destination apart; 0: not set
	ConnectTimeout Duration `json:"connect,omitempty"`      // how long a connection may take; 0: not set
	RetryDelay     Duration `json:"wait,omitempty"`         // before the first further try, jittered; it doubles from there; 0: not set

	HedgeDelay Duration `json:"copy,omitempty"` // until a second copy goes out of what may be repeated; 0: none

	// Of all messages for a destination together, whatever their class.
	MaxInFlight   int     `json:"out,omitempty"`   // calls out at once; 0: not set
	MaxRate       float64 `json:"rate,omitempty"`  // calls a second; 0: not set
	MaxRetryRatio float64 `json:"ratio,omitempty"` // further tries as a share of first tries; 0: not set

	numbers []int // of the pools, once they are known
}

// The figures that a limit may set.
const (
	attempts = iota
	answer
	whole
	held
	connect
	wait
	second
	out
	rate
	ratio
	figures
)

var figureNames = [figures]string{"attempts", "answer", "whole", "held", "connect", "wait", "copy", "out", "rate", "ratio"}

var allFigures = []int{attempts, answer, whole, held, connect, wait, second, out, rate, ratio}

// figure is one of them; 0 if it is not set.
func (l *Limit) figure(n int) float64 {
	return [figures]float64{float64(l.MaxAttempts), float64(l.AttemptTimeout), float64(l.TotalTimeout), float64(l.MaxQueued), float64(l.ConnectTimeout), float64(l.RetryDelay), float64(l.HedgeDelay),
		float64(l.MaxInFlight), l.MaxRate, l.MaxRetryRatio}[n]
}

// show is one of them as it is written.
func (l *Limit) show(n int) string {
	switch n {
	case answer, whole, connect, wait, second:
		return time.Duration(l.figure(n)).String()
	case rate:
		return fmt.Sprint(l.MaxRate, "/s")
	}
	return fmt.Sprint(l.figure(n))
}

// mostAttempts bounds what may be written; the platform's own limit is less.
const (
	mostAttempts = 100
	mostHeld     = 10_000_000
	leastWhole   = 100 * time.Millisecond
	mostWhole    = 24 * time.Hour
	leastWait    = 100 * time.Millisecond // the module's own first wait
	mostWait     = time.Minute
	leastCopy    = 10 * time.Millisecond
	mostOut      = 100_000
	leastRate    = 0.01
	mostRate     = 1e6
	leastRatio   = 0.01 // the module's own floor and cap: with more, repeats could exceed a third of first tries
	mostRatio    = 0.2
)

// scope is one kind of message that rules name: a class or any, a destination or any, or a route.
type scope struct {
	class string
	dest  int
	named bool // the destination is
	route string
}

// scopes are those that a rule names.
func (l *Limit) scopes() (list []scope) {
	classes := l.Classes
	if len(classes) == 0 {
		classes = []string{""}
	}
	for _, c := range classes {
		if len(l.Destinations)+len(l.Pools)+len(l.Routes) == 0 {
			list = append(list, scope{class: c})
		}
		for _, d := range l.goals() {
			list = append(list, scope{class: c, dest: d, named: true})
		}
		for _, name := range l.Routes {
			list = append(list, scope{class: c, route: name})
		}
	}
	return list
}

// goals are the numbers of all destinations that a rule names.
func (l *Limit) goals() []int {
	if len(l.Pools) == 0 {
		return l.Destinations
	}
	return append(slices.Clone(l.Destinations), l.numbers...)
}

// wider lists the scopes that hold a message, the most specific first: class and route, route, class and destination,
// destination, class, all. Without a route the first two are no scopes of their own, and least says where it begins.
func wider(class string, dest int, route string) (all [6]scope, least int) {
	if route == "" {
		least = 2
	}
	return [6]scope{{class: class, route: route}, {route: route}, {class: class, dest: dest, named: true}, {dest: dest, named: true}, {class: class}, {}}, least
}

// Limits finds the limits that hold for a message.
type Limits struct {
	by [figures]map[scope]*Limit
}

// NewLimits makes the index of rules that Check has passed.
func (c *Config) NewLimits() *Limits {
	l := &Limits{}
	c.index()
	for n := range l.by {
		l.by[n] = map[scope]*Limit{}
	}
	for i := range c.Limits {
		rule := &c.Limits[i]
		for _, s := range rule.scopes() {
			for n := range l.by {
				if rule.figure(n) != 0 {
					l.by[n][s] = rule
				}
			}
		}
	}
	return l
}

// of returns the rule that sets a figure for a message; nil where none does.
func (l *Limits) of(n int, class string, dest int, route string) *Limit {
	all, least := wider(class, dest, route)
	for _, s := range all[least:] {
		if rule := l.by[n][s]; rule != nil {
			return rule
		}
	}
	return nil
}

// DecisionLimits is what the decision module applies.
func (l *Limits) DecisionLimits(class string, dest int, route string) (m decide.Limits) {
	if rule := l.of(attempts, class, dest, route); rule != nil {
		m.MaxAttempts = rule.MaxAttempts
	}
	if rule := l.of(answer, class, dest, route); rule != nil {
		m.AttemptTimeout = time.Duration(rule.AttemptTimeout)
	}
	if rule := l.of(wait, class, dest, route); rule != nil {
		m.RetryDelay = time.Duration(rule.RetryDelay)
	}
	if rule := l.of(second, class, dest, route); rule != nil {
		m.HedgeDelay = time.Duration(rule.HedgeDelay)
	}
	if rule := l.of(out, "", dest, ""); rule != nil {
		m.MaxInFlight = rule.MaxInFlight
	}
	if rule := l.of(rate, "", dest, ""); rule != nil {
		m.MaxRate = rule.MaxRate
	}
	if rule := l.of(ratio, "", dest, ""); rule != nil {
		m.MaxRetryRatio = rule.MaxRetryRatio
	}
	return m
}

// IntakeLimits is what the engine applies when a message comes: its time, and how many may be held at once for the
// destination under which rule; 0 for no limit.
func (l *Limits) IntakeLimits(class string, dest int, route string) (i engine.Limits) {
	if rule := l.of(whole, class, dest, route); rule != nil {
		i.Total = time.Duration(rule.TotalTimeout)
	}
	if rule := l.of(held, class, dest, route); rule != nil {
		i.Rule, i.Queued = rule.Name, rule.MaxQueued
	}
	if rule := l.of(connect, class, dest, route); rule != nil {
		i.Connect = time.Duration(rule.ConnectTimeout)
	}
	return i
}

func (c *Config) checkLimits(add func(key, what, remedy string)) {
	named := map[string]bool{}
	c.index()
	var by [figures]map[scope]string
	for n := range by {
		by[n] = map[scope]string{}
	}
	for i := range c.Limits {
		l := &c.Limits[i]
		key := "limits." + l.Name
		if named[l.Name] {
			add(key, fmt.Sprintf("there are two limits %q", l.Name), "give each a name of its own")
		}
		named[l.Name] = true
		if l.MaxAttempts < 0 || l.MaxAttempts > mostAttempts {
			add(key+".attempts", fmt.Sprintf("%d attempts", l.MaxAttempts), fmt.Sprintf("set from 1 to %d", mostAttempts))
		}
		if l.AttemptTimeout != 0 && (l.AttemptTimeout < Duration(time.Millisecond) || l.AttemptTimeout > Duration(time.Hour)) {
			add(key+".answer", fmt.Sprintf("no answer can be waited for %v", time.Duration(l.AttemptTimeout)), "set from 1ms to 1h")
		}
		if l.TotalTimeout != 0 && (l.TotalTimeout < Duration(leastWhole) || l.TotalTimeout > Duration(mostWhole)) {
			add(key+".whole", fmt.Sprintf("no message can be delivered within %v", time.Duration(l.TotalTimeout)), fmt.Sprintf("set from %v to %v", leastWhole, mostWhole))
		}
		if l.MaxQueued < 0 || l.MaxQueued > mostHeld {
			add(key+".held", fmt.Sprintf("%d messages held", l.MaxQueued), fmt.Sprintf("set from 1 to %d", mostHeld))
		}
		span := func(name string, d Duration, least, most time.Duration) {
			if d != 0 && (d < Duration(least) || d > Duration(most)) {
				add(key+"."+name, fmt.Sprintf("%s is %v", name, time.Duration(d)), fmt.Sprintf("set from %v to %v", least, most))
			}
		}
		span("connect", l.ConnectTimeout, 10*time.Millisecond, time.Minute)
		span("wait", l.RetryDelay, leastWait, mostWait)
		span("copy", l.HedgeDelay, leastCopy, time.Minute)
		number := func(name string, v, least, most float64, why string) {
			if v != 0 && !(v >= least && v <= most) { // not a number counts as well
				add(key+"."+name, fmt.Sprintf("%s is %v", name, v), fmt.Sprintf("set from %v to %v%s", least, most, why))
			}
		}
		number("out", float64(l.MaxInFlight), 1, mostOut, "")
		number("rate", l.MaxRate, leastRate, mostRate, " a second")
		number("ratio", l.MaxRetryRatio, leastRatio, mostRatio, ": with more, repeats could exceed a third of first tries")
		for _, n := range []int{out, rate, ratio} {
			if l.figure(n) == 0 || len(l.Classes)+len(l.Routes) == 0 {
				continue
			}
			what, remedy := "classes", "set it in a block without classes"
			if len(l.Routes) > 0 {
				what, remedy = "routes", "set it in a block that names the route's pool"
			}
			add(key+"."+figureNames[n], fmt.Sprintf("%s counts all calls to a destination, and this block names %s", figureNames[n], what), remedy)
		}
		c.checkNames(l, add)
		if !slices.ContainsFunc(allFigures, func(n int) bool { return l.figure(n) != 0 }) {
			add(key, fmt.Sprintf("the limits %q limit nothing", l.Name), "set "+strings.Join(figureNames[:figures-1], ", ")+" or "+figureNames[figures-1]+", or take them out")
		}
		for _, s := range l.scopes() {
			for n, name := range figureNames {
				if l.figure(n) == 0 {
					continue
				}
				if other := by[n][s]; other != "" {
					at := c.Positions["limits."+other+"."+name]
					add(key+"."+name, fmt.Sprintf("%s for %s is set by %q too", name, c.shown(s), other),
						fmt.Sprintf("neither is more specific: leave it in one of them (the other: %s)", cmp.Or(at, other)))
					continue
				}
				by[n][s] = l.Name
			}
		}
	}
}

func (s scope) String() string { return (*Config)(nil).shown(s) }

// shown is a scope in words.
func (c *Config) shown(s scope) string {
	class, dest := "every class", "every destination"
	if s.class != "" {
		class = "class " + s.class
	}
	if s.named {
		dest = c.goal(s.dest)
	}
	if s.route != "" {
		dest = fmt.Sprintf("route %q", s.route)
	}
	return class + " and " + dest
}

// CheckPlatform lists what the limits ask for that the platform's settings don't allow: classes that there are not, more attempts
// than it allows, and attempts that can't all end within a class's time. Both rules that a combination comes from are named.
func (c *Config) CheckPlatform(set decide.Settings) (list []Problem) {
	add := func(key, what, remedy string) { list = append(list, Problem{key, what, remedy}) }
	classes := map[string]decide.Class{}
	var names []string
	for _, k := range set.Classes {
		classes[k.Name] = k
		names = append(names, k.Name)
	}
	dests := map[int]bool{}
	for _, l := range c.Limits {
		for _, name := range l.Classes {
			if _, known := classes[name]; !known {
				add("limits."+l.Name+".classes", fmt.Sprintf("the platform has no class %q", name), fmt.Sprintf("it has %v", names))
			}
		}
		if set.MaxAttempts > 0 && l.MaxAttempts > set.MaxAttempts {
			add("limits."+l.Name+".attempts", fmt.Sprintf("%d attempts, and the platform allows %d", l.MaxAttempts, set.MaxAttempts), "set fewer: a limit can only tighten")
		}
	}
	c.pluginsAgainst(classes, names, add)
	c.routesAgainst(names, add)
	limits := c.NewLimits()
	for i := range c.Limits {
		for _, d := range c.Limits[i].goals() {
			dests[d] = true
		}
	}
	told := map[string]bool{}
	check := func(k decide.Class, s scope, of func(n int) *Limit) {
		attempts, answer, whole, wait := of(attempts), of(answer), of(whole), of(wait)
		if copied := of(second); copied != nil {
			c.checkCopy(set, k, s, copied, attempts, answer, told, add)
		}
		if answer == nil && wait == nil {
			return
		}
		has, said := k.Deadline, fmt.Sprintf("class %s has %v", k.Name, k.Deadline)
		if whole != nil && time.Duration(whole.TotalTimeout) < has {
			by := "limits." + whole.Name + ".whole"
			has, said = time.Duration(whole.TotalTimeout), fmt.Sprintf("whole is %v (%s)", time.Duration(whole.TotalTimeout), cmp.Or(c.Positions[by], by))
		}
		n, by := 1, ""
		if attempts != nil {
			n, by = attempts.MaxAttempts, "limits."+attempts.Name+".attempts"
		}
		if attempts == nil && wait != nil {
			n = 2 // one further try, at least, is what the wait is before
		}
		var each, waits time.Duration
		var what, key, remedy string
		if answer != nil {
			each, key = time.Duration(answer.AttemptTimeout), "limits."+answer.Name+".answer"
			what = fmt.Sprintf("%d attempts of %v", n, each)
		}
		if wait != nil && n > 1 {
			// As long as they can get: each is drawn between nothing and twice the one before.
			waits = time.Duration(min(float64(wait.RetryDelay)*float64(uint64(1)<<min(n-1, 32)-1), float64(math.MaxInt64/4)))
			at := "limits." + wait.Name + ".wait"
			if key == "" {
				key, what, remedy = at, fmt.Sprintf("waits of up to %v before %d attempts", waits, n), "set a shorter wait, or fewer attempts"
			} else {
				what += fmt.Sprintf(" and waits of up to %v (%s)", waits, cmp.Or(c.Positions[at], at))
			}
		}
		need := time.Duration(n)*each + waits
		if need <= has || told[key+by+k.Name] {
			return
		}
		told[key+by+k.Name] = true
		what = fmt.Sprintf("for %s, %s need %v, and %s", c.shown(s), what, need, said)
		if by != "" {
			what += fmt.Sprintf(" (the attempts: %s)", cmp.Or(c.Positions[by], by))
		}
		if left := (has - waits) / time.Duration(n); answer != nil && left >= time.Millisecond {
			remedy = fmt.Sprintf("set answer to %v at most, or fewer attempts", left.Truncate(time.Millisecond))
		}
		add(key, what, cmp.Or(remedy, "set a shorter wait, or fewer attempts"))
	}
	sorted := make([]int, 0, len(dests))
	for d := range dests {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	for _, k := range set.Classes {
		check(k, scope{class: k.Name}, func(n int) *Limit { return cmp.Or(limits.by[n][scope{class: k.Name}], limits.by[n][scope{}]) })
		for _, d := range sorted {
			check(k, scope{class: k.Name, dest: d, named: true}, func(n int) *Limit { return limits.of(n, k.Name, d, "") })
		}
		for _, r := range c.limitedRoutes() {
			if d := c.goalOf(r); len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
				check(k, scope{class: k.Name, route: r.Name}, func(n int) *Limit { return limits.of(n, k.Name, d, r.Name) })
			}
		}
	}
	return list
}

// checkCopy looks at a second copy of one class: it must be safe to repeat, and the copy must come to something.
func (c *Config) checkCopy(set decide.Settings, k decide.Class, s scope, copied, attempts, answer *Limit, told map[string]bool, add func(key, what, remedy string)) {
	key := "limits." + copied.Name + ".copy"
	say := func(what, remedy string) {
		if !told[key+what] {
			told[key+what] = true
			add(key, what, remedy)
		}
	}
	at := func(l *Limit, name string) string {
		return cmp.Or(c.Positions["limits."+l.Name+"."+name], l.Name)
	}
	switch {
	case !set.Hedging:
		say("the platform allows no second copies", "take copy out")
	case k.Effect != decide.Idempotent:
		say(fmt.Sprintf("a second copy of a message of class %s could take effect twice, and the block holds for %s", k.Name, c.shown(s)), "name in it only classes that are safe to repeat")
	case attempts != nil && attempts.MaxAttempts < 2:
		say(fmt.Sprintf("a second copy is an attempt, and for %s one is allowed (%s)", c.shown(s), at(attempts, "attempts")), "allow two, or take copy out")
	case answer != nil && answer.AttemptTimeout <= copied.HedgeDelay:
		say(fmt.Sprintf("for %s the first call is given up after %v (%s), and the copy would go out after %v", c.shown(s), time.Duration(answer.AttemptTimeout), at(answer, "answer"), time.Duration(copied.HedgeDelay)), "set copy below answer")
	}
}
