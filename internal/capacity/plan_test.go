package capacity

import (
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const planFile = "../../experiments/capacity/plan.hcl"

func loadPlan(t *testing.T) *Plan {
	t.Helper()
	plan, err := LoadPlan(planFile)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestPlan(t *testing.T) {
	plan := loadPlan(t)
	near(t, "events at a forwarder", plan.EventsPerForwarder(), 144, 0.01)
	near(t, "forwarders in a zone", plan.ForwardersInZone(), 523, 0)
	near(t, "owned destinations", plan.PartDestinations(), 970, 0.01)
	for _, variable := range variables {
		if size, known := plan.Size(variable); !known || !(size > 0) {
			t.Errorf("%s: the plan has no size", variable)
		}
	}
}

func TestPlanErrors(t *testing.T) {
	text, err := os.ReadFile(planFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"forwarders                    = 6800", "forwarders = -1", "plan.hcl:2: forwarders: -1: write a number above 0"},
		{"partitions              = 2097152", "partitions = 65535", ": partitions: a power of two"},
		{"control_servers_alive      = 3", "control_servers_alive = 6", ": control_servers_alive: no more than control_servers"},
		{"destinations_down_percent     = 1.5", "destinations_down_percent = 150", "plan.hcl:5: destinations_down_percent: a share"},
		{"zones                         = 13", "zones = 2", "plan.hcl:8: zones: each region"},
		{"zones                         = 13", "zones = \"many\"", "plan.hcl:8,"},
		{"zones                         = 13", "", "zones"},
	} {
		path := filepath.Join(t.TempDir(), "plan.hcl")
		changed := strings.Replace(string(text), c.old, c.new, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the plan", c.old)
		}
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadPlan(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v does not say %q", c.new, err, c.want)
		}
	}
}

// TestLimitsAreTheProgram holds the plan's copies of the program's bounds against its code.
func TestLimitsAreTheProgram(t *testing.T) {
	limits := loadPlan(t).Limits
	for _, c := range []struct {
		file, name string
		want       float64
	}{{"../straggler/straggler.go", "mostMembers", limits.Members}, {"../control/options.go", "maxMembers", limits.ControlMembers}, {"../agent/agent.go", "maxListBytes", limits.ListAnswerBytes}} {
		if got := constantIn(t, c.file, c.name); got != c.want {
			t.Errorf("%s: %s is %v, and the plan's limits say %v", c.file, c.name, got, c.want)
		}
	}
}

// constantIn evaluates a constant of a file.
func constantIn(t *testing.T, file, name string) (number float64) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && spec.Names[0].Name == name && len(spec.Values) == 1 {
			value, err := types.Eval(token.NewFileSet(), nil, token.NoPos, types.ExprString(spec.Values[0]))
			if err != nil {
				t.Fatal(err)
			}
			number, _ = constant.Float64Val(value.Value)
		}
		return true
	})
	return number
}
