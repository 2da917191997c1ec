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

// parent is the key of the block that a key stands in.
func parent(key string) string {
	if i := strings.LastIndexByte(key, '.'); i > 0 {
		return key[:i]
	}
	return key
}

// plugin takes one plug-in, and compiles its code: what is wrong there is said here.
func (l *loader) plugin(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "a plugin takes one name", `Write plugin "NAME" { ... }.`)
		return
	}
	l.known(block.Body, "plugin", "file", "classes", "destinations", "order", "steps", "time", "memory", "output", "processes", "cpu", "failures", "rest", "on_failure", "wait")
	p, wrong := operator.DefaultPlugin(), len(l.diags)
	p.Name = block.Labels[0]
	key := "plugin." + p.Name
	if at, twice := l.places[key]; twice {
		l.fail(block.DefRange(), fmt.Sprintf("there are two plug-ins %q", p.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", place(at)))
		return
	}
	l.places[key] = block.DefRange()
	durations := map[string]*operator.Duration{"time": &p.Time, "cpu": &p.CPU, "rest": &p.Rest, "wait": &p.Wait}
	counts := map[string]*int{"order": &p.Order, "steps": &p.Steps, "processes": &p.Processes, "failures": &p.Failures}
	sizes := map[string]*int{"memory": &p.Memory, "output": &p.Output}
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		at := a.Expr.Range()
		l.places[key+"."+name] = at
		switch name {
		case "classes", "destinations":
			l.bound(a, &p.Classes, &p.Destinations)
		case "on_failure":
			p.OnFailure, _ = l.text(a)
		case "file":
			if v, ok := l.text(a); ok {
				l.code(&p, v, at)
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
		l.fail(block.DefRange(), fmt.Sprintf("the plug-in %q has no file", p.Name), `Write file = "NAME.star": it is looked for in the folder of this file.`)
	}
	if len(l.diags) == wrong {
		l.plugins = append(l.plugins, p)
	}
}

// bound reads which messages something is for.
func (l *loader) bound(a *hclsyntax.Attribute, classes *[]string, dests *[]int) {
	v, ok := l.value(a)
	if !ok {
		return
	}
	at := a.Expr.Range()
	if a.Name == "classes" {
		if *classes, ok = texts(v); !ok || len(*classes) == 0 {
			l.fail(at, "classes are a list of names", `Write classes = ["NAME"], or leave it out for all.`)
		}
		slices.Sort(*classes)
		*classes = slices.Compact(*classes)
		return
	}
	if *dests, ok = numbers(v); !ok || len(*dests) == 0 {
		l.fail(at, "destinations are a list of whole numbers", `Write destinations = [7, 12], or leave it out for all.`)
	}
	slices.Sort(*dests)
	*dests = slices.Compact(*dests)
}

// code reads a plug-in's file, which the resolved form holds whole.
func (l *loader) code(p *operator.Plugin, name string, at hcl.Range) {
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(at.Filename), name)
	}
	text, err := readFile(path)
	if err != nil {
		l.fail(at, "the plug-in's file can't be read", err.Error()+"\nIt is looked for in the folder of this file.")
		return
	}
	program, err := script.Compile(path, string(text))
	if err != nil {
		l.fail(at, "the plug-in's code is not well", err.Error()+"\nMend that line: docs/plugins.md has what there is to call.")
		return
	}
	p.File, p.Source, p.Points = path, string(text), program.Points()
}

// size reads bytes with their unit.
func (l *loader) size(a *hclsyntax.Attribute) (int, bool) {
	v, ok := l.value(a)
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
		l.fail(at, fmt.Sprintf("%s: %q is no number of bytes", a.Name, text), `Write a number and its unit, such as "64KiB" or "32MiB".`)
		return 0, false
	}
	return int(n), true
}
