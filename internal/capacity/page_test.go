package capacity

import (
	"os"
	"strings"
	"testing"
)

const (
	measuredDir = "../../experiments/capacity/measured"
	pageFile    = "../../docs/CAPACITY.md"
)

// TestPageIsCurrent fails where page, series and program differ.
func TestPageIsCurrent(t *testing.T) {
	model, err := Load(planFile, measuredDir)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	filled, err := FillPage(string(page), model.Sections())
	if err != nil {
		t.Fatal(err)
	}
	if filled != string(page) {
		t.Errorf("docs/CAPACITY.md is not what plan and series come to: run scaleroute-lab capacity --page docs/CAPACITY.md --write\n%s", firstDifference(string(page), filled))
	}
}

func firstDifference(have, want string) string {
	a, b := strings.Split(have, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return "have: " + a[i] + "\nwant: " + b[i]
		}
	}
	return "one is longer than the other"
}

func TestFillPage(t *testing.T) {
	texts := map[string]string{"a": "| 1 |\n", "b": "two"}
	page := "head\n<!-- capacity: a -->\nold\n<!-- capacity: end -->\nbetween\n<!-- capacity: b --><!-- capacity: end -->\ntail\n"
	filled, err := FillPage(page, texts)
	if err != nil {
		t.Fatal(err)
	}
	want := "head\n<!-- capacity: a -->\n\n| 1 |\n\n<!-- capacity: end -->\nbetween\n<!-- capacity: b -->\n\ntwo\n\n<!-- capacity: end -->\ntail\n"
	if filled != want {
		t.Errorf("got %q, want %q", filled, want)
	}
	if again, err := FillPage(filled, texts); err != nil || again != filled {
		t.Errorf("filled twice: %q, %v", again, err)
	}
	for page, want := range map[string]string{
		"<!-- capacity: a -->\n":                                        "its end is missing",
		"<!-- capacity: c --><!-- capacity: end -->":                    "there is no such table",
		"<!-- capacity: a --><!-- capacity: end -->":                    "there is no place for b",
		strings.Repeat("<!-- capacity: a --><!-- capacity: end -->", 2): "has its place already",
	} {
		if _, err := FillPage(page, texts); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v does not say %q", page, err, want)
		}
	}
}
