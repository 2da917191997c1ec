package opfile

import (
	"fmt"
	"maps"
	"math/big"
	"path/filepath"
	"slices"
	"strings"

	"github.com/docker/go-units"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
	"scaleroute/internal/plugin/script"
)

// parent returns the key path of the block that contains a key.
func parent(key string) string {
	if i := strings.LastIndexByte(key, '.'); i > 0 {
		return key[:i]
	}
	return key
}

// plugin evaluates one plugin block and compiles the plug-in's code, whose errors become findings.
func (l *loader) plugin(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "a plugin takes one name", `Write plugin "NAME" { ... }.`)
		return
	}
	l.checkNames(block.Body, "plugin", "file", "classes", "destinations", "order", "steps", "time", "memory", "output", "processes", "cpu", "failures", "rest", "on_failure", "wait")
	p, findingsBefore := operator.DefaultPlugin(), len(l.diags)
	p.Name = block.Labels[0]
	key := "plugin." + p.Name
	if at, exists := l.positions[key]; exists {
		l.fail(block.DefRange(), fmt.Sprintf("there are two plug-ins %q", p.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", position(at)))
		return
	}
	l.positions[key] = block.DefRange()
	durations := map[string]*operator.Duration{"time": &p.Time, "cpu": &p.CPU, "rest": &p.Rest, "wait": &p.Wait}
	counts := map[string]*int{"order": &p.Order, "steps": &p.Steps, "processes": &p.Processes, "failures": &p.Failures}
	sizes := map[string]*int{"memory": &p.Memory, "output": &p.Output}
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		at := a.Expr.Range()
		l.positions[key+"."+name] = at
		switch name {
		case "classes", "destinations":
			l.classesOrDestinations(a, &p.Classes, &p.Destinations)
		case "on_failure":
			p.OnFailure, _ = l.text(a)
		case "file":
			if v, ok := l.text(a); ok {
				l.pluginCode(&p, v, at)
			}
		default:
			if d := durations[name]; d != nil {
				if v, ok := l.duration(a); ok {
					*d = v
				}
			}
			if n := counts[name]; n != nil {
				if v, ok := l.number(a, anyNumber, 1); ok {
					*n = v
				}
			}
			if n := sizes[name]; n != nil {
				if v, ok := l.size(a); ok {
					*n = v
				}
			}
		}
	}
	if block.Body.Attributes["file"] == nil {
		l.fail(block.DefRange(), fmt.Sprintf("the plug-in %q has no file", p.Name), `Write file = "NAME.star": the path is relative to the folder of this file.`)
	}
	if len(l.diags) == findingsBefore {
		l.plugins = append(l.plugins, p)
	}
}

// classesOrDestinations evaluates the key classes or destinations, which select the messages that a block applies to.
func (l *loader) classesOrDestinations(a *hclsyntax.Attribute, classes *[]string, dests *[]int) {
	v, ok := l.evaluate(a)
	if !ok {
		return
	}
	at := a.Expr.Range()
	if a.Name == "classes" {
		if *classes, ok = stringList(v); !ok || len(*classes) == 0 {
			l.fail(at, "classes are a list of names", `Write classes = ["NAME"], or remove it for all.`)
		}
		slices.Sort(*classes)
		*classes = slices.Compact(*classes)
		return
	}
	if *dests, ok = intList(v); !ok || len(*dests) == 0 {
		l.fail(at, "destinations are a list of whole numbers", `Write destinations = [7, 12], or remove it for all.`)
	}
	slices.Sort(*dests)
	*dests = slices.Compact(*dests)
}

// pluginCode reads and compiles a plug-in's file. The resolved form contains the source text.
func (l *loader) pluginCode(p *operator.Plugin, name string, at hcl.Range) {
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(at.Filename), name)
	}
	text, err := readFile(path)
	if err != nil {
		l.fail(at, "the plug-in's file can't be read", err.Error()+"\nThe path is relative to the folder of this file.")
		return
	}
	program, err := script.Compile(path, string(text))
	if err != nil {
		l.fail(at, "the plug-in's code does not compile", err.Error()+"\nFix that line: docs/plugins.md lists the available functions.")
		return
	}
	p.File, p.Source, p.Points = path, string(text), program.Points()
}

// size evaluates a number of bytes with its unit.
func (l *loader) size(a *hclsyntax.Attribute) (int, bool) {
	v, ok := l.evaluate(a)
	if !ok {
		return 0, false
	}
	at := a.Expr.Range()
	if v.Type() == cty.Number {
		n := v.AsBigFloat().Text('f', -1)
		l.fail(at, fmt.Sprintf("%s = %s has no unit", a.Name, n), fmt.Sprintf(`Write "%sKiB" or "%sMiB".`, n, n))
		return 0, false
	}
	if v.Type() != cty.String {
		l.fail(at, a.Name+" is a number of bytes", `Write it with its unit, such as "64KiB".`)
		return 0, false
	}
	text := v.AsString()
	n, err := units.RAMInBytes(text)
	if err != nil || strings.Trim(text, "0123456789.") == "" || big.NewInt(n).BitLen() > 40 {
		l.fail(at, fmt.Sprintf("%s: %q is not a number of bytes", a.Name, text), `Write a number and its unit, such as "64KiB" or "32MiB".`)
		return 0, false
	}
	return int(n), true
}
