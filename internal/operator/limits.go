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

// Limit is a rule that limits the delivery of some messages. Each key applies independently: if a rule does not set it, the value
// comes from the next less specific rule, and finally from the platform. A limit can only tighten the platform's.
type Limit struct {
	Name           string   `json:"name"`
	Classes        []string `json:"classes,omitempty"`      // empty: all
	Destinations   []int    `json:"destinations,omitempty"` // the destinations that messages go to; empty: all
	Pools          []string `json:"pools,omitempty"`        // destinations by the names of their pools
	Routes         []string `json:"routes,omitempty"`       // the routes that messages match; empty: any or none
	MaxAttempts    int      `json:"attempts,omitempty"`     // per message; 0: not set
	AttemptTimeout Duration `json:"answer,omitempty"`       // per attempt, until the answer; 0: not set
	TotalTimeout   Duration `json:"whole,omitempty"`        // for the whole delivery of a message; 0: not set
	MaxQueued      int      `json:"held,omitempty"`         // messages queued at once for each destination; 0: not set
	ConnectTimeout Duration `json:"connect,omitempty"`      // for setting up a connection; 0: not set
	RetryDelay     Duration `json:"wait,omitempty"`         // before the first retry, with jitter; it doubles for each further one; 0: not set

	HedgeDelay Duration `json:"copy,omitempty"` // until a hedged request is sent, for classes that are safe to repeat; 0: none

	// For all messages to a destination together, whatever their class.
	MaxInFlight   int     `json:"out,omitempty"`   // calls in flight at once; 0: not set
	MaxRate       float64 `json:"rate,omitempty"`  // calls per second; 0: not set
	MaxRetryRatio float64 `json:"ratio,omitempty"` // retries relative to first attempts; 0: not set

	poolNumbers []int // the destination numbers of Pools, set by buildLookup
}

// The keys that a limit may set; keyNames holds their names in the configuration.
const (
	keyAttempts = iota
	keyAnswer
	keyWhole
	keyHeld
	keyConnect
	keyWait
	keyCopy
	keyOut
	keyRate
	keyRatio
	numKeys
)

var keyNames = [numKeys]string{"attempts", "answer", "whole", "held", "connect", "wait", "copy", "out", "rate", "ratio"}

var allKeys = []int{keyAttempts, keyAnswer, keyWhole, keyHeld, keyConnect, keyWait, keyCopy, keyOut, keyRate, keyRatio}

// value returns the value of a key, or 0 if the rule does not set it.
func (l *Limit) value(n int) float64 {
	return [numKeys]float64{float64(l.MaxAttempts), float64(l.AttemptTimeout), float64(l.TotalTimeout), float64(l.MaxQueued), float64(l.ConnectTimeout), float64(l.RetryDelay), float64(l.HedgeDelay),
		float64(l.MaxInFlight), l.MaxRate, l.MaxRetryRatio}[n]
}

// format returns the value of a key as it is written in the configuration.
func (l *Limit) format(n int) string {
	switch n {
	case keyAnswer, keyWhole, keyConnect, keyWait, keyCopy:
		return time.Duration(l.value(n)).String()
	case keyRate:
		return fmt.Sprint(l.MaxRate, "/s")
	}
	return fmt.Sprint(l.value(n))
}

// Bounds of the values of a Limit. The platform allows fewer attempts than maxAttempts.
const (
	maxAttempts     = 100
	maxQueued       = 10_000_000
	minTotalTimeout = 100 * time.Millisecond
	maxTotalTimeout = 24 * time.Hour
	minRetryDelay   = 100 * time.Millisecond // the decision module's own first retry delay
	maxRetryDelay   = time.Minute
	minHedgeDelay   = 10 * time.Millisecond
	maxInFlight     = 100_000
	minRate         = 0.01
	maxRate         = 1e6
	minRetryRatio   = 0.01 // the decision module's own floor and cap: with a higher ratio, retries could exceed a third of first attempts
	maxRetryRatio   = 0.2
)

// scope is a set of messages that rules apply to: of one class or any, and to one destination, by one route or any.
type scope struct {
	class   string
	dest    int
	hasDest bool // whether dest is set
	route   string
}

// scopes returns the scopes that a rule applies to.
func (l *Limit) scopes() (list []scope) {
	classes := l.Classes
	if len(classes) == 0 {
		classes = []string{""}
	}
	for _, c := range classes {
		if len(l.Destinations)+len(l.Pools)+len(l.Routes) == 0 {
			list = append(list, scope{class: c})
		}
		for _, d := range l.destinationNumbers() {
			list = append(list, scope{class: c, dest: d, hasDest: true})
		}
		for _, name := range l.Routes {
			list = append(list, scope{class: c, route: name})
		}
	}
	return list
}

