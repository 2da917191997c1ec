package operator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Limit bounds what is done for some messages. Each of its figures holds on its own: one that a rule does not set comes from
// the next less specific one, and in the end from the platform. A limit can only tighten.
type Limit struct {
	Name         string   `json:"name"`
	Classes      []string `json:"classes,omitempty"`      // none: all
	Destinations []int    `json:"destinations,omitempty"` // none: all
	Attempts     int      `json:"attempts,omitempty"`     // for one message; 0: not set
	Answer       Duration `json:"answer,omitempty"`       // how long one attempt may wait for its answer; 0: not set
	Whole        Duration `json:"whole,omitempty"`        // how long a message may be delivered in all; 0: not set
	Held         int      `json:"held,omitempty"`         // messages held at once, for each destination apart; 0: not set
}

// The figures that a limit may set.
const (
	attempts = iota
	answer
	whole
	held
	figures
)

var figureNames = [figures]string{"attempts", "answer", "whole", "held"}

// figure is one of them; 0 if it is not set.
func (l *Limit) figure(n int) int64 {
	return [figures]int64{int64(l.Attempts), int64(l.Answer), int64(l.Whole), int64(l.Held)}[n]
}

// show is one of them as it is written.
func (l *Limit) show(n int) string {
	if n == answer || n == whole {
		return time.Duration(l.figure(n)).String()
	}
	return fmt.Sprint(l.figure(n))
}

// mostAttempts bounds what may be written; the platform's own limit is less.
const (
	mostAttempts = 100
	mostHeld     = 10_000_000
	leastWhole   = 100 * time.Millisecond
	mostWhole    = 24 * time.Hour
)

// scope is one kind of message that rules name: a class or any, a destination or any.
type scope struct {
	class string
	dest  int
	named bool // the destination is
}

// scopes are those that a rule names.
func (l *Limit) scopes() (list []scope) {
	classes := l.Classes
	if len(classes) == 0 {
		classes = []string{""}
	}
	for _, c := range classes {
		if len(l.Destinations) == 0 {
			list = append(list, scope{class: c})
		}
		for _, d := range l.Destinations {
			list = append(list, scope{c, d, true})
		}
	}
	return list
}

// wider lists the scopes that hold a message, the most specific first: class and destination, destination, class, all.
func wider(class string, dest int) [4]scope {
	return [4]scope{{class, dest, true}, {"", dest, true}, {class, 0, false}, {}}
}

// Limits finds the limits that hold for a message.
type Limits struct {
	by [figures]map[scope]*Limit
}

// NewLimits makes the index of rules that Check has passed.
func (c *Config) NewLimits() *Limits {
	l := &Limits{}
	for n := range l.by {
		l.by[n] = map[scope]*Limit{}
	}
	for i := range c.Limits {
		rule := &c.Limits[i]
		for _, s := range rule.scopes() {
			for n := range l.by {
				if rule.figure(n) > 0 {
					l.by[n][s] = rule
				}
			}
		}
	}
	return l
}

// of returns the rule that sets a figure for a message; nil where none does.
func (l *Limits) of(n int, class string, dest int) *Limit {
	for _, s := range wider(class, dest) {
		if rule := l.by[n][s]; rule != nil {
			return rule
		}
	}
	return nil
}

// For is what the decision module applies.
func (l *Limits) For(class string, dest int) (m decide.Limits) {
	if rule := l.of(attempts, class, dest); rule != nil {
		m.Attempts = rule.Attempts
	}
	if rule := l.of(answer, class, dest); rule != nil {
		m.Answer = time.Duration(rule.Answer)
	}
	return m
}

// Intake is what the engine applies when a message comes: its time, and how many may be held at once for the
// destination under which rule; 0 for no limit.
func (l *Limits) Intake(class string, dest int) (i engine.Limits) {
	if rule := l.of(whole, class, dest); rule != nil {
		i.Whole = time.Duration(rule.Whole)
	}
	if rule := l.of(held, class, dest); rule != nil {
		i.Rule, i.Held = rule.Name, rule.Held
	}
	return i
}

