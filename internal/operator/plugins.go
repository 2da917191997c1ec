package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/plugin"
)

// Plugin configures one plug-in: its code, the messages that it is called for and the resources that it may use.
type Plugin struct {
	Name         string         `json:"name"`
	Classes      []string       `json:"classes,omitempty"`      // empty: all
	Destinations []int          `json:"destinations,omitempty"` // empty: all
	Order        int            `json:"order,omitempty"`
	File         string         `json:"file"`
	Source       string         `json:"source"`
	Points       []plugin.Point `json:"points"` // the hooks that the compiler found in the source

	Steps     int      `json:"steps"`
	Time      Duration `json:"time"`   // for one call; waiting for a free process may take as long again
	Memory    int      `json:"memory"` // bytes
	Output    int      `json:"output"` // largest body that it may return, in bytes
	Processes int      `json:"processes"`
	CPU       Duration `json:"cpu"`      // CPU time per second
	Failures  int      `json:"failures"` // costly failures in a row that open its circuit
	Rest      Duration `json:"rest"`     // how long the circuit first stays open
	OnFailure string   `json:"on_failure"`
	Wait      Duration `json:"wait"` // the retry-after sent to a client whose message is refused because the plug-in failed
}

// DefaultPlugin returns the defaults of a plug-in.
func DefaultPlugin() Plugin {
	return Plugin{Steps: 1_000_000, Time: Duration(50 * time.Millisecond), Memory: 64 << 20, Output: plugin.MaxBody, Processes: 1,
		CPU: Duration(200 * time.Millisecond), Failures: 5, Rest: Duration(time.Second), OnFailure: "refuse", Wait: Duration(time.Second)}
}

// Bounds of plug-ins.
const (
	maxPlugins         = 32
	maxPluginProcesses = 32 // in all plug-ins together
	// maxChainTime is the longest time that all plug-ins together may run for one message at one point. They may wait as long again
	// for free processes, and a client waits 400 ms for its answer.
	maxChainTime = 150 * time.Millisecond
)

// Spec returns the plug-in in the form that the daemon runs.
func (p *Plugin) Spec() plugin.Spec {
	return plugin.Spec{Name: p.Name, Classes: p.Classes, Destinations: p.Destinations, Order: p.Order, Points: p.Points, File: p.File, Source: p.Source,
		Steps: uint64(p.Steps), Time: time.Duration(p.Time), Memory: p.Memory, Output: p.Output, Processes: p.Processes,
		Allowance: plugin.Allowance{CPU: time.Duration(p.CPU), Failures: p.Failures, Rest: time.Duration(p.Rest)},
		Pass:      p.OnFailure == "pass", Wait: time.Duration(p.Wait)}
}

// Specs returns the specs of all plug-ins.
func (c *Config) Specs() []plugin.Spec {
	list := make([]plugin.Spec, len(c.Plugins))
	for i := range c.Plugins {
		list[i] = c.Plugins[i].Spec()
	}
	return list
}

// PluginProcesses returns the number of processes of all plug-ins together.
func (c *Config) PluginProcesses() (n int) {
	for _, p := range c.Plugins {
		n += p.Processes
	}
	return n
}

func (c *Config) checkPlugins(add func(key, what, remedy string)) {
	if len(c.Plugins) > maxPlugins {
		add("plugin."+c.Plugins[maxPlugins].Name, fmt.Sprintf("%d plug-ins", len(c.Plugins)), fmt.Sprintf("set %d at most: one file can handle several cases", maxPlugins))
		return
	}
	seen := map[string]bool{}
	for i := range c.Plugins {
		p := &c.Plugins[i]
		key := "plugin." + p.Name
		if seen[p.Name] {
			add(key, fmt.Sprintf("there are two plug-ins %q", p.Name), "give each a name of its own")
		}
		seen[p.Name] = true
		if p.Source == "" || len(p.Points) == 0 {
			add(key+".file", fmt.Sprintf("the plug-in %q has no code", p.Name), "compile the configuration with scaleroutectl compile")
		}
		for _, point := range p.Points {
			if !slices.Contains(plugin.Points, point) {
				add(key+".file", fmt.Sprintf("there is no point %q", point), "compile the configuration with the scaleroutectl of the same version")
			}
		}
		checkDuration := func(name string, d Duration, lo, hi time.Duration) {
			if d < Duration(lo) || d > Duration(hi) {
				add(key+"."+name, fmt.Sprintf("%s is %v", name, time.Duration(d)), fmt.Sprintf("set from %v to %v", lo, hi))
			}
		}
		checkInt := func(name string, n, lo, hi int) {
			if n < lo || n > hi {
				add(key+"."+name, fmt.Sprintf("%s is %d", name, n), fmt.Sprintf("set from %d to %d", lo, hi))
			}
		}
		checkInt("order", p.Order, -1000, 1000)
		checkInt("steps", p.Steps, 1000, 100_000_000)
		checkInt("memory", p.Memory, 16<<20, 1<<30)
		checkInt("output", p.Output, 0, plugin.MaxBody)
		checkInt("processes", p.Processes, 1, 8)
		checkInt("failures", p.Failures, 1, 1000)
		checkDuration("time", p.Time, time.Millisecond, maxChainTime)
		checkDuration("cpu", p.CPU, time.Millisecond, 4*time.Second)
		checkDuration("rest", p.Rest, 10*time.Millisecond, plugin.MaxRest)
		checkDuration("wait", p.Wait, time.Millisecond, plugin.MaxWait)
		if p.OnFailure != "refuse" && p.OnFailure != "pass" {
			add(key+".on_failure", fmt.Sprintf("on_failure is %q", p.OnFailure), `choose "refuse" (the client retries) or "pass" (the message is processed unaltered)`)
		}
	}
	if n := c.PluginProcesses(); n > maxPluginProcesses {
		add("plugin."+c.Plugins[len(c.Plugins)-1].Name+".processes", fmt.Sprintf("the plug-ins have %d processes together", n), fmt.Sprintf("set %d at most", maxPluginProcesses))
	}
	c.checkPluginOverlaps(add)
}

