package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"scaleroute/internal/decide"
	"scaleroute/internal/message"
	"scaleroute/internal/operator"
	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/runner"
	"scaleroute/internal/plugin/script"
)

type pluginCommands struct {
	Check  pluginCheck  `cmd:"" help:"Compile plug-ins and say what is wrong with them."`
	Test   pluginTest   `cmd:"" help:"Run plug-ins on sample messages and compare what comes of them; exit 1 if anything differs."`
	Run    pluginRun    `cmd:"" help:"Run one hook on one message and show what it changes."`
	Status pluginStatus `cmd:"" help:"Show what the plug-ins of a running daemon have done."`
}

// pluginHostCommand has this program be the process in which a plug-in runs, under the bounds that it has in the daemon.
const pluginHostCommand = "plugin-host"

type pluginCheck struct {
	Files []string `arg:"" type:"existingfile" help:"Plug-ins (.star)."`
	JSON  bool     `help:"One line of JSON for each file."`
}

func (c *pluginCheck) Run(out io.Writer, errs stderr) error {
	var found error
	for _, file := range c.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		program, err := script.Compile(file, string(text))
		line := map[string]any{"file": file, "error": "", "points": []plugin.Point{}}
		if err != nil {
			found, line["error"] = errFound, err.Error()
		} else {
			line["points"] = program.Points()
		}
		switch {
		case c.JSON:
			err = json.NewEncoder(out).Encode(line)
		case err != nil:
			_, err = fmt.Fprintf(errs, "%v\n", err)
		default:
			_, err = fmt.Fprintf(out, "%s: well; hooks: %v\n", file, program.Points())
		}
		if err != nil {
			return err
		}
	}
	return found
}

// sample is one message and what is to come of it, as a file of samples has it.
type sample struct {
	Name        string            `hcl:"name,label"`
	Point       string            `hcl:"point,optional"` // intake if it is left out
	ID          string            `hcl:"id,optional"`
	Class       string            `hcl:"class,optional"`
	Destination int               `hcl:"destination,optional"`
	Left        string            `hcl:"left,optional"`
	Body        string            `hcl:"body,optional"`
	Header      map[string]string `hcl:"header,optional"`
	Endpoints   []sampleEndpoint  `hcl:"endpoint,block"`
	To          string            `hcl:"to,optional"` // the endpoint of a call or reply
	Attempt     int               `hcl:"attempt,optional"`
	Reply       *sampleReply      `hcl:"reply,block"`
	End         string            `hcl:"end,optional"`
	Want        *sampleWant       `hcl:"want,block"`
}

type sampleEndpoint struct {
	Name   string  `hcl:"name,label"`
	Zone   string  `hcl:"zone,optional"`
	Weight float64 `hcl:"weight,optional"`
}

type sampleReply struct {
	Status int               `hcl:"status"`
	Body   string            `hcl:"body,optional"`
	Header map[string]string `hcl:"header,optional"`
}

// sampleWant names all that is to come of a message: what is left out must not be there.
type sampleWant struct {
	Body         *string           `hcl:"body,optional"` // unaltered if it is left out
	Header       map[string]string `hcl:"header,optional"`
	Only         []string          `hcl:"only,optional"`
	Prefer       []string          `hcl:"prefer,optional"`
	Refused      string            `hcl:"refused,optional"` // the reason
	Wait         string            `hcl:"wait,optional"`
	NotDelivered bool              `hcl:"not_delivered,optional"`
	Error        string            `hcl:"error,optional"` // a part of it
}

type samples struct {
	List []sample `hcl:"sample,block"`
}