func (c *Config) checkLimits(add func(key, what, remedy string)) {
	named := map[string]bool{}
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
		if l.Attempts < 0 || l.Attempts > mostAttempts {
			add(key+".attempts", fmt.Sprintf("%d attempts", l.Attempts), fmt.Sprintf("set from 1 to %d", mostAttempts))
		}
		if l.Answer != 0 && (l.Answer < Duration(time.Millisecond) || l.Answer > Duration(time.Hour)) {
			add(key+".answer", fmt.Sprintf("no answer can be waited for %v", time.Duration(l.Answer)), "set from 1ms to 1h")
		}
		if l.Whole != 0 && (l.Whole < Duration(leastWhole) || l.Whole > Duration(mostWhole)) {
			add(key+".whole", fmt.Sprintf("no message can be delivered within %v", time.Duration(l.Whole)), fmt.Sprintf("set from %v to %v", leastWhole, mostWhole))
		}
		if l.Held < 0 || l.Held > mostHeld {
			add(key+".held", fmt.Sprintf("%d messages held", l.Held), fmt.Sprintf("set from 1 to %d", mostHeld))
		}
		if l.Attempts == 0 && l.Answer == 0 && l.Whole == 0 && l.Held == 0 {
			add(key, fmt.Sprintf("the limits %q limit nothing", l.Name), "set attempts, answer, whole or held, or take them out")
		}
		for _, s := range l.scopes() {
			for n, name := range figureNames {
				if l.figure(n) == 0 {
					continue
				}
				if other := by[n][s]; other != "" {
					at := c.Where["limits."+other+"."+name]
					add(key+"."+name, fmt.Sprintf("%s for %v is set by %q too", name, s, other),
						fmt.Sprintf("neither is more specific: leave it in one of them (the other: %s)", cmp.Or(at, other)))
					continue
				}
				by[n][s] = l.Name
			}
		}
	}
}

func (s scope) String() string {
	class, dest := "every class", "every destination"
	if s.class != "" {
		class = "class " + s.class
	}
	if s.named {
		dest = fmt.Sprintf("destination %d", s.dest)
	}
	return class + " and " + dest
}

// Against lists what the limits ask for that the platform's settings don't allow: classes that there are not, more attempts
// than it allows, and attempts that can't all end within a class's time. Both rules that a combination comes from are named.
func (c *Config) Against(set decide.Settings) (list []Problem) {
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
		if set.MaxAttempts > 0 && l.Attempts > set.MaxAttempts {
			add("limits."+l.Name+".attempts", fmt.Sprintf("%d attempts, and the platform allows %d", l.Attempts, set.MaxAttempts), "set fewer: a limit can only tighten")
		}
		for _, d := range l.Destinations {
			dests[d] = true
		}
	}
	c.pluginsAgainst(classes, names, add)
	limits := c.NewLimits()
	told := map[string]bool{}
	check := func(k decide.Class, s scope, attempts, answer, whole *Limit) {
		if answer == nil {
			return
		}
		has, said := k.Deadline, fmt.Sprintf("class %s has %v", k.Name, k.Deadline)
		if whole != nil && time.Duration(whole.Whole) < has {
			by := "limits." + whole.Name + ".whole"
			has, said = time.Duration(whole.Whole), fmt.Sprintf("whole is %v (%s)", time.Duration(whole.Whole), cmp.Or(c.Where[by], by))
		}
		n, by := 1, ""
		if attempts != nil {
			n, by = attempts.Attempts, "limits."+attempts.Name+".attempts"
		}
		need := time.Duration(n) * time.Duration(answer.Answer)
		key := "limits." + answer.Name + ".answer"
		if need <= has || told[key+by+k.Name] {
			return
		}
		told[key+by+k.Name] = true
		what := fmt.Sprintf("for %v, %d attempts of %v need %v, and %s", s, n, time.Duration(answer.Answer), need, said)
		if by != "" {
			what += fmt.Sprintf(" (the attempts: %s)", cmp.Or(c.Where[by], by))
		}
		add(key, what, fmt.Sprintf("set answer to %v at most, or fewer attempts", (has/time.Duration(n)).Truncate(time.Millisecond)))
	}
	sorted := make([]int, 0, len(dests))
	for d := range dests {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	for _, k := range set.Classes {
		most := func(n int) *Limit { return cmp.Or(limits.by[n][scope{class: k.Name}], limits.by[n][scope{}]) }
		check(k, scope{class: k.Name}, most(attempts), most(answer), most(whole))
		for _, d := range sorted {
			check(k, scope{k.Name, d, true}, limits.of(attempts, k.Name, d), limits.of(answer, k.Name, d), limits.of(whole, k.Name, d))
		}
	}
	return list
}