// destinationNumbers returns the numbers of all destinations that a rule names, directly or by their pools.
func (l *Limit) destinationNumbers() []int {
	if len(l.Pools) == 0 {
		return l.Destinations
	}
	return append(slices.Clone(l.Destinations), l.poolNumbers...)
}

// enclosingScopes lists the scopes that contain a message, the most specific first: class and route, route, class and
// destination, destination, class, all. Without a route the first two don't apply, and the list begins at first.
func enclosingScopes(class string, dest int, route string) (all [6]scope, first int) {
	if route == "" {
		first = 2
	}
	return [6]scope{{class: class, route: route}, {route: route}, {class: class, dest: dest, hasDest: true}, {dest: dest, hasDest: true}, {class: class}, {}}, first
}

// Limits is an index that finds the limits that apply to a message.
type Limits struct {
	byKey [numKeys]map[scope]*Limit
}

// NewLimits builds the index of the rules, which must have passed Check.
func (c *Config) NewLimits() *Limits {
	l := &Limits{}
	c.buildLookup()
	for n := range l.byKey {
		l.byKey[n] = map[scope]*Limit{}
	}
	for i := range c.Limits {
		rule := &c.Limits[i]
		for _, s := range rule.scopes() {
			for n := range l.byKey {
				if rule.value(n) != 0 {
					l.byKey[n][s] = rule
				}
			}
		}
	}
	return l
}

// rule returns the rule that sets a key for a message, or nil if none does.
func (l *Limits) rule(n int, class string, dest int, route string) *Limit {
	all, first := enclosingScopes(class, dest, route)
	for _, s := range all[first:] {
		if rule := l.byKey[n][s]; rule != nil {
			return rule
		}
	}
	return nil
}

// DecisionLimits returns the limits that the decision module applies.
func (l *Limits) DecisionLimits(class string, dest int, route string) (m decide.Limits) {
	if rule := l.rule(keyAttempts, class, dest, route); rule != nil {
		m.MaxAttempts = rule.MaxAttempts
	}
	if rule := l.rule(keyAnswer, class, dest, route); rule != nil {
		m.AttemptTimeout = time.Duration(rule.AttemptTimeout)
	}
	if rule := l.rule(keyWait, class, dest, route); rule != nil {
		m.RetryDelay = time.Duration(rule.RetryDelay)
	}
	if rule := l.rule(keyCopy, class, dest, route); rule != nil {
		m.HedgeDelay = time.Duration(rule.HedgeDelay)
	}
	if rule := l.rule(keyOut, "", dest, ""); rule != nil {
		m.MaxInFlight = rule.MaxInFlight
	}
	if rule := l.rule(keyRate, "", dest, ""); rule != nil {
		m.MaxRate = rule.MaxRate
	}
	if rule := l.rule(keyRatio, "", dest, ""); rule != nil {
		m.MaxRetryRatio = rule.MaxRetryRatio
	}
	return m
}

// IntakeLimits returns the limits that the engine applies when a message arrives: its total timeout, the connect timeout, and how
// many messages may be queued for the destination and by which rule. 0 means no limit.
func (l *Limits) IntakeLimits(class string, dest int, route string) (i engine.Limits) {
	if rule := l.rule(keyWhole, class, dest, route); rule != nil {
		i.Total = time.Duration(rule.TotalTimeout)
	}
	if rule := l.rule(keyHeld, class, dest, route); rule != nil {
		i.Rule, i.Queued = rule.Name, rule.MaxQueued
	}
	if rule := l.rule(keyConnect, class, dest, route); rule != nil {
		i.Connect = time.Duration(rule.ConnectTimeout)
	}
	return i
}

