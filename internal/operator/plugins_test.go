package operator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/plugin"
	"scaleroute/internal/route"
)

// TestCheckRejectsUnsafePlugins generates sets of plug-ins and goes through all possible messages. The checks must reject exactly the
// sets in which two plug-ins are called in no defined order, a chain could run longer than its client waits, or a message that
// must not take effect twice could be sent in two versions.
func TestCheckRejectsUnsafePlugins(t *testing.T) {
	set := decide.Settings{Classes: []decide.Class{{Name: "update"}, {Name: "handover", Effect: decide.AtMostOnce}}}
	accepted, rejected := 0, 0
	check := func(t *rapid.T) {
		c := Default()
		for i := range rapid.IntRange(1, 4).Draw(t, "plug-ins") {
			p := DefaultPlugin()
			p.Name, p.Source = string(rune('a'+i)), "x"
			p.Points = []plugin.Point{rapid.SampledFrom(plugin.Points).Draw(t, "point")}
			p.Order = rapid.IntRange(0, 4).Draw(t, "order")
			p.Time = Duration(rapid.SampledFrom([]time.Duration{30, 70, 120}).Draw(t, "time") * time.Millisecond)
			p.Classes = rapid.SampledFrom([][]string{nil, {"update"}, {"handover"}, {"update", "handover"}}).Draw(t, "classes")
			p.Destinations = rapid.SampledFrom([][]int{nil, {1}, {2}, {1, 2}}).Draw(t, "destinations")
			c.Plugins = append(c.Plugins, p)
		}
		unsafe := false
		for _, class := range []string{"update", "handover"} {
			for dest := 1; dest <= 3; dest++ {
				for _, point := range plugin.Points {
					var total time.Duration
					orders := map[int]bool{}
					for _, p := range c.Plugins {
						if p.Points[0] != point || len(p.Classes) > 0 && !slices.Contains(p.Classes, class) || len(p.Destinations) > 0 && !slices.Contains(p.Destinations, dest) {
							continue
						}
						total += time.Duration(p.Time)
						unsafe = unsafe || orders[p.Order] || total > 150*time.Millisecond || point == plugin.Call && class == "handover"
						orders[p.Order] = true
					}
				}
			}
		}
		problems := append(c.Check(), c.CheckPlatform(set)...)
		if unsafe != (len(problems) > 0) {
			t.Fatalf("unsafe is %v, but the checks report %+v for %+v", unsafe, problems, c.Plugins)
		}
		if unsafe {
			rejected++
		} else {
			accepted++
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for range 100 {
			check(t)
		}
	})
	if accepted == 0 || rejected == 0 {
		t.Errorf("%d accepted, %d rejected: the test needs both to be meaningful", accepted, rejected)
	}
	t.Logf("%d accepted, %d rejected", accepted, rejected)
}

// TestPluginsInDiffAndExplain checks that Diff reports a change of code or of the messages that a plug-in is called for, but not
// another order in the file, and that Explain lists the plug-ins of a message in the order in which they are called.
func TestPluginsInDiffAndExplain(t *testing.T) {
	config := func(source string, names ...string) *Config {
		c := Default()
		for _, name := range names {
			p := DefaultPlugin()
			p.Name, p.Source, p.Points, p.Order = name, source, []plugin.Point{plugin.Intake}, len(names)-int(name[0]-'a')
			c.Plugins = append(c.Plugins, p)
		}
		return c
	}
	if d := Diff(config("x", "a", "b"), config("x", "b", "a")); len(d) > 0 {
		t.Errorf("the same plug-ins in another order: %+v", d)
	}
	d := Diff(config("x", "a"), config("y", "a"))
	if len(d) != 1 || d[0].Scope != "plug-in a" || d[0].Old == d[0].New {
		t.Errorf("changed code: %+v", d)
	}
	if d := Diff(config("x"), config("x", "a")); len(d) != 1 || d[0].Old != noPlugin {
		t.Errorf("added plug-in: %+v", d)
	}
	e, err := config("x", "a", "b").Explain(&route.Message{Class: "update", Destination: 1})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(e); n < 2 || !strings.HasPrefix(e[n-2].New, "b ") || !strings.HasPrefix(e[n-1].New, "a ") {
		t.Errorf("the plug-ins are missing or in the wrong order: %+v", e)
	}
}
