// Package opfile reads the operators' configuration files: HCL with includes, declared environment variables and units. It
// compiles them to the resolved form of package operator and reports all findings at once, each with file, line, excerpt and
// remedy. The reference is docs/configuration.md.
package opfile

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/big"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"

	"scaleroute/internal/operator"
)

const (
	maxFiles     = 10_000
	maxFileBytes = 16 << 20 // per file
)

// Result is the outcome of reading a file and its includes.
type Result struct {
	Config *operator.Config // nil if there are errors
	Diags  hcl.Diagnostics
	Files  map[string]*hcl.File // all files that were read, for excerpts in findings
}

// Load reads a file and its includes. It returns an error only if the first file can't be accessed; all other findings are in
// Result.Diags.
func Load(path string, getenv func(string) (string, bool)) (*Result, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	l := &loader{getenv: getenv, files: map[string]*hcl.File{}, visited: map[string]bool{},
		env: map[string]cty.Value{}, envPositions: map[string]hcl.Range{}, settings: map[string]setting{}, positions: map[string]hcl.Range{}}
	l.read(path, nil, nil)
	for _, b := range l.bodies { // first all declarations, since any file may use them
		l.declare(b)
	}
	for _, b := range l.bodies {
		l.body(b)
	}
	c := l.resolve()
	slices.SortStableFunc(l.diags, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return cmp.Or(strings.Compare(a.Subject.Filename, b.Subject.Filename), a.Subject.Start.Byte-b.Subject.Start.Byte)
	})
	r := &Result{Diags: l.diags, Files: l.files}
	if !l.diags.HasErrors() {
		r.Config = c
	}
	return r, nil
}

type setting struct {
	value    any
	position hcl.Range
}

type loader struct {
	getenv        func(string) (string, bool)
	files         map[string]*hcl.File
	visited       map[string]bool // by the absolute path of the file with symbolic links resolved
	bodies        []*hclsyntax.Body
	env           map[string]cty.Value
	envPositions  map[string]hcl.Range
	settings      map[string]setting
	limits        []operator.Limit
	pools         []operator.Pool
	routes        []operator.Route
	plugins       []operator.Plugin
	fleetConfig   *operator.Fleet
	controlConfig *operator.Control
	positions     map[string]hcl.Range // of blocks and their keys, by key path
	diags         hcl.Diagnostics
}

func (l *loader) fail(at hcl.Range, what, remedy string) {
	l.diags = append(l.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Detail: remedy, Subject: at.Ptr()})
}

func (l *loader) warn(at hcl.Range, what, remedy string) {
	l.diags = append(l.diags, &hcl.Diagnostic{Severity: hcl.DiagWarning, Summary: what, Detail: remedy, Subject: at.Ptr()})
}

// stringList returns the strings of a list, or one string as a list of one.
func stringList(v cty.Value) (list []string, ok bool) {
	if v.IsNull() || !v.IsWhollyKnown() {
		return nil, false
	}
	if v.Type() == cty.String {
		return []string{v.AsString()}, true
	}
	if !v.Type().IsTupleType() && !v.Type().IsListType() {
		return nil, false
	}
	for _, e := range v.AsValueSlice() {
		if e.IsNull() || e.Type() != cty.String {
			return nil, false
		}
		list = append(list, e.AsString())
	}
	return list, true
}

// declare evaluates the env blocks of a file.
func (l *loader) declare(b *hclsyntax.Body) {
	for _, block := range b.Blocks {
		if block.Type != "env" {
			continue
		}
		if len(block.Labels) != 1 {
			l.fail(block.DefRange(), "env takes one name", `Write env "NAME" { default = "..." }.`)
			continue
		}
		name := block.Labels[0]
		if at, exists := l.envPositions[name]; exists {
			l.fail(block.DefRange(), fmt.Sprintf("env %q is declared twice", name), fmt.Sprintf("The other declaration is at %s.", position(at)))
			continue
		}
		l.envPositions[name] = block.DefRange()
		l.checkNames(block.Body, "env", "default")
		value, found := l.getenv(name)
		if a := block.Body.Attributes["default"]; !found && a != nil {
			v, diags := a.Expr.Value(nil)
			l.diags = append(l.diags, diags...)
			if diags.HasErrors() || v.IsNull() || v.Type() != cty.String {
				l.fail(a.Expr.Range(), "a default is a text", `Write default = "...".`)
				continue
			}
			value, found = v.AsString(), true
		}
		if !found {
			l.fail(block.DefRange(), fmt.Sprintf("%s is not set in the environment", name), "Set it, or give it a default.")
		}
		l.env[name] = cty.StringVal(value)
	}
}