func (s *sample) request() (*plugin.Request, error) {
	q := &plugin.Request{Point: plugin.Point(s.Point), ID: s.ID, Class: s.Class, Destination: s.Destination, TimeLeft: 3, Body: []byte(s.Body),
		Endpoint: s.To, Attempt: s.Attempt, Outcome: s.End, Header: fields(s.Header)}
	if s.Point == "" {
		q.Point = plugin.Intake
	}
	if !slices.Contains(plugin.Points, q.Point) {
		return nil, fmt.Errorf("sample %q: there is no point %q: write one of %v", s.Name, s.Point, plugin.Points)
	}
	if s.Left != "" {
		d, err := time.ParseDuration(s.Left)
		if err != nil {
			return nil, fmt.Errorf("sample %q: left: %w", s.Name, err)
		}
		q.TimeLeft = d.Seconds()
	}
	for _, e := range s.Endpoints {
		q.Endpoints = append(q.Endpoints, plugin.Endpoint(e))
	}
	if s.Reply != nil {
		q.Status, q.ReplyBody, q.ReplyHeader = s.Reply.Status, []byte(s.Reply.Body), map[string][]string{}
		for name, value := range s.Reply.Header {
			q.ReplyHeader[name] = []string{value}
		}
	}
	return q, nil
}

