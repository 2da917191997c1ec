package capacity

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func exampleSeries() *Series {
	return &Series{Name: "forwarder-state", Mechanism: WholeList, Role: Forwarder, Resource: State, Unit: "bytes", Variable: Destinations, Process: "real",
		Held: map[Variable]float64{Members: 1}, Points: []Point{{X: 2000, Y: 31e6, Seed: 1}, {X: 6000, Y: 41e6, Seed: 1}},
		Command: "scaleroute-lab capacity measure forwarder-state", Commit: "abc", Machine: "8 cores", Date: "2026-12-02"}
}

func TestSeriesRoundTrip(t *testing.T) {
	dir := t.TempDir()
	want := exampleSeries()
	if err := want.Write(dir); err != nil {
		t.Fatal(err)
	}
	got, err := ReadMeasured(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

func TestSeriesErrors(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Series)
		want   []string
	}{
		"role":        {func(s *Series) { s.Role = "porter" }, []string{`role: "porter"`, "forwarder"}},
		"unit":        {func(s *Series) { s.Unit = "MB" }, []string{`unit: "MB"`, "state is in bytes"}},
		"no points":   {func(s *Series) { s.Points = nil }, []string{"points: there are none", "measure at least one"}},
		"negative":    {func(s *Series) { s.Points[1].Y = -1 }, []string{"points[1].y: -1", "0 or more"}},
		"command":     {func(s *Series) { s.Command = " " }, []string{"command: it is missing"}},
		"date":        {func(s *Series) { s.Date = "today" }, []string{`date: "today"`, "2006-01-02"}},
		"held":        {func(s *Series) { s.Held = map[Variable]float64{Destinations: 5} }, []string{"held.destinations: 5", "not varied"}},
		"all at once": {func(s *Series) { s.Commit, s.Machine = "", "" }, []string{"commit: it is missing", "machine: it is missing"}},
	} {
		s := exampleSeries()
		c.change(s)
		dir := t.TempDir()
		err := s.Write(dir)
		if err == nil {
			t.Errorf("%s: it is written", name)
			continue
		}
		for _, text := range c.want {
			if !strings.Contains(err.Error(), text) {
				t.Errorf("%s: %q does not say %q", name, err, text)
			}
		}
		if files, _ := os.ReadDir(dir); len(files) != 0 {
			t.Errorf("%s: a wrong series has left a file", name)
		}
	}
}

func TestSeriesFileErrors(t *testing.T) {
	for text, want := range map[string]string{
		"{\n  \"role\": \"forwarder\",\n  \"points\": 5\n}": "odd.json:3: ",
		"{\n  \"rôle\": \"forwarder\"\n}":                   "odd.json:2: ",
		"{":                                                 "odd.json:1: ",
		"{\"role\": \"forwarder\"}":                         "odd.json: mechanism: ",
	} {
		path := filepath.Join(t.TempDir(), "odd.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSeries(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v does not name %q", text, err, want)
		}
	}
}
