package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/config"
	"scaleroute/internal/decide"
)

func configOf(t *testing.T, d *Directory) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := writeConfig(file, "simulated", d.Address(), 10, 1); err != nil {
		t.Fatal(err)
	}
	return file
}

func settingsOf(t *testing.T, d *Directory) decide.Settings {
	t.Helper()
	c, err := config.ReadFile(configOf(t, d))
	if err != nil {
		t.Fatal(err)
	}
	return c.Settings
}

// TestHost: nodes are started, measured and stopped over the pipes of a host, and a request that can't be carried out has an error for its answer.
func TestHost(t *testing.T) {
	d := newDirectory(t, 30)
	requests, in := io.Pipe()
	out, answers := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- Host(requests, answers)
		answers.Close()
	}()
	lines := bufio.NewScanner(out)
	ask := func(r Request) (a Answer) {
		t.Helper()
		if err := json.NewEncoder(in).Encode(r); err != nil {
			t.Fatal(err)
		}
		if !lines.Scan() {
			t.Fatal(lines.Err())
		}
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	start := &Start{Count: 5, Mechanism: WholeList, Addresses: []string{d.Address()}, Config: configOf(t, d)}
	if a := ask(Request{Operation: StartNodes, Start: start}); a.Error != "" {
		t.Fatal(a.Error)
	}
	if a := ask(Request{Operation: AwaitReady, Within: time.Minute}); a.Error != "" || len(a.Took) != 5 {
		t.Fatalf("%d ready: %s", len(a.Took), a.Error)
	}
	made := time.Now()
	index := d.Set(agent.Draining, 7)
	if a := ask(Request{Operation: AwaitChange, Index: index, Destinations: []int{7}, At: made, Within: time.Minute}); a.Error != "" || len(a.Took) != 5 {
		t.Fatalf("in force at %d: %s", len(a.Took), a.Error)
	}
	if a := ask(Request{Operation: MeasureNodes, Collect: true}); a.Error != "" || a.Heap == 0 || a.Usage.Resident == 0 || a.Usage.CPU == 0 {
		t.Errorf("%+v", a)
	}
	if a := ask(Request{Operation: StopNodes, Last: 2}); a.Error != "" {
		t.Error(a.Error)
	}
	if a := ask(Request{Operation: AwaitReady, Within: time.Minute}); len(a.Took) != 3 {
		t.Errorf("%d nodes are left of 5, 2 were stopped", len(a.Took))
	}
	if a := ask(Request{Operation: "dance"}); !strings.Contains(a.Error, "dance") {
		t.Errorf("an unknown operation: %q", a.Error)
	}
	if a := ask(Request{Operation: StartNodes}); a.Error == "" {
		t.Error("a start without nodes has no error")
	}
	in.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
