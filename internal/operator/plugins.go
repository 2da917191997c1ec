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

// Plugin is one plug-in: its code, which messages it is asked about, and what it may use.
type Plugin struct {
	Name         string         `json:"name"`
	Classes      []string       `json:"classes,omitempty"`      // none: all
	Destinations []int          `json:"destinations,omitempty"` // none: all
	Order        int            `json:"order,omitempty"`
	File         string         `json:"file"`
	Source       string         `json:"source"`
	Points       []plugin.Point `json:"points"` // found in the source when it was compiled

	Steps     int      `json:"steps"`
	Time      Duration `json:"time"`   // for one answer, and as long again to wait for a process
	Memory    int      `json:"memory"` // bytes
	Output    int      `json:"output"` // bytes of a body
	Processes int      `json:"processes"`
	CPU       Duration `json:"cpu"`      // of each second
	Failures  int      `json:"failures"` // costly ones in a row that open its circuit
	Rest      Duration `json:"rest"`     // the circuit's first
	OnFailure string   `json:"on_failure"`
	Wait      Duration `json:"wait"` // what a client is told when its message is refused for a failure
}

// DefaultPlugin has what holds where a plug-in does not set it.
func DefaultPlugin() Plugin {
	return Plugin{Steps: 1_000_000, Time: Duration(50 * time.Millisecond), Memory: 64 << 20, Output: plugin.MaxBody, Processes: 1,
		CPU: Duration(200 * time.Millisecond), Failures: 5, Rest: Duration(time.Second), OnFailure: "refuse", Wait: Duration(time.Second)}
}

// Bounds of plug-ins.
const (
	mostPlugins   = 32
	mostProcesses = 32 // of all plug-ins together
	// mostChain is the longest that all plug-ins may run for one message at one point. They may wait as long again for their
	// processes, and a client waits 400 ms for its answer.
	mostChain = 150 * time.Millisecond
)

// Spec is what the daemon runs.
func (p *Plugin) Spec() plugin.Spec {
	return plugin.Spec{Name: p.Name, Classes: p.Classes, Destinations: p.Destinations, Order: p.Order, Points: p.Points, File: p.File, Source: p.Source,
		Steps: uint64(p.Steps), Time: time.Duration(p.Time), Memory: p.Memory, Output: p.Output, Processes: p.Processes,
		Allowance: plugin.Allowance{CPU: time.Duration(p.CPU), Failures: p.Failures, Rest: time.Duration(p.Rest)},
		Pass:      p.OnFailure == "pass", Wait: time.Duration(p.Wait)}
}

// Specs are those of all plug-ins.
func (c *Config) Specs() []plugin.Spec {
	list := make([]plugin.Spec, len(c.Plugins))
	for i := range c.Plugins {
		list[i] = c.Plugins[i].Spec()
	}
	return list
}

// PluginProcesses is how many processes all plug-ins have together.
func (c *Config) PluginProcesses() (n int) {
	for _, p := range c.Plugins {
		n += p.Processes
	}
	return n
}

