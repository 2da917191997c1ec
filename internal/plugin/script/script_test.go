package script

import (
	"strings"
	"testing"

	"go.starlark.net/starlark"

	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/hostile"
)

func run(t *testing.T, source string, q *plugin.Request) *plugin.Result {
	t.Helper()
	p, err := Compile("p.star", source)
	if err != nil {
		t.Fatal(err)
	}
	return p.Run(q, 100_000)
}

// TestErrorsReportPosition checks that an error in a file, or in what a hook returns, names its position or what to write instead.
func TestErrorsReportPosition(t *testing.T) {
	for _, c := range []struct{ source, want string }{
		{"def intake(message)\n    pass\n", "p.star:2:1: got newline, want ':'"},
		{"\nx = y\n", "p.star:2:5: undefined: y"},
		{"x = 1\n", "define intake(message)"},
		{"def intake():\n    pass\n", "write def intake(message)"},
		{"def reply(message):\n    pass\n", "write def reply(message, reply)"},
		{"intake = 3\n", "must be a function"},
		{"load(\"other.star\", \"x\")\n", "load"},
		{"x = 1 // 0\n", "p.star:1:"},
		{"for i in range(10000000):\n    pass\ndef intake(message):\n    pass\n", "too many steps"},
		{strings.Repeat("#", MaxSource+1), "at most"},
	} {
		if _, err := Compile("p.star", c.source); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60q: error %v, want %q in it", c.source, err, c.want)
		}
	}
	for _, c := range []struct {
		body, want string
		costly     bool
	}{
		{"return 7", "returned a int; return change(...)", false},
		{"return change(body = 7)", "p.star:2:18: in intake: change: body is a int", false},
		{"return change(only = [])", "refuse the message", false},
		{"return change(only = [1])", "message.endpoints[0].name", false},
		{"return refuse(\"r\", retry_after = 3)", `write "3s" for seconds or "3ms"`, false},
		{"return refuse(\"r\", retry_after = \"3\")", "is no time", false},
		{"return wait(\"6m\")", "at most 5m0s", false},
		{"return intake(message)", "called recursively", false},
		{"fail(\"why\")", "why", false},
		{"message.body = \"\"", "can't assign", false},
		{"json.decode(\"[\" * 1000)", "nested more than 200 deep", false},
		{"while True:\n        pass", "too many steps", true},
		{"for i in range(1000):\n        hash.sha256(\"x\" * 60000)", "too many steps", true},
		{"for i in range(1000):\n        re.matches(\"(a|b)*c\", \"a\" * 60000)", "too many steps", true},
		{"re.find(\"(\", \"\")", "missing closing", false},
	} {
		r := run(t, "def intake(message):\n    "+c.body+"\n", &plugin.Request{Point: plugin.Intake})
		if !strings.Contains(r.Error, c.want) || r.Costly != c.costly {
			t.Errorf("%s: error %q, costly %v; want %q in it", c.body, r.Error, r.Costly, c.want)
		}
	}
}