// checkPluginOverlaps checks plug-ins that are called for the same messages: their order must be unambiguous, and all of them
// together must finish in time.
func (c *Config) checkPluginOverlaps(add func(key, what, remedy string)) {
	specs := c.Specs()
	for i := range specs {
		for j := range i {
			if specs[i].Order == specs[j].Order && specs[i].Overlaps(&specs[j]) {
				at := cmp.Or(c.Positions["plugin."+specs[j].Name], specs[j].Name)
				add("plugin."+specs[i].Name, fmt.Sprintf("plug-ins %q and %q are called for the same messages and have the same order", specs[j].Name, specs[i].Name),
					fmt.Sprintf("set order in one of them: the lower one is called first (the other: %s)", at))
			}
		}
	}
	reported := map[string]bool{}
	for _, k := range c.messageKinds() {
		for _, point := range plugin.Points {
			var all time.Duration
			var names []string
			for i := range specs {
				if specs[i].AppliesTo(point, k.class, k.dest) {
					all += specs[i].Time
					names = append(names, specs[i].Name)
				}
			}
			list := strings.Join(names, ", ")
			if all <= maxChainTime || len(names) < 2 || reported[list] { // the time of a single plug-in is checked above
				continue
			}
			reported[list] = true
			add("plugin."+names[len(names)-1]+".time", fmt.Sprintf("at %s the plug-ins %s may take %v together for one message, and as long again to wait for processes; a client waits 400ms", point, list, all),
				fmt.Sprintf("set their times to %v in all", maxChainTime))
		}
	}
}

// messageKinds returns the scopes that plug-ins distinguish: each combination of the classes and destinations that a plug-in
// names, and of one class and one destination that none names.
func (c *Config) messageKinds() (list []scope) {
	classes, dests := map[string]bool{"": true}, map[int]bool{-1 << 31: true}
	for _, p := range c.Plugins {
		for _, class := range p.Classes {
			classes[class] = true
		}
		for _, d := range p.Destinations {
			dests[d] = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		for _, d := range slices.Sorted(maps.Keys(dests)) {
			list = append(list, scope{class: class, dest: d, hasDest: true})
		}
	}
	return list
}

// checkPluginClasses checks plug-ins against the platform's classes. A plug-in that is called for each attempt could send two
// versions of a message, which is allowed only for classes that are safe to repeat.
func (c *Config) checkPluginClasses(classes map[string]decide.Class, names []string, add func(key, what, remedy string)) {
	for _, p := range c.Plugins {
		for _, name := range p.Classes {
			if _, known := classes[name]; !known {
				add("plugin."+p.Name+".classes", fmt.Sprintf("the platform has no class %q", name), fmt.Sprintf("it has %v", names))
			}
		}
		if !slices.Contains(p.Points, plugin.Call) {
			continue
		}
		spec := p.Spec()
		for _, name := range names {
			if classes[name].Effect != decide.Idempotent && (len(p.Classes) == 0 || slices.Contains(p.Classes, name)) {
				add("plugin."+p.Name, fmt.Sprintf("%s: its hook call alters what each attempt sends, and a message of class %s must not be sent in two versions", spec.File, name),
					"bind it to classes that are safe to repeat, or alter the message in the hook intake, whose result is kept")
			}
		}
	}
}

// describe returns a one-line description; two plug-ins with the same description behave alike.
func (p *Plugin) describe() string {
	spec := p.Spec()
	classes, dests := "every class", "every destination"
	if len(p.Classes) > 0 {
		classes = strings.Join(p.Classes, ", ")
	}
	if len(p.Destinations) > 0 {
		dests = strings.Trim(fmt.Sprint(p.Destinations), "[]")
	}
	return fmt.Sprintf("%s %v for %s to %s, order %d, on failure %s", spec.Digest(), p.Points, classes, dests, p.Order, p.OnFailure)
}

const noPlugin = "there is none"

// diffPlugins compares plug-ins by their names.
func diffPlugins(old, new *Config) (list []Change) {
	describeAll := func(c *Config) map[string]string {
		m := map[string]string{}
		for i := range c.Plugins {
			m[c.Plugins[i].Name] = c.Plugins[i].describe()
		}
		return m
	}
	before, after := describeAll(old), describeAll(new)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, b := cmp.Or(before[name], noPlugin), cmp.Or(after[name], noPlugin)
		if a != b {
			list = append(list, Change{"plug-in " + name, "code and bounds", a, b, old.Positions["plugin."+name], new.Positions["plugin."+name]})
		}
	}
	return list
}

// explainPlugins lists the plug-ins that are called for a message, in order.
func (c *Config) explainPlugins(class string, dest int) (list []Change) {
	specs := c.Specs()
	for _, point := range plugin.Points {
		var bound []*plugin.Spec
		for i := range specs {
			if specs[i].AppliesTo(point, class, dest) {
				bound = append(bound, &specs[i])
			}
		}
		slices.SortFunc(bound, plugin.CompareOrder)
		for _, s := range bound {
			list = append(list, Change{Scope: scope{class: class, dest: dest, hasDest: true}.String(), Key: "plugin at " + string(point), New: s.Name + " " + s.Digest(), NewPosition: c.Positions["plugin."+s.Name]})
		}
	}
	return list
}