func (c *Config) checkPlugins(add func(key, what, remedy string)) {
	if len(c.Plugins) > mostPlugins {
		add("plugin."+c.Plugins[mostPlugins].Name, fmt.Sprintf("%d plug-ins", len(c.Plugins)), fmt.Sprintf("set %d at most: one file can have code for several cases", mostPlugins))
		return
	}
	named := map[string]bool{}
	for i := range c.Plugins {
		p := &c.Plugins[i]
		key := "plugin." + p.Name
		if named[p.Name] {
			add(key, fmt.Sprintf("there are two plug-ins %q", p.Name), "give each a name of its own")
		}
		named[p.Name] = true
		if p.Source == "" || len(p.Points) == 0 {
			add(key+".file", fmt.Sprintf("the plug-in %q has no code", p.Name), "make the resolved file by scaleroutectl compile")
		}
		for _, point := range p.Points {
			if !slices.Contains(plugin.Points, point) {
				add(key+".file", fmt.Sprintf("there is no point %q", point), "make the resolved file by the scaleroutectl of the same version")
			}
		}
		span := func(name string, d Duration, least, most time.Duration) {
			if d < Duration(least) || d > Duration(most) {
				add(key+"."+name, fmt.Sprintf("%s is %v", name, time.Duration(d)), fmt.Sprintf("set from %v to %v", least, most))
			}
		}
		number := func(name string, n, least, most int) {
			if n < least || n > most {
				add(key+"."+name, fmt.Sprintf("%s is %d", name, n), fmt.Sprintf("set from %d to %d", least, most))
			}
		}
		number("order", p.Order, -1000, 1000)
		number("steps", p.Steps, 1000, 100_000_000)
		number("memory", p.Memory, 16<<20, 1<<30)
		number("output", p.Output, 0, plugin.MaxBody)
		number("processes", p.Processes, 1, 8)
		number("failures", p.Failures, 1, 1000)
		span("time", p.Time, time.Millisecond, mostChain)
		span("cpu", p.CPU, time.Millisecond, 4*time.Second)
		span("rest", p.Rest, 10*time.Millisecond, plugin.MaxRest)
		span("wait", p.Wait, time.Millisecond, plugin.MaxWait)
		if p.OnFailure != "refuse" && p.OnFailure != "pass" {
			add(key+".on_failure", fmt.Sprintf("on_failure is %q", p.OnFailure), `choose "refuse" (the client comes again) or "pass" (the message goes on unaltered)`)
		}
	}
	if n := c.PluginProcesses(); n > mostProcesses {
		add("plugin."+c.Plugins[len(c.Plugins)-1].Name+".processes", fmt.Sprintf("the plug-ins have %d processes together", n), fmt.Sprintf("set %d at most", mostProcesses))
	}
	c.checkMeetings(add)
}

// checkMeetings looks at plug-ins that are asked about the same messages: it must be said which is first, and all of them
// together must be done in time.
func (c *Config) checkMeetings(add func(key, what, remedy string)) {
	specs := c.Specs()
	for i := range specs {
		for j := range i {
			if specs[i].Order == specs[j].Order && specs[i].Overlaps(&specs[j]) {
				at := cmp.Or(c.Positions["plugin."+specs[j].Name], specs[j].Name)
				add("plugin."+specs[i].Name, fmt.Sprintf("plug-ins %q and %q are asked about the same messages and have the same order", specs[j].Name, specs[i].Name),
					fmt.Sprintf("set order in one of them: the lower one is asked first (the other: %s)", at))
			}
		}
	}
	told := map[string]bool{}
	for _, k := range c.kinds() {
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
			if all <= mostChain || len(names) < 2 || told[list] { // one alone has its own bound
				continue
			}
			told[list] = true
			add("plugin."+names[len(names)-1]+".time", fmt.Sprintf("at %s the plug-ins %s may take %v together for one message, and as long again to wait for their processes; a client waits 400ms", point, list, all),
				fmt.Sprintf("set their times to %v in all", mostChain))
		}
	}
}

// kinds are kinds of messages that plug-ins tell apart: each class and destination that one names, and one that none does.
func (c *Config) kinds() (list []scope) {
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
			list = append(list, scope{class: class, dest: d, named: true})
		}
	}
	return list
}

// pluginsAgainst lists what the platform's classes don't allow: what goes out at each attempt anew could go out in two
// versions, and only what is safe to repeat may.
func (c *Config) pluginsAgainst(classes map[string]decide.Class, names []string, add func(key, what, remedy string)) {
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
				add("plugin."+p.Name, fmt.Sprintf("%s: its hook call alters what each attempt sends, and a message of class %s must not go out in two versions", spec.File, name),
					"bind it to classes that are safe to repeat, or alter the message in the hook intake, whose result is kept")
			}
		}
	}
}

// show is what a plug-in is, in one text: two are the same if it is.
func (p *Plugin) show() string {
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

// diffPlugins lists the plug-ins that differ, by their names.
func diffPlugins(old, new *Config) (list []Change) {
	shown := func(c *Config) map[string]string {
		m := map[string]string{}
		for i := range c.Plugins {
			m[c.Plugins[i].Name] = c.Plugins[i].show()
		}
		return m
	}
	before, after := shown(old), shown(new)
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

// explainPlugins lists the plug-ins that a message meets, in order.
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
			list = append(list, Change{Scope: scope{class: class, dest: dest, named: true}.String(), Key: "plugin at " + string(point), New: s.Name + " " + s.Digest(), NewPosition: c.Positions["plugin."+s.Name]})
		}
	}
	return list
}