func (c *Config) checkLimits(add func(key, what, remedy string)) {
	seen := map[string]bool{}
	c.buildLookup()
	var by [numKeys]map[scope]string
	for n := range by {
		by[n] = map[scope]string{}
	}
	for i := range c.Limits {
		l := &c.Limits[i]
		key := "limits." + l.Name
		if seen[l.Name] {
			add(key, fmt.Sprintf("there are two limits %q", l.Name), "give each a name of its own")
		}
		seen[l.Name] = true
		if l.MaxAttempts < 0 || l.MaxAttempts > maxAttempts {
			add(key+".attempts", fmt.Sprintf("%d attempts", l.MaxAttempts), fmt.Sprintf("set from 1 to %d", maxAttempts))
		}
		if l.AttemptTimeout != 0 && (l.AttemptTimeout < Duration(time.Millisecond) || l.AttemptTimeout > Duration(time.Hour)) {
			add(key+".answer", fmt.Sprintf("an attempt can't wait %v for its answer", time.Duration(l.AttemptTimeout)), "set from 1ms to 1h")
		}
		if l.TotalTimeout != 0 && (l.TotalTimeout < Duration(minTotalTimeout) || l.TotalTimeout > Duration(maxTotalTimeout)) {
			add(key+".whole", fmt.Sprintf("a delivery can't be limited to %v", time.Duration(l.TotalTimeout)), fmt.Sprintf("set from %v to %v", minTotalTimeout, maxTotalTimeout))
		}
		if l.MaxQueued < 0 || l.MaxQueued > maxQueued {
			add(key+".held", fmt.Sprintf("%d messages queued at once", l.MaxQueued), fmt.Sprintf("set from 1 to %d", maxQueued))
		}
		checkDuration := func(name string, d Duration, lo, hi time.Duration) {
			if d != 0 && (d < Duration(lo) || d > Duration(hi)) {
				add(key+"."+name, fmt.Sprintf("%s is %v", name, time.Duration(d)), fmt.Sprintf("set from %v to %v", lo, hi))
			}
		}
		checkDuration("connect", l.ConnectTimeout, 10*time.Millisecond, time.Minute)
		checkDuration("wait", l.RetryDelay, minRetryDelay, maxRetryDelay)
		checkDuration("copy", l.HedgeDelay, minHedgeDelay, time.Minute)
		checkNumber := func(name string, v, lo, hi float64, why string) {
			if v != 0 && !(v >= lo && v <= hi) { // rejects NaN as well
				add(key+"."+name, fmt.Sprintf("%s is %v", name, v), fmt.Sprintf("set from %v to %v%s", lo, hi, why))
			}
		}
		checkNumber("out", float64(l.MaxInFlight), 1, maxInFlight, "")
		checkNumber("rate", l.MaxRate, minRate, maxRate, " a second")
		checkNumber("ratio", l.MaxRetryRatio, minRetryRatio, maxRetryRatio, ": with more, retries could exceed a third of first attempts")
		for _, n := range []int{keyOut, keyRate, keyRatio} {
			if l.value(n) == 0 || len(l.Classes)+len(l.Routes) == 0 {
				continue
			}
			what, remedy := "classes", "set it in a block without classes"
			if len(l.Routes) > 0 {
				what, remedy = "routes", "set it in a block that names the route's pool"
			}
			add(key+"."+keyNames[n], fmt.Sprintf("%s counts all calls to a destination, and this block names %s", keyNames[n], what), remedy)
		}
		c.checkLimitReferences(l, add)
		if !slices.ContainsFunc(allKeys, func(n int) bool { return l.value(n) != 0 }) {
			add(key, fmt.Sprintf("the limits %q set no limit", l.Name), "set "+strings.Join(keyNames[:numKeys-1], ", ")+" or "+keyNames[numKeys-1]+", or remove the block")
		}
		for _, s := range l.scopes() {
			for n, name := range keyNames {
				if l.value(n) == 0 {
					continue
				}
				if other := by[n][s]; other != "" {
					at := c.Positions["limits."+other+"."+name]
					add(key+"."+name, fmt.Sprintf("%s for %s is set by %q too", name, c.describeScope(s), other),
						fmt.Sprintf("neither is more specific: leave it in one of them (the other: %s)", cmp.Or(at, other)))
					continue
				}
				by[n][s] = l.Name
			}
		}
	}
}

func (s scope) String() string { return (*Config)(nil).describeScope(s) }

// describeScope describes a scope.
func (c *Config) describeScope(s scope) string {
	class, dest := "every class", "every destination"
	if s.class != "" {
		class = "class " + s.class
	}
	if s.hasDest {
		dest = c.describeDestination(s.dest)
	}
	if s.route != "" {
		dest = fmt.Sprintf("route %q", s.route)
	}
	return class + " and " + dest
}

