package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/operator"
	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/hostile"
	"scaleroute/internal/plugin/script"
	"scaleroute/internal/standin"
)

// plugins are what a run has of them.
type plugins struct {
	files   []string
	bound   []int // destinations
	failure string
	hostile int // generated ones in each version
	seed    uint64
}

func (o *options) plugins(rng *rand.Rand) *plugins {
	if o.Plugin == "" && o.Hostile == 0 {
		return nil
	}
	p := &plugins{failure: o.PluginFailure, hostile: o.Hostile, seed: o.Seed,
		bound: rng.Perm(o.Destinations)[:max(1, int(o.PluginShare*float64(o.Destinations)))]}
	slices.Sort(p.bound)
	if o.Plugin != "" {
		p.files = strings.Split(o.Plugin, ",")
	}
	return p
}

// version is a resolved file with the plug-ins. Generated ones are others in each version.
func (p *plugins) version(n int) (*operator.Config, error) {
	c := operator.Default()
	add := func(file, source string, classes []string, limit func(*operator.Plugin)) error {
		program, err := script.Compile(file, source)
		if err != nil {
			return err
		}
		one := operator.DefaultPlugin()
		one.Name, one.File, one.Source, one.Points, one.Classes = fmt.Sprintf("%03d", len(c.Plugins)), file, source, program.Points(), classes
		one.Destinations, one.Order, one.OnFailure = p.bound, len(c.Plugins), p.failure
		if slices.Contains(one.Points, plugin.Call) {
			one.Classes = []string{standin.Safe}
		}
		limit(&one)
		c.Plugins = append(c.Plugins, one)
		return nil
	}
	for _, file := range p.files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := add(file, string(text), nil, func(one *operator.Plugin) {
			one.CPU, one.Processes = operator.Duration(2*time.Second), 2
		}); err != nil {
			return nil, err
		}
	}
	for seed := p.seed<<32 + uint64(n)<<12; len(c.Plugins) < len(p.files)+p.hostile; seed++ {
		// One that does not compile is no plug-in: check would have said so.
		add("hostile.star", hostile.Source(seed, seed%2 == 0), nil, func(one *operator.Plugin) {
			one.Time = operator.Duration(140 * time.Millisecond / time.Duration(p.hostile))
			one.Memory, one.Steps = 16<<20, 100_000
			one.OnFailure = []string{"pass", "pass", "pass", "refuse"}[seed/2%4]
		})
	}
	return c, c.Error(c.Check())
}

// setPlugins gives the program a file that sets them; before their time it sets none.
func (p *program) setPlugins(set *plugins, later bool) (*operators, error) {
	o := &operators{path: filepath.Join(p.dir, "operators.json"), limits: operator.Default().NewLimits(), plugins: set}
	n := 0
	if later {
		n = -1
	}
	if err := o.render(n); err != nil {
		return nil, err
	}
	p.command = append(p.command, "-operators", o.path)
	return o, os.WriteFile(o.path, o.text, 0o600)
}

// render makes the text of a version; below 0 it has no plug-ins.
func (o *operators) render(n int) (err error) {
	c := operator.Default()
	if n >= 0 {
		if c, err = o.plugins.version(n); err != nil {
			return err
		}
	}
	c.PluginStatus = filepath.Join(filepath.Dir(o.path), "plugins.json")
	o.text, err = json.Marshal(c)
	return err
}

// status is what the program's plug-ins have done, as a text.
func (o *operators) status() (text []string) {
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(o.path), "plugins.json"))
	if err != nil {
		return nil
	}
	var all struct {
		Plugins []struct {
			Name                                              string
			Circuit                                           string
			Calls, Changed, Failed, Costly, Skipped, Restarts int
		}
	}
	if json.Unmarshal(raw, &all) != nil {
		return nil
	}
	for _, s := range all.Plugins[:min(len(all.Plugins), 8)] {
		text = append(text, fmt.Sprintf("%s: circuit %s, %d calls, %d changed, %d failed (%d costly), %d skipped, %d restarts", s.Name, s.Circuit, s.Calls,
			s.Changed, s.Failed, s.Costly, s.Skipped, s.Restarts))
	}
	return text
}

// jsonBody is a body for plug-ins to alter, of about so many bytes.
func jsonBody(size int) []byte {
	m := map[string]any{"municipality": "Tartu", "petition": 7, "signed_at": "2026-12-01"}
	for i := 0; ; i++ {
		text, _ := json.Marshal(m) // of texts and numbers: no error
		if len(text) >= size {
			return text
		}
		m[fmt.Sprintf("field%04d", i)] = strings.Repeat("x", min(40, max(1, size-len(text)-16)))
	}
}