// TestModules checks one or more expressions for each function of the modules, and the attributes of a message.
func TestModules(t *testing.T) {
	for _, c := range []struct{ expr, want string }{
		{`json.encode(json.decode('{"b":[1,2.5,null],"a":"ä"}'))`, `{"a":"ä","b":[1,2.5,null]}`},
		{`str(json.decode("no", None))`, "None"},
		{`str(seconds("1m30s"))`, "90.0"},
		{`str(re.find("([a-z]+)-([0-9]+)", "x tartu-12"))`, `["tartu-12", "tartu", "12"]`},
		{`re.replace("[0-9]+", "a1b22", "#")`, "a#b#"},
		{`str(re.matches("^a", "ba"))`, "False"},
		{`hash.sha256("")[:8]`, "e3b0c442"},
		{`hash.hmac_sha256("key", "The quick brown fox jumps over the lazy dog")[:8]`, "f7bc83f4"},
		{`base64.decode(base64.encode(base64.decode("/wBh")))`, "\xff\x00a"},
		{`form.encode(form.decode("b=2&a=1&a=%20"))`, "a=1&a=+&b=2"},
		{`form.encode({"n": "v", "l": ["1", "2"]})`, "l=1&l=2&n=v"},
		{`str(mime.field("Subject: a\r\n b\r\nTo: x\r\n\r\nbody", "subject"))`, "a b"},
		{`str(mime.field("To: x\n\nSubject: in the body", "Subject"))`, "None"},
		{`mime.set_field("Subject: a\r\n b\r\nTo: x\r\n\r\nbody", "SUBJECT", "c")`, "To: x\r\nSUBJECT: c\r\n\r\nbody"},
		{`mime.remove_field("A: 1\nB: 2\n  more\nC: 3\n\nB: 4", "b")`, "A: 1\nC: 3\n\nB: 4"},
		{`message.body + message.class_name + str(message.destination) + message.endpoints[0].name + str(message.left)`, "bnote7s-13.0"},
		{`"%s" % message.header`, `{"X-A": "1"}`},
	} {
		q := &plugin.Request{Point: plugin.Intake, Class: "note", Destination: 7, Body: []byte("b"), TimeLeft: 3, Endpoints: []plugin.Endpoint{{Name: "s-1"}}}
		q.Header = append(q.Header, struct {
			Name  string `json:"name"`
			Value string `json:"value"`
		}{"X-A", "1"})
		r := run(t, "def intake(message):\n    return change(body = "+c.expr+")\n", q)
		if r.Error != "" || string(r.Body) != c.want {
			t.Errorf("%s: body %q, error %s; want %q", c.expr, r.Body, r.Error, c.want)
		}
	}
}

// TestBuiltinPanic checks that a panic in a built-in function fails only the call, with an error that says so.
func TestBuiltinPanic(t *testing.T) {
	p, err := Compile("p.star", "def intake(message):\n    log(\"\")\n")
	if err != nil {
		t.Fatal(err)
	}
	p.predeclared["log"] = starlark.NewBuiltin("log", func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error) {
		panic("ours")
	})
	if r := p.Run(&plugin.Request{Point: plugin.Intake}, 1000); !r.Costly || !strings.Contains(r.Error, "panicked: ours") {
		t.Errorf("%+v", r)
	}
}

// TestLogAndCounterLimits checks that the log lines and counters of one call are limited.
func TestLogAndCounterLimits(t *testing.T) {
	r := run(t, "def intake(message):\n    for i in range(1000):\n        log(\"\\n\" * 1000)\n        if i < 32:\n            count(str(i), 1 << 40)\n", &plugin.Request{Point: plugin.Intake})
	if r.Error != "" || len(r.Lines) != plugin.MaxLogLines || len(r.Lines[0]) > plugin.MaxLogLine || strings.Contains(r.Lines[0], "\n") || len(r.Counts) != 32 || r.Counts["0"] > 1<<30 {
		t.Errorf("%d lines, %d counters: %s", len(r.Lines), len(r.Counts), r.Error)
	}
}

// FuzzPlugin checks that any file either fails to compile or runs to its end within its steps. Hostile ones that allocate without
// limit are left out here and run in separate processes only (package runner).
func FuzzPlugin(f *testing.F) {
	for seed := range uint64(400) {
		f.Add(hostile.Source(seed, true), "body")
	}
	f.Add("def call(message):\n    return change(body = message.body[::-1])\n", "\xff\x00")
	f.Fuzz(func(t *testing.T, source, body string) {
		for _, expression := range []string{"x + x", "x * x", "<<", "range(300000)", "* 65", "* 1000", "* 6", "*"} {
			if strings.Contains(source, expression) {
				return
			}
		}
		p, err := Compile("p.star", source)
		if err != nil {
			return
		}
		for _, point := range p.Points() {
			r := p.Run(&plugin.Request{Point: point, ID: "id", Body: []byte(body), Outcome: "failed"}, 20_000)
			if r.Steps > 20_000+1<<20 {
				t.Errorf("%d steps", r.Steps)
			}
			if (plugin.SanitizeLine(r.Error, 1<<20) != r.Error) || r.Error != "" && r.RequestsChange() {
				t.Errorf("%+v", r)
			}
		}
	})
}
