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
	Check  pluginCheck  `cmd:"" help:"Compile plug-ins and report their errors."`
	Test   pluginTest   `cmd:"" help:"Run plug-ins on sample messages and compare the outcomes with the expected ones; exit 1 if any differs."`
	Run    pluginRun    `cmd:"" help:"Run one hook on one message and show what it changes."`
	Status pluginStatus `cmd:"" help:"Show the state and counters of the plug-ins of a running daemon."`
}

// pluginHostCommand is the argument that makes this program the process in which a plug-in runs, with the same resource limits as in the daemon.
const pluginHostCommand = "plugin-host"

type pluginCheck struct {
	Files []string `arg:"" type:"existingfile" help:"Plug-in files (.star)."`
	JSON  bool     `help:"Print one line of JSON for each file."`
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
			found, line["error"] = errFindings, err.Error()
		} else {
			line["points"] = program.Points()
		}
		switch {
		case c.JSON:
			err = json.NewEncoder(out).Encode(line)
		case err != nil:
			_, err = fmt.Fprintf(errs, "%v\n", err)
		default:
			_, err = fmt.Fprintf(out, "%s: ok; hooks: %v\n", file, program.Points())
		}
		if err != nil {
			return err
		}
	}
	return found
}

// sample is one message and its expected outcome, as written in a samples file.
type sample struct {
	Name        string             `hcl:"name,label"`
	Point       string             `hcl:"point,optional"` // intake if it is omitted
	ID          string             `hcl:"id,optional"`
	Class       string             `hcl:"class,optional"`
	Destination int                `hcl:"destination,optional"`
	Left        string             `hcl:"left,optional"`
	Body        string             `hcl:"body,optional"`
	Header      map[string]string  `hcl:"header,optional"`
	Endpoints   []sampleEndpoint   `hcl:"endpoint,block"`
	To          string             `hcl:"to,optional"` // the called endpoint, for a call or reply
	Attempt     int                `hcl:"attempt,optional"`
	Reply       *sampleReply       `hcl:"reply,block"`
	End         string             `hcl:"end,optional"`
	Expected    *sampleExpectation `hcl:"want,block"`
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

// sampleExpectation is the complete expected outcome of a message: an effect that is omitted must not occur.
type sampleExpectation struct {
	Body         *string           `hcl:"body,optional"` // unchanged if it is omitted
	Header       map[string]string `hcl:"header,optional"`
	Only         []string          `hcl:"only,optional"`
	Prefer       []string          `hcl:"prefer,optional"`
	Refused      string            `hcl:"refused,optional"` // the reason of the refusal
	Wait         string            `hcl:"wait,optional"`
	NotDelivered bool              `hcl:"not_delivered,optional"`
	Error        string            `hcl:"error,optional"` // a part of the error's text
}

type sampleFile struct {
	List []sample `hcl:"sample,block"`
}

func (s *sample) request() (*plugin.Request, error) {
	q := &plugin.Request{Point: plugin.Point(s.Point), ID: s.ID, Class: s.Class, Destination: s.Destination, TimeLeft: 3, Body: []byte(s.Body),
		Endpoint: s.To, Attempt: s.Attempt, Outcome: s.End, Header: headerFields(s.Header)}
	if s.Point == "" {
		q.Point = plugin.Intake
	}
	if !slices.Contains(plugin.Points, q.Point) {
		return nil, fmt.Errorf("sample %q: unknown point %q: use one of %v", s.Name, s.Point, plugin.Points)
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

func headerFields(m map[string]string) (list []message.Field) {
	for name, value := range m {
		list = append(list, message.Field{Name: name, Value: value})
	}
	slices.SortFunc(list, func(a, b message.Field) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// outcome is the effect of a hook on a message after the daemon's checks, with the names that a sample uses.
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
	LogLines     []string          `json:"says,omitempty"`
	Counts       map[string]int    `json:"counts,omitempty"`
}

// runHook sends a request to a plug-in's process, and checks and applies the answer as the daemon does.
func runHook(p *runner.TestProcess, q *plugin.Request, output int) outcome {
	r, err := p.Call(q)
	o := outcome{Body: string(q.Body), Header: map[string]string{}}
	if err != nil {
		o.Error = err.Error()
		return o
	}
	o.Steps, o.LogLines, o.Counts, o.CPU = r.Steps, r.Lines, r.Counts, (time.Duration(r.CPU) * time.Microsecond).String()
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
		err = errors.New("a hook that runs after the completion of the message can't change anything")
	}
	if err != nil {
		o.Error = err.Error()
	}
	for _, f := range header {
		o.Header[f.Name] = f.Value
	}
	return o
}

// differences describes each difference between an outcome and the expected one.
func (w *sampleExpectation) differences(o outcome, s *sample) (list []string) {
	if w == nil {
		w = &sampleExpectation{}
	}
	compare := func(what string, got, want any) {
		if g, w := fmt.Sprintf("%q", got), fmt.Sprintf("%q", want); g != w {
			list = append(list, fmt.Sprintf("%s is %s, expected %s", what, g, w))
		}
	}
	if w.Error != "" || o.Error != "" {
		if w.Error == "" || !strings.Contains(o.Error, w.Error) {
			compare("error", o.Error, w.Error)
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
	compare("body", o.Body, body)
	compare("header", fmt.Sprint(o.Header), fmt.Sprint(orEmpty(header)))
	compare("only", o.Only, w.Only)
	compare("prefer", o.Prefer, w.Prefer)
	compare("refused", o.Refused, w.Refused)
	compare("not_delivered", strconv.FormatBool(o.NotDelivered), strconv.FormatBool(w.NotDelivered))
	wait := w.Wait
	if d, err := time.ParseDuration(wait); err == nil {
		wait = d.String()
	}
	compare("wait", o.Wait, wait)
	return list
}

func orEmpty(m map[string]string) map[string]string {
	if m == nil {
		return map[string]string{}
	}
	return m
}

// startTrial starts a plug-in with the settings that the daemon uses by default.
func startTrial(file string) (*runner.TestProcess, *operator.Plugin, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	program, err := script.Compile(file, string(text)) // so that compile errors are reported before errors of the plug-in's process
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
	Files []string `arg:"" type:"existingfile" help:"Plug-in files (.star). The samples of NAME.star are in NAME.samples.hcl in the same folder."`
	JSON  bool     `help:"Print one line of JSON for each sample."`
}

func (c *pluginTest) Run(out io.Writer, errs stderr) error {
	passed, failed := 0, 0
	for _, file := range c.Files {
		name := strings.TrimSuffix(file, ".star") + ".samples.hcl"
		parser := hclparse.NewParser()
		f, diags := parser.ParseHCLFile(name)
		var all sampleFile
		if !diags.HasErrors() {
			diags = append(diags, gohcl.DecodeBody(f.Body, nil, &all)...)
		}
		if diags.HasErrors() {
			if err := hcl.NewDiagnosticTextWriter(errs, parser.Files(), 100, false).WriteDiagnostics(diags); err != nil {
				return err
			}
			return fmt.Errorf("the samples of %s are invalid", file)
		}
		if len(all.List) == 0 {
			return fmt.Errorf(`%s has no samples: add a block sample "NAME" { ... }`, name)
		}
		t, p, err := startTrial(file)
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
			wrong := s.Expected.differences(runHook(t, q, p.Output), s)
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
		return errFindings
	}
	return nil
}

type pluginRun struct {
	File        string   `arg:"" type:"existingfile" help:"A plug-in file (.star)."`
	Point       string   `default:"intake" enum:"intake,call,reply,final" help:"The hook to run."`
	Body        string   `help:"File with the message's body; - reads standard input."`
	ID          string   `default:"0000000000000001" help:"The message's ID."`
	Class       string   `default:"status-update" help:"The message's class."`
	Destination int      `help:"The message's destination."`
	Endpoint    []string `help:"Endpoint of the destination; for a call or reply, the first one is the called one. Can be repeated."`
	Status      int      `default:"200" help:"Status of the reply."`
	Reply       string   `type:"existingfile" help:"File with the reply's body."`
	End         string   `default:"delivered" enum:"delivered,refused,failed" help:"How the message was completed."`
	JSON        bool     `help:"Print one line of JSON."`
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
		return fmt.Errorf("the body has more than %d bytes, the limit for messages", plugin.MaxBody)
	}
	for i, name := range c.Endpoint {
		if i == 0 {
			q.Endpoint = name
		}
		q.Endpoints = append(q.Endpoints, plugin.Endpoint{Name: name})
	}
	t, p, err := startTrial(c.File)
	if err != nil {
		return err
	}
	defer t.Close()
	if !slices.Contains(p.Points, q.Point) {
		return fmt.Errorf("%s has no hook %s; it has %v", c.File, q.Point, p.Points)
	}
	o := runHook(t, q, p.Output)
	if c.JSON {
		err = json.NewEncoder(out).Encode(o)
	} else {
		err = o.writeTrace(out, q)
	}
	if err == nil && o.Error != "" {
		err = errFindings
	}
	return err
}

// writeTrace prints each change that a hook made, and the resources that it used.
func (o *outcome) writeTrace(out io.Writer, q *plugin.Request) error {
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
	for _, f := range headerFields(o.Header) {
		line("header", f.Name+": "+f.Value)
	}
	for _, s := range o.LogLines {
		line("says", s)
	}
	for name, n := range o.Counts {
		line("counts", fmt.Sprintf("%s %d", name, n))
	}
	if b.Len() == 0 {
		fmt.Fprintln(&b, "the hook changed nothing")
	}
	line("used", fmt.Sprintf("%d steps, %s of CPU", o.Steps, o.CPU))
	_, err := out.Write(b.Bytes())
	return err
}

type pluginStatus struct {
	File string `arg:"" type:"existingfile" help:"The status file, which plugins { status } in the operators' file names."`
	JSON bool   `help:"Print the file unchanged."`
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
		return fmt.Errorf("%s is not a plug-in status file: %w", c.File, err)
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