func fields(m map[string]string) (list []message.Field) {
	for name, value := range m {
		list = append(list, message.Field{Name: name, Value: value})
	}
	slices.SortFunc(list, func(a, b message.Field) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// outcome is what comes of a message once the rules have let a wish through, in the words of a sample.
type outcome struct {
	Body         string            `json:"body,omitempty"`
	Header       map[string]string `json:"header,omitempty"`
	Only         []string          `json:"only,omitempty"`
	Prefer       []string          `json:"prefer,omitempty"`
	Refused      string            `json:"refused,omitempty"`
	Wait         string            `json:"wait,omitempty"`
	NotDelivered bool              `json:"not_delivered,omitempty"`
	Error        string            `json:"error,omitempty"`
	Steps        uint64            `json:"steps,omitempty"`
	CPU          string            `json:"cpu,omitempty"`
	Says         []string          `json:"says,omitempty"`
	Counts       map[string]int    `json:"counts,omitempty"`
}

// ask has a plug-in's process answer a request, and applies the rules to the answer as the daemon does.
func ask(p *runner.TestProcess, q *plugin.Request, output int) outcome {
	r, err := p.Call(q)
	o := outcome{Body: string(q.Body), Header: map[string]string{}}
	if err != nil {
		o.Error = err.Error()
		return o
	}
	o.Steps, o.Says, o.Counts, o.CPU = r.Steps, r.Lines, r.Counts, (time.Duration(r.CPU) * time.Microsecond).String()
	header := q.Header
	switch {
	case r.Error != "":
		err = errors.New(r.Error)
	case q.Point == plugin.Intake:
		d := plugin.Draft{Endpoints: q.Endpoints, Body: q.Body, Header: q.Header}
		if err = d.Apply(r, output); err == nil {
			o.Body, header, o.Only, o.Prefer, o.Refused = string(d.Body), d.Header, d.Only, d.Prefer, d.Reason
			if d.Wait > 0 {
				o.Wait = d.Wait.String()
			}
		}
	case q.Point == plugin.Call:
		c := plugin.Content{Body: q.Body, Header: q.Header}
		if err = c.Apply(r, output); err == nil {
			o.Body, header = string(c.Body), c.Header
		}
	case q.Point == plugin.Reply:
		var after decide.Outcome
		if after, err = plugin.RestrictOutcome(decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, r); err == nil {
			o.NotDelivered = after.Result != decide.Succeeded
			if after.RetryAfter > 0 {
				o.Wait = after.RetryAfter.String()
			}
		}
	case r.RequestsChange():
		err = errors.New("after the end nothing can be changed")
	}
	if err != nil {
		o.Error = err.Error()
	}
	for _, f := range header {
		o.Header[f.Name] = f.Value
	}
	return o
}

// differ says how an outcome is not the one that is wanted.
func (w *sampleWant) differ(o outcome, s *sample) (list []string) {
	if w == nil {
		w = &sampleWant{}
	}
	is := func(what string, got, want any) {
		if g, w := fmt.Sprintf("%q", got), fmt.Sprintf("%q", want); g != w {
			list = append(list, fmt.Sprintf("%s is %s, and %s is wanted", what, g, w))
		}
	}
	if w.Error != "" || o.Error != "" {
		if w.Error == "" || !strings.Contains(o.Error, w.Error) {
			is("error", o.Error, w.Error)
		}
		return list
	}
	body, header := s.Body, s.Header
	if w.Body != nil {
		body = *w.Body
	}
	if w.Header != nil {
		header = w.Header
	}
	is("body", o.Body, body)
	is("header", fmt.Sprint(o.Header), fmt.Sprint(orEmpty(header)))
	is("only", o.Only, w.Only)
	is("prefer", o.Prefer, w.Prefer)
	is("refused", o.Refused, w.Refused)
	is("not_delivered", strconv.FormatBool(o.NotDelivered), strconv.FormatBool(w.NotDelivered))
	wait := w.Wait
	if d, err := time.ParseDuration(wait); err == nil {
		wait = d.String()
	}
	is("wait", o.Wait, wait)
	return list
}

func orEmpty(m map[string]string) map[string]string {
	if m == nil {
		return map[string]string{}
	}
	return m
}

// trial starts a plug-in as the daemon would where nothing is set for it.
func trial(file string) (*runner.TestProcess, *operator.Plugin, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	program, err := script.Compile(file, string(text)) // its messages come before those of a process
	if err != nil {
		return nil, nil, err
	}
	own, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	p := operator.DefaultPlugin()
	p.Name, p.File, p.Source, p.Points = strings.TrimSuffix(filepath.Base(file), ".star"), file, string(text), program.Points()
	t, err := runner.NewTestProcess([]string{own, pluginHostCommand}, p.Spec())
	return t, &p, err
}

type pluginTest struct {
	Files []string `arg:"" type:"existingfile" help:"Plug-ins (.star); the samples of NAME.star are in NAME.samples.hcl beside it."`
	JSON  bool     `help:"One line of JSON for each sample."`
}

func (c *pluginTest) Run(out io.Writer, errs stderr) error {
	passed, failed := 0, 0
	for _, file := range c.Files {
		name := strings.TrimSuffix(file, ".star") + ".samples.hcl"
		parser := hclparse.NewParser()
		f, diags := parser.ParseHCLFile(name)
		var all samples
		if !diags.HasErrors() {
			diags = append(diags, gohcl.DecodeBody(f.Body, nil, &all)...)
		}
		if diags.HasErrors() {
			if err := hcl.NewDiagnosticTextWriter(errs, parser.Files(), 100, false).WriteDiagnostics(diags); err != nil {
				return err
			}
			return fmt.Errorf("the samples of %s can't be used", file)
		}
		if len(all.List) == 0 {
			return fmt.Errorf(`%s has no sample: write sample "NAME" { ... }`, name)
		}
		t, p, err := trial(file)
		if err != nil {
			return err
		}
		for i := range all.List {
			s := &all.List[i]
			q, err := s.request()
			if err != nil {
				t.Close()
				return fmt.Errorf("%s: %w", name, err)
			}
			wrong := s.Want.differ(ask(t, q, p.Output), s)
			if len(wrong) == 0 {
				passed++
			} else {
				failed++
			}
			switch {
			case c.JSON:
				err = json.NewEncoder(out).Encode(map[string]any{"file": file, "sample": s.Name, "wrong": wrong})
			case len(wrong) > 0:
				_, err = fmt.Fprintf(errs, "%s: sample %q:\n  %s\n", name, s.Name, strings.Join(wrong, "\n  "))
			}
			if err != nil {
				t.Close()
				return err
			}
		}
		t.Close()
	}
	if !c.JSON {
		fmt.Fprintf(out, "%d passed, %d failed\n", passed, failed)
	}
	if failed > 0 {
		return errFound
	}
	return nil
}

type pluginRun struct {
	File        string   `arg:"" type:"existingfile" help:"A plug-in (.star)."`
	Point       string   `default:"intake" enum:"intake,call,reply,final" help:"The hook."`
	Body        string   `help:"File with the message's body; - for standard input."`
	ID          string   `default:"0000000000000001" help:"The message's id."`
	Class       string   `default:"status-update" help:"Its class."`
	Destination int      `help:"Its destination."`
	Endpoint    []string `help:"Endpoints of its destination; of a call or reply, the one that is called. Can be repeated."`
	Status      int      `default:"200" help:"Of a reply."`
	Reply       string   `type:"existingfile" help:"File with a reply's body."`
	End         string   `default:"delivered" enum:"delivered,refused,failed" help:"What became of the message."`
	JSON        bool     `help:"One line of JSON."`
}

func (c *pluginRun) Run(out io.Writer, errs stderr) error {
	q := &plugin.Request{Point: plugin.Point(c.Point), ID: c.ID, Class: c.Class, Destination: c.Destination, TimeLeft: 3, Status: c.Status, Outcome: c.End}
	var err error
	switch c.Body {
	case "":
	case "-":
		q.Body, err = io.ReadAll(io.LimitReader(os.Stdin, plugin.MaxBody+1))
	default:
		q.Body, err = os.ReadFile(c.Body)
	}
	if err == nil && c.Reply != "" {
		q.ReplyBody, err = os.ReadFile(c.Reply)
		q.ReplyBody = q.ReplyBody[:min(len(q.ReplyBody), plugin.MaxReplyBody)]
	}
	if err != nil {
		return err
	}
	if len(q.Body) > plugin.MaxBody {
		return fmt.Errorf("the body has more than %d bytes, which no message has", plugin.MaxBody)
	}
	for i, name := range c.Endpoint {
		if i == 0 {
			q.Endpoint = name
		}
		q.Endpoints = append(q.Endpoints, plugin.Endpoint{Name: name})
	}
	t, p, err := trial(c.File)
	if err != nil {
		return err
	}
	defer t.Close()
	if !slices.Contains(p.Points, q.Point) {
		return fmt.Errorf("%s has no hook %s; it has %v", c.File, q.Point, p.Points)
	}
	o := ask(t, q, p.Output)
	if c.JSON {
		err = json.NewEncoder(out).Encode(o)
	} else {
		err = o.show(out, q)
	}
	if err == nil && o.Error != "" {
		err = errFound
	}
	return err
}

// show writes a trace of what a hook has changed.
func (o *outcome) show(out io.Writer, q *plugin.Request) error {
	var b bytes.Buffer
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, "%-14s %s\n", name+":", value)
		}
	}
	line("error", o.Error)
	line("refused", o.Refused)
	line("wait", o.Wait)
	line("only", strings.Join(o.Only, ", "))
	line("prefer", strings.Join(o.Prefer, ", "))
	if o.NotDelivered {
		line("not delivered", "yes")
	}
	if o.Body != string(q.Body) {
		line("body before", fmt.Sprintf("%d bytes %.300q", len(q.Body), q.Body))
		line("body after", fmt.Sprintf("%d bytes %.300q", len(o.Body), o.Body))
	}
	for _, f := range fields(o.Header) {
		line("header", f.Name+": "+f.Value)
	}
	for _, s := range o.Says {
		line("says", s)
	}
	for name, n := range o.Counts {
		line("counts", fmt.Sprintf("%s %d", name, n))
	}
	if b.Len() == 0 {
		fmt.Fprintln(&b, "nothing is changed")
	}
	line("used", fmt.Sprintf("%d steps, %s of CPU", o.Steps, o.CPU))
	_, err := out.Write(b.Bytes())
	return err
}

type pluginStatus struct {
	File string `arg:"" type:"existingfile" help:"The file that plugins { status } names in the operators' file."`
	JSON bool   `help:"The file as it is."`
}

func (c *pluginStatus) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = out.Write(text)
		return err
	}
	var all struct {
		Plugins []runner.Status `json:"plugins"`
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("%s is no status of plug-ins: %w", c.File, err)
	}
	for _, s := range all.Plugins {
		fmt.Fprintf(out, "%s %s: circuit %s, %d processes, %d calls, %d changed, %d failed (%d costly), %d skipped, %d restarts, %.2f s of CPU\n",
			s.Name, s.Digest, s.Circuit, s.Processes, s.Calls, s.Changed, s.Failed, s.Costly, s.Skipped, s.Restarts, s.CPU)
		for _, e := range s.Errors {
			fmt.Fprintf(out, "  %s %s %s: %s\n", e.At.Format(time.RFC3339), e.Point, e.ID, e.Error)
		}
	}
	return nil
}