// checkNames reports each key and block of a body that is not among the names. Names of blocks end in an asterisk.
func (l *loader) checkNames(b *hclsyntax.Body, where string, names ...string) {
	var keys, blocks []string
	for _, n := range names {
		if block, yes := strings.CutSuffix(n, "*"); yes {
			blocks = append(blocks, block)
		} else {
			keys = append(keys, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Attributes)) {
		if !slices.Contains(keys, name) {
			l.fail(b.Attributes[name].NameRange, fmt.Sprintf("%s has no key %q", where, name), suggest(name, keys))
		}
	}
	for _, block := range b.Blocks {
		if !slices.Contains(blocks, block.Type) {
			l.fail(block.TypeRange, fmt.Sprintf("%s has no block %q", where, block.Type), suggest(block.Type, blocks))
		}
	}
}

func suggest(name string, known []string) string {
	return asSentence(operator.SuggestName(name, known))
}

func position(at hcl.Range) string { return fmt.Sprintf("%s:%d", at.Filename, at.Start.Line) }

// body evaluates the settings of one file.
func (l *loader) body(b *hclsyntax.Body) {
	l.checkNames(b, "a file", "include", "env*", "journal*", "limits*", "pool*", "route*", "plugin*", "plugins*", "fleet*", "control*", "unrouted")
	if a := b.Attributes["unrouted"]; a != nil {
		if v, ok := l.text(a); ok {
			l.setOnce("unrouted", v, a.Expr.Range())
		}
	}
	for _, block := range b.Blocks {
		switch block.Type {
		case "limits":
			l.limit(block)
		case "pool":
			l.pool(block)
		case "route":
			l.route(block)
		case "plugin":
			l.plugin(block)
		case "fleet":
			l.fleet(block)
		case "control":
			l.control(block)
		case "plugins":
			l.checkNames(block.Body, "plugins", "status")
			if a := block.Body.Attributes["status"]; a != nil {
				if v, ok := l.text(a); ok {
					l.setOnce("plugin_status", v, a.Expr.Range())
				}
			}
		}
		if block.Type != "journal" {
			continue
		}
		if len(block.Labels) > 0 {
			l.fail(block.DefRange(), "journal takes no name", "Write journal { ... }.")
		}
		l.checkNames(block.Body, "journal", "durability", "sync_every")
		for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
			switch a := block.Body.Attributes[name]; name {
			case "durability":
				if v, ok := l.text(a); ok {
					l.setOnce("journal.durability", v, a.Expr.Range())
				}
			case "sync_every":
				if v, ok := l.duration(a); ok {
					l.setOnce("journal.sync_every", v, a.Expr.Range())
				}
			}
		}
	}
}

// limit evaluates one limits block.
func (l *loader) limit(block *hclsyntax.Block) {
	if len(block.Labels) != 1 {
		l.fail(block.DefRange(), "limits take one name", `Write limits "NAME" { ... }.`)
		return
	}
	l.checkNames(block.Body, "limits", "classes", "destinations", "pools", "routes", "attempts", "answer", "whole", "held", "connect", "wait", "copy", "out", "rate", "ratio")
	rule, findingsBefore := operator.Limit{Name: block.Labels[0]}, len(l.diags)
	key := "limits." + rule.Name
	if at, exists := l.positions[key]; exists {
		l.fail(block.DefRange(), fmt.Sprintf("there are two limits %q", rule.Name), fmt.Sprintf("The other is at %s. Give each a name of its own.", position(at)))
		return
	}
	l.positions[key] = block.DefRange()
	for _, name := range slices.Sorted(maps.Keys(block.Body.Attributes)) {
		a := block.Body.Attributes[name]
		at := a.Expr.Range()
		l.positions[key+"."+name] = at
		switch name {
		case "classes", "destinations":
			l.classesOrDestinations(a, &rule.Classes, &rule.Destinations)
		case "pools":
			rule.Pools = l.stringSet(a, `["tartu"]`)
		case "routes":
			rule.Routes = l.stringSet(a, `["handovers of tartu"]`)
		case "attempts", "held", "out":
			if n, ok := l.number(a, positiveNumber, 2); ok {
				*map[string]*int{"attempts": &rule.MaxAttempts, "held": &rule.MaxQueued, "out": &rule.MaxInFlight}[name] = n
			}
		case "answer", "whole", "connect", "wait", "copy":
			if d, ok := l.duration(a); ok && d == 0 {
				l.fail(at, name+" can't be zero", fmt.Sprintf(`Write %s = "800ms".`, name))
			} else if ok {
				*map[string]*operator.Duration{"answer": &rule.AttemptTimeout, "whole": &rule.TotalTimeout, "connect": &rule.ConnectTimeout, "wait": &rule.RetryDelay, "copy": &rule.HedgeDelay}[name] = d
			}
		case "rate":
			rule.MaxRate = l.rate(a)
		case "ratio":
			if v, ok := l.evaluate(a); ok && v.Type() == cty.Number {
				rule.MaxRetryRatio, _ = v.AsBigFloat().Float64()
			}
			if rule.MaxRetryRatio <= 0 {
				l.fail(at, "ratio is a positive number", "Write ratio = 0.1 for one retry per ten first attempts.")
			}
		}
	}
	if len(l.diags) == findingsBefore {
		l.limits = append(l.limits, rule)
	}
}

