// Package hostile generates malicious or faulty plug-ins, for tests and the load test tool. The same seed always gives the same
// plug-in.
package hostile

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// faultyBodies are hook bodies with faults that a generator of random statements would rarely produce.
var faultyBodies = []string{
	"while True:\n        pass",
	"x = \"x\"\n    for i in range(60):\n        x = x + x\n    return change(body = x)", // more than a gigabyte
	"x = 3\n    for i in range(60):\n        x = x * x",                                  // one step that never ends
	"return change(body = \"y\" * (1 << 29))",
	"x = [0]\n    while True:\n        x = x + x",
	"x = []\n    for i in range(300000):\n        x = [x]\n    return change(body = json.encode(x))",
	"return hook(message)", // recursion is not permitted
	"return change(only = [\"elsewhere\"])",
	"return change(only = [])",
	"return change(header = {\"Req-Id\": \"0\", \"Content-Length\": \"0\"})",
	"return change(header = {\"X\": \"a\\r\\nReq-Id: 0\"})",
	"return change(body = base64.decode(\"//4=\"))",
	"return change(body = \"z\" * 65537)",
	"return 7",
	"fail(\"as it pleases\")",
	"return not_delivered(wait = \"1000h\")",
	"return wait(\"5m\")",
	"return refuse(\"no\\r\\n+OK\\r\\n\")",
	"return refuse(\"later\", retry_after = \"1ms\")",
	"json.decode(\"[\" * 65536)",
	"for i in range(100000):\n        log(\"l\" * 1000)\n        count(str(i))",
	"return re.replace(\"\", message.id * 1000, \"w\" * 1000)",
	"re.find(\"(a*)*b\", \"a\" * 60000)",
	"return change(only = [e.name for e in getattr(message, \"endpoints\", [])][:int(hash.sha256(message.id)[:1], 16) % 4])",
	"return change(prefer = [e.name for e in getattr(message, \"endpoints\", [])])",
}

var hooks = []struct{ name, params string }{{"intake", "message"}, {"reply", "message, reply"}, {"final", "message, end"}, {"call", "message"}}

// Source returns the source of a plug-in. If call is false it has no call hook, which not every class of messages permits.
func Source(seed uint64, call bool) string {
	rng := rand.New(rand.NewPCG(seed, 0x9053))
	n := len(hooks)
	if !call {
		n--
	}
	var b strings.Builder
	for i, h := range hooks[:n] {
		if i > 0 && rng.IntN(2) == 0 {
			continue
		}
		fmt.Fprintf(&b, "def %s(%s):\n    hook = %s\n    ", h.name, h.params, h.name)
		if rng.IntN(2) == 0 {
			b.WriteString(faultyBodies[rng.IntN(len(faultyBodies))])
		} else {
			writeStatements(&b, rng, 1, 1+rng.IntN(4))
		}
		b.WriteString("\n\n")
	}
	return b.String()
}

var simpleExpressions = []string{"message.id", "1", "0", "-1", "\"x\"", "\"\"", "[]", "{}", "None", "True", "1.5", "message.class_name", "message.destination",
	"x", "y", "z", "json", "len", "(1, 2)", "base64.decode(\"//4=\")"}

func randomExpression(rng *rand.Rand, depth int) string {
	if depth > 3 || rng.IntN(2) == 0 {
		return simpleExpressions[rng.IntN(len(simpleExpressions))]
	}
	a, b := randomExpression(rng, depth+1), randomExpression(rng, depth+1)
	switch rng.IntN(10) {
	case 0:
		return "(" + a + " + " + b + ")"
	case 1:
		return "(" + a + " * " + b + ")"
	case 2:
		return "[" + a + ", " + b + "]"
	case 3:
		return "{" + a + ": " + b + "}"
	case 4:
		return "str(" + a + ")"
	case 5:
		return "json.encode(" + a + ")"
	case 6:
		return a + "[" + b + "]"
	case 7:
		return "(" + a + " if " + b + " else 0)"
	case 8:
		return "(" + a + " % " + b + ")"
	}
	return "range(" + a + ")"
}

func writeStatements(b *strings.Builder, rng *rand.Rand, depth, n int) {
	indent := "\n" + strings.Repeat("    ", depth)
	b.WriteString("x = message.id" + indent + "y = 0" + indent + "z = []")
	for range n {
		b.WriteString(indent)
		name := []string{"x", "y", "z"}[rng.IntN(3)]
		switch v := randomExpression(rng, 0); rng.IntN(9) {
		case 0, 1, 2:
			b.WriteString(name + " = " + v)
		case 3:
			b.WriteString("for y in range(" + fmt.Sprint(rng.IntN(2000)) + "):" + indent + "    x = " + v)
		case 4:
			b.WriteString("if " + v + ":" + indent + "    return change(body = str(" + name + "))")
		case 5:
			b.WriteString("log(" + v + ")")
		case 6:
			b.WriteString("return change(header = {\"X-Y\": str(" + v + ")}, prefer = " + v + ")")
		case 7:
			b.WriteString("return refuse(str(" + v + "), retry_after = \"20ms\")")
		case 8:
			b.WriteString("z.append(" + v + ")")
		}
	}
}
