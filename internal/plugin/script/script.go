// Package script compiles and runs operators' code in Starlark, a language without access to files, network, clock or random
// numbers, whose interpreter counts execution steps. The functions intake, call, reply and final of a file are its hooks;
// docs/plugins.md is the reference for their arguments.
package script

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"scaleroute/internal/message"
	"scaleroute/internal/plugin"
)

const (
	maxLoadSteps = 1_000_000 // step limit for the code outside functions, which runs when a file is compiled
	// MaxSource is the maximum size of a file in bytes.
	MaxSource = 256 << 10
)

// hookParams maps each hook to its number of parameters.
var hookParams = map[plugin.Point]int{plugin.Intake: 1, plugin.Call: 1, plugin.Reply: 2, plugin.Final: 2}

// Program is a compiled file. Its calls share only the values that the file's top level has created, which are frozen. It must be
// used by one goroutine at a time.
type Program struct {
	file        string
	hooks       map[plugin.Point]*starlark.Function
	predeclared starlark.StringDict // the names that a file can use besides those of the language
	regexps     map[string]*regexp.Regexp
}

// Compile compiles a file and runs its top level. If several names are undefined, the error has one line for each, with its
// position.
func Compile(file, source string) (*Program, error) {
	if len(source) > MaxSource {
		return nil, fmt.Errorf("%s: %d bytes; at most %d", file, len(source), MaxSource)
	}
	p := &Program{file: file, hooks: map[plugin.Point]*starlark.Function{}, regexps: map[string]*regexp.Regexp{}}
	p.predeclared = p.builtins()
	t, _ := p.newThread(maxLoadSteps, &plugin.Result{})
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{Set: true, While: true, TopLevelControl: true}, t, file, source, p.predeclared)
	if err != nil {
		return nil, p.withPosition(err)
	}
	globals.Freeze()
	for _, point := range plugin.Points {
		v := globals[string(point)]
		if v == nil {
			continue
		}
		f, ok := v.(*starlark.Function)
		if !ok {
			return nil, fmt.Errorf("%s: %s is a %s; it must be a function", file, point, v.Type())
		}
		if n := f.NumParams(); n != hookParams[point] || f.HasVarargs() || f.HasKwargs() {
			return nil, fmt.Errorf("%v: %s takes %d parameters; it is given %d: write def %s", f.Position(), point, n, hookParams[point], signature(point))
		}
		p.hooks[point] = f
	}
	if len(p.hooks) == 0 {
		return nil, fmt.Errorf("%s: there is no hook: define intake(message), call(message), reply(message, reply) or final(message, end)", file)
	}
	return p, nil
}

func signature(p plugin.Point) string {
	return map[plugin.Point]string{plugin.Intake: "intake(message)", plugin.Call: "call(message)", plugin.Reply: "reply(message, reply)",
		plugin.Final: "final(message, end)"}[p]
}

// Points lists the points for which the file defines hooks.
func (p *Program) Points() (list []plugin.Point) {
	for _, point := range plugin.Points {
		if p.hooks[point] != nil {
			list = append(list, point)
		}
	}
	return list
}

var errTooManySteps = errors.New("too many steps")

// newThread returns a thread that is cancelled after the given number of steps and then sets exceeded. Its log lines and counters
// go to r.
func (p *Program) newThread(steps uint64, r *plugin.Result) (t *starlark.Thread, exceeded *bool) {
	exceeded = new(bool)
	t = &starlark.Thread{Name: p.file, Print: func(t *starlark.Thread, text string) { addLine(r, text) }}
	t.SetMaxExecutionSteps(steps)
	t.OnMaxSteps = func(t *starlark.Thread) {
		*exceeded = true
		t.Cancel(errTooManySteps.Error())
	}
	t.SetLocal("result", r)
	return t, exceeded
}

func addLine(r *plugin.Result, text string) {
	if len(r.Lines) < plugin.MaxLogLines {
		r.Lines = append(r.Lines, plugin.SanitizeLine(text, plugin.MaxLogLine))
	}
}

// withPosition prefixes an error with the position of the innermost stack frame in the file.
func (p *Program) withPosition(err error) error {
	var e *starlark.EvalError
	var undefined resolve.ErrorList
	switch {
	case errors.As(err, &undefined):
		var all []error
		for _, u := range undefined {
			all = append(all, fmt.Errorf("%v: %s%s", u.Pos, u.Msg, p.suggestion(u.Msg)))
		}
		return errors.Join(all...)
	case !errors.As(err, &e):
		return err // a syntax error, which has its position already
	}
	for _, f := range slices.Backward(e.CallStack) {
		if f.Pos.Filename() == p.file && f.Pos.Line > 0 {
			return fmt.Errorf("%v: in %s: %s", f.Pos, f.Name, e.Msg)
		}
	}
	return fmt.Errorf("%s: %s", p.file, e.Msg)
}