// numberKind is a range of whole numbers that a key accepts.
type numberKind struct {
	min  int
	name string
}

var (
	anyNumber      = numberKind{math.MinInt32, "a whole number"}
	positiveNumber = numberKind{1, "a whole number, 1 or more"}
)

// number evaluates a whole number. The remedy of a finding contains the example.
func (l *loader) number(a *hclsyntax.Attribute, kind numberKind, example int) (int, bool) {
	v, ok := l.evaluate(a)
	if !ok {
		return 0, false
	}
	list, ok := intList(cty.TupleVal([]cty.Value{v}))
	if !ok || list[0] < kind.min {
		l.fail(a.Expr.Range(), a.Name+" is "+kind.name, fmt.Sprintf("Write %s = %d.", a.Name, example))
		return 0, false
	}
	return list[0], true
}

// intList returns the elements of a list of 32-bit whole numbers.
func intList(v cty.Value) (list []int, ok bool) {
	if v.IsNull() || !v.IsWhollyKnown() || !v.Type().IsTupleType() && !v.Type().IsListType() {
		return nil, false
	}
	for _, e := range v.AsValueSlice() {
		if e.IsNull() || e.Type() != cty.Number {
			return nil, false
		}
		n, accuracy := e.AsBigFloat().Int64()
		if accuracy != big.Exact || n < -1<<31 || n >= 1<<31 {
			return nil, false
		}
		list = append(list, int(n))
	}
	return list, true
}

// rate evaluates a number of calls per unit of time, and returns calls per second.
func (l *loader) rate(a *hclsyntax.Attribute) float64 {
	v, ok := l.evaluate(a)
	if !ok {
		return 0
	}
	at := a.Expr.Range()
	if v.Type() == cty.Number {
		n := v.AsBigFloat().Text('f', -1)
		l.fail(at, fmt.Sprintf("%s = %s has no unit", a.Name, n), fmt.Sprintf(`Write "%s/s" for calls a second or "%s/m" for calls a minute.`, n, n))
		return 0
	}
	per := map[string]float64{"s": 1, "m": 60, "h": 3600}
	if v.Type() == cty.String {
		number, unit, _ := strings.Cut(v.AsString(), "/")
		if n, err := strconv.ParseFloat(strings.TrimSpace(number), 64); err == nil && n > 0 && per[strings.TrimSpace(unit)] > 0 {
			return n / per[strings.TrimSpace(unit)]
		}
	}
	l.fail(at, a.Name+" is a number of calls per unit of time", `Write "120/s" or "30/m".`)
	return 0
}

// setOnce records a setting. Several files may set it to the same value; different values are an error, since neither file takes
// precedence.
func (l *loader) setOnce(key string, value any, at hcl.Range) {
	if old, exists := l.settings[key]; exists && old.value != value {
		l.fail(at, fmt.Sprintf("%s is set twice, to %v and to %v", key, old.value, value), fmt.Sprintf("The other setting is at %s. Remove one of them.", position(old.position)))
		return
	}
	l.settings[key] = setting{value, at}
}

// evaluate returns the value of an attribute, and whether it is valid and neither null nor unknown.
func (l *loader) evaluate(a *hclsyntax.Attribute) (cty.Value, bool) {
	vars := map[string]cty.Value{"env": cty.ObjectVal(l.env)}
	v, diags := a.Expr.Value(&hcl.EvalContext{Variables: vars})
	for _, d := range diags {
		if strings.Contains(d.Summary, "Unsupported attribute") {
			d.Detail += ` An environment variable is declared by env "NAME" { } before it can be used.`
		}
	}
	l.diags = append(l.diags, diags...)
	return v, !diags.HasErrors() && !v.IsNull() && v.IsWhollyKnown()
}

