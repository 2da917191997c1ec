package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func newEndpoint(name, status string) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Status: status}
}

// TestWithdrawnEndpointsAfterRestart draws snapshots and changes in any order, with restarts between them, some of which have a newer configuration. A
// start without discovery lets an endpoint serve according to the newer of the two: the configuration, or the lists reported before.
func TestWithdrawnEndpointsAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "withdrawn")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		names := []string{"a", "b", "c", "d"}
		status := func(what string) string {
			return rapid.SampledFrom([]string{Serving, Draining, Deleted}).Draw(t, what)
		}
		known := &List{Index: 1, Snapshot: true, Endpoints: []Endpoint{newEndpoint("a", Serving), newEndpoint("b", Serving), newEndpoint("c", Serving), newEndpoint("d", Draining)}}
		serving := map[string]bool{"a": true, "b": true, "c": true} // as reported last
		configured := map[string]bool{"a": true, "b": true, "c": true}
		index := int64(1)
		store := OpenWithdrawnStore(folder, known)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"changes", "whole", "restart", "new configuration"}).Draw(t, "step") {
			case "changes":
				index++
				l := &List{Index: index}
				for _, name := range names {
					if rapid.Bool().Draw(t, "names "+name) {
						e := newEndpoint(name, status(name))
						l.Endpoints, serving[name] = append(l.Endpoints, e), e.isServing()
					}
				}
				store.Update(l)
			case "whole":
				index++
				l := &List{Index: index, Snapshot: true}
				for _, name := range names {
					if serving[name] = false; rapid.Bool().Draw(t, "names "+name) {
						e := newEndpoint(name, status(name))
						l.Endpoints, serving[name] = append(l.Endpoints, e), e.isServing()
					}
				}
				store.Update(l)
			case "new configuration": // of the current state, which the previous process may not have received
				if rapid.Bool().Draw(t, "changes") {
					index++
					for _, name := range names {
						serving[name] = rapid.Bool().Draw(t, "serves "+name)
					}
				}
				known = &List{Index: index, Snapshot: true}
				for _, name := range names {
					if configured[name] = serving[name]; serving[name] {
						known.Endpoints = append(known.Endpoints, newEndpoint(name, Serving))
					}
				}
				store = OpenWithdrawnStore(folder, known)
			case "restart":
				store = OpenWithdrawnStore(folder, known)
			}
			for _, e := range OpenWithdrawnStore(folder, known).InitialList().Endpoints {
				if want := configured[e.Name] && serving[e.Name]; e.isServing() != want {
					t.Fatalf("%s: serves %t, and %t was reported", e.Name, e.isServing(), want)
				}
			}
		}
	})
}

// TestWithdrawnFileBoundsAndErrors checks that the file stays within its bound whatever the names are, and keeps the latest withdrawals; that an unreadable
// file counts as missing; and that a failed write leaves the old file in force.
func TestWithdrawnFileBoundsAndErrors(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true}
	for i := range 10000 {
		known.Endpoints = append(known.Endpoints, newEndpoint(fmt.Sprintf("target-%05d\"", i), Serving))
	}
	w := OpenWithdrawnStore(folder, known)
	w.Update(&List{Index: 2, Snapshot: true}) // all are missing
	path := filepath.Join(folder, withdrawnFileName)
	if info, err := os.Stat(path); err != nil || info.Size() > maxWithdrawnBytes || info.Size() < maxWithdrawnBytes/2 {
		t.Fatalf("%v, %v", info, err)
	}
	last := &known.Endpoints[len(known.Endpoints)-1]
	drains := func() (n int, newest bool) {
		l := OpenWithdrawnStore(folder, known).InitialList()
		for _, e := range l.Endpoints {
			if !e.isServing() {
				n, newest = n+1, newest || e.Name == last.Name
			}
		}
		return n, newest
	}
	if n, newest := drains(); n < 50 || !newest {
		t.Errorf("%d drain, the newest: %t", n, newest)
	}
	w.Update(&List{Index: 3, Endpoints: []Endpoint{newEndpoint(strings.Repeat("x", maxWithdrawnBytes), Draining)}}) // the name does not fit
	if info, err := os.Stat(path); err != nil || info.Size() > maxWithdrawnBytes {
		t.Fatalf("%v, %v", info, err)
	}
	if n, newest := drains(); n < 50 || !newest {
		t.Errorf("beside a name that does not fit: %d drain, the newest: %t", n, newest)
	}
	for _, text := range []string{"", "{", `{"index":9}`, `{"index":"9","names":[]}`, "\x00\x00", `{"index":9,"names":["` + strings.Repeat("x", maxWithdrawnBytes) + `"]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w := OpenWithdrawnStore(folder, known)
		if l := w.InitialList(); l != known {
			t.Errorf("%q: not the list of the configuration", text)
		}
		w.Update(&List{Index: 4, Endpoints: []Endpoint{newEndpoint(last.Name, Draining)}})
		if n, newest := drains(); n != 1 || !newest {
			t.Errorf("after %q: %d drain, the newest: %t", text, n, newest)
		}
	}
	if err := os.Mkdir(path+".next", 0o700); err != nil { // nothing can be written
		t.Fatal(err)
	}
	w = OpenWithdrawnStore(folder, known)
	w.Update(&List{Index: 5, Endpoints: []Endpoint{newEndpoint(last.Name, Serving), newEndpoint(known.Endpoints[0].Name, Draining)}})
	if n, newest := drains(); n != 1 || !newest {
		t.Errorf("not written: %d drain, the newest: %t", n, newest)
	}
}

// TestWithdrawnKeepsConfiguredNames: a configured endpoint that was withdrawn stays so after a restart, however many others were withdrawn since.
func TestWithdrawnKeepsConfiguredNames(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true, Endpoints: []Endpoint{newEndpoint("configured", Serving)}}
	w := OpenWithdrawnStore(folder, known)
	w.Update(&List{Index: 2, Endpoints: []Endpoint{newEndpoint("configured", Deleted)}})
	for i := range 500 {
		w.Update(&List{Index: int64(i + 3), Endpoints: []Endpoint{newEndpoint(fmt.Sprintf("added-later-%05d", i), Deleted)}})
	}
	if e := OpenWithdrawnStore(folder, known).InitialList().Endpoints[0]; e.isServing() {
		t.Error("the configured endpoint serves after a restart")
	}
}

// TestSinceDoesNotSpoilList: a start that is no number, or out of range, counts as unknown.
func TestSinceDoesNotSpoilList(t *testing.T) {
	for text, want := range map[string]UnixMilli{`0`: 0, `1764900000123`: 1764900000123, `1764900000123.75`: 1764900000123, `1.5e3`: 1500, `-4`: 0, `"soon"`: 0, `null`: 0, `1e300`: 0, `{"a":[1]}`: 0} {
		l, err := readList(strings.NewReader(`{"index":1,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"SERVING","since_ms":`+text+`}]}`), true)
		if err != nil || len(l.Endpoints) != 1 || l.Endpoints[0].SinceMS != want {
			t.Errorf("%s: %+v, %v; want %d", text, l, err, want)
		}
	}
}
