package operator

import (
	"slices"
	"strings"
	"testing"

	"scaleroute/internal/route"
)

func withControl(change func(*Control)) *Config {
	c, s := Default(), DefaultControl()
	s.Servers = []string{"10.0.0.4:7400", "control.example.org:7400"}
	if change != nil {
		change(&s)
	}
	c.Control = &s
	return c
}

// TestControlCheck checks that Check reports each invalid field of a control block under its key.
func TestControlCheck(t *testing.T) {
	if list := withControl(nil).Check(); len(list) > 0 {
		t.Fatal(list)
	}
	for key, invalid := range map[string][]func(*Control){
		"control.servers": {func(s *Control) { s.Servers = nil }, func(s *Control) { s.Servers = []string{"10.0.0.4"} }, func(s *Control) { s.Servers = []string{"http://a:1"} },
			func(s *Control) { s.Servers = []string{":7400"} }, func(s *Control) { s.Servers = []string{"a:1", "a:1"} }, func(s *Control) { s.Servers = make([]string, 17) }},
		"control.partitions":   {func(s *Control) { s.Partitions = 1000 }, func(s *Control) { s.Partitions = 0 }},
		"control.replicas":     {func(s *Control) { s.Replicas = 0 }, func(s *Control) { s.Replicas = 99 }},
		"control.fetched":      {func(s *Control) { s.MaxFetched = 0 }, func(s *Control) { s.MaxFetched = 257 }},
		"control.lookup_bytes": {func(s *Control) { s.LookupBytesPerSecond = 499 }, func(s *Control) { s.LookupBytesPerSecond = -1 }},
	} {
		for i, change := range invalid {
			list := withControl(change).Check()
			if !slices.ContainsFunc(list, func(p Problem) bool { return p.Key == key && p.Remedy != "" }) {
				t.Errorf("no finding with a remedy for %s, case %d: %v", key, i, list)
			}
		}
	}
	c := withControl(nil)
	c.Fleet = &Fleet{Gossip: &Gossip{Listen: "10.0.0.4:7946"}}
	if list := c.Check(); len(list) != 1 || list[0].Key != "control" {
		t.Errorf("findings with gossip: %v, want one for control", list)
	}
}

// TestControlInDiffAndExplain checks that Diff reports each changed key, and that Explain names the partition.
func TestControlInDiffAndExplain(t *testing.T) {
	if d := Diff(withControl(nil), withControl(nil)); len(d) > 0 {
		t.Errorf("diff of equal blocks: %+v", d)
	}
	d := Diff(withControl(nil), withControl(func(s *Control) {
		s.Servers, s.Partitions, s.Replicas, s.MaxFetched, s.LookupBytesPerSecond = s.Servers[:1], 4, 2, 1, 600
	}))
	if len(d) != 5 {
		t.Errorf("got %+v, want five changes", d)
	}
	if d := Diff(Default(), withControl(nil)); len(d) != 6 || d[0].Old != "the whole list" {
		t.Errorf("got %+v, want six changes, the first from the whole list", d)
	}
	list, err := withControl(nil).Explain(&route.Message{Class: "x", Destination: 7})
	if err != nil || !slices.ContainsFunc(list, func(c Change) bool { return c.Key == "control" && strings.Contains(c.New, "of 2097152") }) {
		t.Errorf("the partition is missing: %+v %v", list, err)
	}
}