// text evaluates a string.
func (l *loader) text(a *hclsyntax.Attribute) (string, bool) {
	v, ok := l.evaluate(a)
	if ok && v.Type() != cty.String {
		l.fail(a.Expr.Range(), fmt.Sprintf("%s is a text", a.Name), fmt.Sprintf(`Write %s = "...".`, a.Name))
		return "", false
	}
	if !ok {
		return "", false
	}
	return v.AsString(), true
}

// duration evaluates a duration with its unit.
func (l *loader) duration(a *hclsyntax.Attribute) (operator.Duration, bool) {
	v, ok := l.evaluate(a)
	if !ok {
		return 0, false
	}
	at := a.Expr.Range()
	if v.Type() == cty.Number {
		n := v.AsBigFloat().Text('f', -1)
		l.fail(at, fmt.Sprintf("%s = %s has no unit", a.Name, n), fmt.Sprintf(`Write "%ss" for seconds or "%sms" for milliseconds.`, n, n))
		return 0, false
	}
	if v.Type() != cty.String {
		l.fail(at, fmt.Sprintf("%s is a duration", a.Name), `Write it with its unit, such as "100ms" or "3s".`)
		return 0, false
	}
	d, err := parseDuration(v.AsString())
	if err != nil {
		l.fail(at, fmt.Sprintf("%s: %v", a.Name, err), `Write a number and its unit, such as "100ms", "3s" or "1m30s".`)
	}
	return d, err == nil
}

func parseDuration(text string) (d operator.Duration, err error) {
	if text != "" && strings.Trim(text, "0123456789.") == "" {
		return 0, fmt.Errorf(`%q has no unit: "%ss" and "%sms" differ by a factor of 1000`, text, text, text)
	}
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	if d < 0 {
		return 0, errors.New("a duration can't be negative")
	}
	return d, nil
}

// resolve builds the resolved form and adds the findings of its checks.
func (l *loader) resolve() *operator.Config {
	c := operator.Default()
	c.Limits = l.limits
	slices.SortFunc(c.Limits, func(a, b operator.Limit) int { return strings.Compare(a.Name, b.Name) })
	c.Pools, c.Routes, c.Plugins, c.Fleet, c.Control = l.pools, l.routes, l.plugins, l.fleetConfig, l.controlConfig
	slices.SortFunc(c.Pools, func(a, b operator.Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b operator.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Plugins, func(a, b operator.Plugin) int { return strings.Compare(a.Name, b.Name) })
	if len(l.settings)+len(l.positions) > 0 {
		c.Positions = map[string]string{}
	}
	for key, at := range l.positions {
		c.Positions[key] = position(at)
	}
	for key, s := range l.settings {
		c.Positions[key] = position(s.position)
		switch key {
		case "journal.durability":
			c.Journal.Durability = s.value.(string)
		case "journal.sync_every":
			c.Journal.SyncEvery = s.value.(operator.Duration)
		case "unrouted":
			c.Unrouted = s.value.(string)
		case "plugin_status":
			c.PluginStatus = s.value.(string)
		}
	}
	if _, set := l.settings["journal.sync_every"]; !set && c.Journal.Durability == "interval" {
		c.Journal.SyncEvery = operator.Duration(operator.DefaultSyncEvery)
	}
	for _, p := range c.Check() {
		l.fail(l.positionOf(p.Key), p.What, asSentence(p.Remedy))
	}
	if !l.diags.HasErrors() {
		for _, p := range c.Warnings() {
			l.warn(l.positionOf(p.Key), p.What, asSentence(p.Remedy))
		}
	}
	return c
}

// positionOf returns the position of a key, or that of its block if the key has its default value.
func (l *loader) positionOf(key string) hcl.Range {
	at := l.settings[key].position
	if pos, ok := l.positions[key]; ok {
		return pos
	}
	if pos, ok := l.positions[parent(key)]; ok && at.Filename == "" { // the key has its default value
		return pos
	}
	return at
}

// asSentence turns a remedy into a sentence with a capital letter and a full stop.
func asSentence(remedy string) string {
	remedy = strings.ToUpper(remedy[:1]) + remedy[1:]
	if strings.HasSuffix(remedy, "?") {
		return remedy
	}
	return remedy + "."
}

// Format returns a file's text in canonical format, with its comments. It returns an error if the text can't be parsed.
func Format(text []byte, path string) ([]byte, error) {
	if _, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos); diags.HasErrors() {
		return nil, diags
	}
	if len(text) > 0 && text[len(text)-1] != '\n' { // added before formatting, since the formatter's result depends on it
		text = append(slices.Clone(text), '\n')
	}
	for range 3 { // the result of one pass may change in the next
		next := hclwrite.Format(text)
		if string(next) == string(text) {
			break
		}
		text = next
	}
	return text, nil
}