// CheckPlatform lists the settings that conflict with the platform's: unknown classes, more attempts than it allows, and attempts
// that can't all finish within the deadline of a class. Where two rules conflict only in combination, it names both.
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
	c.checkPluginClasses(classes, names, add)
	c.checkRouteClasses(names, add)
	limits := c.NewLimits()
	for i := range c.Limits {
		for _, d := range c.Limits[i].destinationNumbers() {
			dests[d] = true
		}
	}
	reported := map[string]bool{}
	check := func(k decide.Class, s scope, of func(n int) *Limit) {
		attempts, answer, whole, wait := of(keyAttempts), of(keyAnswer), of(keyWhole), of(keyWait)
		if hedge := of(keyCopy); hedge != nil {
			c.checkHedging(set, k, s, hedge, attempts, answer, reported, add)
		}
		if answer == nil && wait == nil {
			return
		}
		available, limitText := k.Deadline, fmt.Sprintf("class %s has %v", k.Name, k.Deadline)
		if whole != nil && time.Duration(whole.TotalTimeout) < available {
			by := "limits." + whole.Name + ".whole"
			available, limitText = time.Duration(whole.TotalTimeout), fmt.Sprintf("whole is %v (%s)", time.Duration(whole.TotalTimeout), cmp.Or(c.Positions[by], by))
		}
		n, by := 1, ""
		if attempts != nil {
			n, by = attempts.MaxAttempts, "limits."+attempts.Name+".attempts"
		}
		if attempts == nil && wait != nil {
			n = 2 // a retry delay implies at least one retry
		}
		var each, waits time.Duration
		var what, key, remedy string
		if answer != nil {
			each, key = time.Duration(answer.AttemptTimeout), "limits."+answer.Name+".answer"
			what = fmt.Sprintf("%d attempts of %v", n, each)
		}
		if wait != nil && n > 1 {
			// The longest possible delays: each is drawn at random between zero and twice the one before.
			waits = time.Duration(min(float64(wait.RetryDelay)*float64(uint64(1)<<min(n-1, 32)-1), float64(math.MaxInt64/4)))
			at := "limits." + wait.Name + ".wait"
			if key == "" {
				key, what, remedy = at, fmt.Sprintf("waits of up to %v before %d attempts", waits, n), "set a shorter wait, or fewer attempts"
			} else {
				what += fmt.Sprintf(" and waits of up to %v (%s)", waits, cmp.Or(c.Positions[at], at))
			}
		}
		needed := time.Duration(n)*each + waits
		if needed <= available || reported[key+by+k.Name] {
			return
		}
		reported[key+by+k.Name] = true
		what = fmt.Sprintf("for %s, %s need %v, and %s", c.describeScope(s), what, needed, limitText)
		if by != "" {
			what += fmt.Sprintf(" (the attempts: %s)", cmp.Or(c.Positions[by], by))
		}
		if left := (available - waits) / time.Duration(n); answer != nil && left >= time.Millisecond {
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
		check(k, scope{class: k.Name}, func(n int) *Limit { return cmp.Or(limits.byKey[n][scope{class: k.Name}], limits.byKey[n][scope{}]) })
		for _, d := range sorted {
			check(k, scope{class: k.Name, dest: d, hasDest: true}, func(n int) *Limit { return limits.rule(n, k.Name, d, "") })
		}
		for _, r := range c.limitedRoutes() {
			if d := c.destinationOf(r); len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
				check(k, scope{class: k.Name, route: r.Name}, func(n int) *Limit { return limits.rule(n, k.Name, d, r.Name) })
			}
		}
	}
	return list
}

// checkHedging checks hedged requests for one class: its messages must be safe to repeat, and the hedged request must have an
// attempt left and be sent before the first attempt times out.
func (c *Config) checkHedging(set decide.Settings, k decide.Class, s scope, hedge, attempts, answer *Limit, reported map[string]bool, add func(key, what, remedy string)) {
	key := "limits." + hedge.Name + ".copy"
	report := func(what, remedy string) {
		if !reported[key+what] {
			reported[key+what] = true
			add(key, what, remedy)
		}
	}
	at := func(l *Limit, name string) string {
		return cmp.Or(c.Positions["limits."+l.Name+"."+name], l.Name)
	}
	switch {
	case !set.Hedging:
		report("the platform allows no hedged requests", "remove copy")
	case k.Effect != decide.Idempotent:
		report(fmt.Sprintf("a hedged request for a message of class %s could take effect twice, and the block applies to %s", k.Name, c.describeScope(s)), "name in it only classes that are safe to repeat")
	case attempts != nil && attempts.MaxAttempts < 2:
		report(fmt.Sprintf("a hedged request counts as an attempt, but only one is allowed for %s (%s)", c.describeScope(s), at(attempts, "attempts")), "allow two, or remove copy")
	case answer != nil && answer.AttemptTimeout <= hedge.HedgeDelay:
		report(fmt.Sprintf("for %s the first attempt times out after %v (%s), but the hedged request would be sent after %v", c.describeScope(s), time.Duration(answer.AttemptTimeout), at(answer, "answer"), time.Duration(hedge.HedgeDelay)), "set copy below answer")
	}
}
