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

// TestNoUnsafePlugins generates sets of plug-ins, and walks over all messages that there can be: none is accepted in which two
// would be asked in no stated order, a chain could outlast its client, or a message that must not take effect twice could go
// out in two versions; and no other is refused.
func TestNoUnsafePlugins(t *testing.T) {
	set := decide.Settings{Classes: []decide.Class{{Name: "update"}, {Name: "handover", Effect: decide.AtMostOnce}}}
	accepted, refused := 0, 0
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
			t.Fatalf("unsafe %v, and the checker says %+v of %+v", unsafe, problems, c.Plugins)
		}
		if unsafe {
			refused++
		} else {
			accepted++
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for range 100 {
			check(t)
		}
	})
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused: the test shows nothing", accepted, refused)
	}
	t.Logf("%d accepted, %d refused", accepted, refused)
}

// TestPluginsInDiffAndExplain: a change of code or binding is named, one of file order is none; a message's plug-ins are listed in
// the order in which it meets them.
func TestPluginsInDiffAndExplain(t *testing.T) {
	file := func(source string, names ...string) *Config {
		c := Default()
		for _, name := range names {
			p := DefaultPlugin()
			p.Name, p.Source, p.Points, p.Order = name, source, []plugin.Point{plugin.Intake}, len(names)-int(name[0]-'a')
			c.Plugins = append(c.Plugins, p)
		}
		return c
	}
	if d := Diff(file("x", "a", "b"), file("x", "b", "a")); len(d) > 0 {
		t.Errorf("the same in another order: %+v", d)
	}
	d := Diff(file("x", "a"), file("y", "a"))
	if len(d) != 1 || d[0].Scope != "plug-in a" || d[0].Old == d[0].New {
		t.Errorf("other code: %+v", d)
	}
	if d := Diff(file("x"), file("x", "a")); len(d) != 1 || d[0].Old != noPlugin {
		t.Errorf("one more: %+v", d)
	}
	e, err := file("x", "a", "b").Explain(&route.Message{Class: "update", Destination: 1})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(e); n < 2 || !strings.HasPrefix(e[n-2].New, "b ") || !strings.HasPrefix(e[n-1].New, "a ") {
		t.Errorf("%+v", e)
	}
}