// suggestion returns a hint that names a similar predeclared name, if the error is an undefined name.
func (p *Program) suggestion(message string) string {
	name, ok := strings.CutPrefix(message, "undefined: ")
	if !ok || strings.Contains(name, "(") {
		return ""
	}
	for _, known := range slices.Sorted(maps.Keys(p.predeclared)) {
		if levenshtein.Distance(name, known, nil) <= max(1, len(known)/3) {
			return fmt.Sprintf(" (did you mean %s?)", known)
		}
	}
	return ""
}

// Run calls the hook of the request's point. It always returns a result, also if the code fails or a built-in function panics.
func (p *Program) Run(q *plugin.Request, steps uint64) (r *plugin.Result) {
	hook := p.hooks[q.Point]
	r = &plugin.Result{}
	if hook == nil {
		return r
	}
	t, exceeded := p.newThread(steps, r)
	fail := func(text string, costly bool) {
		*r = plugin.Result{Error: plugin.SanitizeLine(text, 4*plugin.MaxLogLine), Costly: costly, Steps: t.Steps, Lines: r.Lines, Counts: r.Counts}
	}
	defer func() {
		if e := recover(); e != nil {
			fail(fmt.Sprintf("%s: a function of ours panicked: %v", p.file, e), true)
		}
	}()
	args := starlark.Tuple{messageOf(q)}
	switch q.Point {
	case plugin.Reply:
		args = append(args, replyOf(q))
	case plugin.Final:
		args = append(args, starlark.String(q.Outcome))
	}
	v, err := starlark.Call(t, hook, args, nil)
	r.Steps = t.Steps
	if err != nil {
		fail(p.withPosition(err).Error(), *exceeded)
		return r
	}
	switch v := v.(type) {
	case starlark.NoneType:
	case *hookResult:
		w := v.result
		w.Steps, w.Lines, w.Counts = r.Steps, r.Lines, r.Counts
		*r = w
	default:
		fail(fmt.Sprintf("%v: %s returned a %s; return change(...), refuse(...), not_delivered(...), wait(...) or None", hook.Position(), q.Point, v.Type()), false)
	}
	return r
}

func messageOf(q *plugin.Request) starlark.Value {
	d := starlark.StringDict{
		"id":          starlark.String(q.ID),
		"class_name":  starlark.String(q.Class),
		"destination": starlark.MakeInt(q.Destination),
	}
	if q.Point == plugin.Intake || q.Point == plugin.Call {
		header := starlark.NewDict(len(q.Header))
		for _, f := range q.Header {
			header.SetKey(starlark.String(f.Name), starlark.String(f.Value)) // cannot fail: the dict is not frozen and the key is hashable
		}
		d["body"], d["left"], d["header"] = starlark.String(q.Body), starlark.Float(q.TimeLeft), header
	}
	if q.Point == plugin.Intake {
		list := make([]starlark.Value, len(q.Endpoints))
		for i, e := range q.Endpoints {
			list[i] = starlarkstruct.FromStringDict(starlark.String("endpoint"), starlark.StringDict{
				"name": starlark.String(e.Name), "zone": starlark.String(e.Zone), "weight": starlark.Float(e.Weight)})
		}
		d["endpoints"] = starlark.NewList(list)
	}
	if q.Point == plugin.Call || q.Point == plugin.Reply {
		d["endpoint"], d["attempt"] = starlark.String(q.Endpoint), starlark.MakeInt(q.Attempt)
	}
	return starlarkstruct.FromStringDict(starlark.String("message"), d)
}

func replyOf(q *plugin.Request) starlark.Value {
	header := starlark.NewDict(len(q.ReplyHeader))
	for _, name := range slices.Sorted(maps.Keys(q.ReplyHeader)) {
		if v := q.ReplyHeader[name]; len(v) > 0 {
			header.SetKey(starlark.String(name), starlark.String(v[0]))
		}
	}
	return starlarkstruct.FromStringDict(starlark.String("reply"), starlark.StringDict{
		"status": starlark.MakeInt(q.Status), "header": header, "body": starlark.String(q.ReplyBody)})
}

// hookResult is the value that change, refuse, not_delivered and wait return, and that a hook returns. Its type name in Starlark
// is "wish".
type hookResult struct{ result plugin.Result }

func (w *hookResult) String() string       { return "wish" }
func (w *hookResult) Type() string         { return "wish" }
func (w *hookResult) Freeze()              {}
func (w *hookResult) Truth() starlark.Bool { return starlark.True }
func (w *hookResult) Hash() (uint32, error) {
	return 0, errors.New("a wish is no key")
}

func change(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var body, header, only, prefer starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "body??", &body, "header??", &header, "only??", &only, "prefer??", &prefer); err != nil {
		return nil, err
	}
	w := &hookResult{}
	switch v := body.(type) {
	case nil:
	case starlark.String:
		w.result.HasBody, w.result.Body = true, []byte(v)
	case starlark.Bytes:
		w.result.HasBody, w.result.Body = true, []byte(v)
	default:
		return nil, fmt.Errorf("change: body is a %s; give a string or bytes", v.Type())
	}
	if header != nil {
		d, ok := header.(*starlark.Dict)
		if !ok {
			return nil, fmt.Errorf("change: header is a %s; give a dict of names and values", header.Type())
		}
		for _, item := range d.Items() {
			name, ok := starlark.AsString(item[0])
			value, ok2 := starlark.AsString(item[1])
			if !ok || !ok2 {
				return nil, errors.New("change: header has something that is no string")
			}
			if w.result.Header = append(w.result.Header, message.Field{Name: name, Value: value}); len(w.result.Header) > plugin.MaxHeaderFields {
				return nil, fmt.Errorf("change: more than %d header fields", plugin.MaxHeaderFields)
			}
		}
	}
	for _, l := range []struct {
		name string
		from starlark.Value
		to   *[]string
	}{{"only", only, &w.result.Only}, {"prefer", prefer, &w.result.Prefer}} {
		if l.from == nil {
			continue
		}
		list, ok := l.from.(starlark.Iterable)
		if !ok {
			return nil, fmt.Errorf("change: %s is a %s; give a list of names of endpoints", l.name, l.from.Type())
		}
		for v := range starlark.Elements(list) {
			name, ok := starlark.AsString(v)
			if !ok {
				return nil, fmt.Errorf("change: %s has a %s; give names of endpoints, such as message.endpoints[0].name", l.name, v.Type())
			}
			if *l.to = append(*l.to, name); len(*l.to) > plugin.MaxNamedEndpoints {
				return nil, fmt.Errorf("change: %s names more than %d endpoints", l.name, plugin.MaxNamedEndpoints)
			}
		}
		if len(*l.to) == 0 && l.name == "only" {
			return nil, errors.New("change: only has no endpoint: leave it out for all, or refuse the message")
		}
	}
	return w, nil
}

func refuse(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	w := &hookResult{result: plugin.Result{Refuse: true}}
	var after starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "reason", &w.result.Reason, "retry_after??", &after); err != nil {
		return nil, err
	}
	w.result.Reason = plugin.SanitizeLine(w.result.Reason, plugin.MaxReason)
	return w, w.setWait("refuse: retry_after", after)
}

func notDelivered(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	w := &hookResult{result: plugin.Result{NotDelivered: true}}
	var wait starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "wait??", &wait); err != nil {
		return nil, err
	}
	return w, w.setWait("not_delivered: wait", wait)
}

func wait(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	w := &hookResult{}
	var v starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "time", &v); err != nil {
		return nil, err
	}
	return w, w.setWait("wait", v)
}

// setWait parses a time given to the function or parameter that function names.
func (w *hookResult) setWait(function string, v starlark.Value) error {
	if v == nil {
		return nil
	}
	d, err := duration(v)
	if err != nil {
		return fmt.Errorf("%s: %w", function, err)
	}
	if d > plugin.MaxWait {
		return fmt.Errorf("%s: %v; at most %v", function, d, plugin.MaxWait)
	}
	w.result.WaitMS = float64(d) / float64(time.Millisecond)
	return nil
}

// duration parses a time with its unit. A number without a unit is an error, since it could mean seconds or milliseconds.
func duration(v starlark.Value) (time.Duration, error) {
	text, ok := starlark.AsString(v)
	if !ok {
		return 0, fmt.Errorf(`%v has no unit: write "%vs" for seconds or "%vms" for milliseconds`, v, v, v)
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf(`%.40q is no time: write a number and its unit, such as "250ms" or "3s"`, text)
	}
	return d, nil
}
