package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func entry(name, status string) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Status: status}
}

// TestWithdrawn: lists come in any order and form, with restarts between them, of which some have a newer configuration. A start without discovery has
// serve what the newer of the two says: the configuration, or what was told before.
func TestWithdrawn(t *testing.T) {
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
		known := &List{Index: 1, Snapshot: true, Endpoints: []Endpoint{entry("a", Serving), entry("b", Serving), entry("c", Serving), entry("d", Draining)}}
		now := map[string]bool{"a": true, "b": true, "c": true} // as told
		inForce := map[string]bool{"a": true, "b": true, "c": true}
		index := int64(1)
		w := OpenWithdrawnStore(folder, known)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"changes", "whole", "restart", "new configuration"}).Draw(t, "step") {
			case "changes":
				index++
				l := &List{Index: index}
				for _, name := range names {
					if rapid.Bool().Draw(t, "names "+name) {
						e := entry(name, status(name))
						l.Endpoints, now[name] = append(l.Endpoints, e), e.serves()
					}
				}
				w.Update(l)
			case "whole":
				index++
				l := &List{Index: index, Snapshot: true}
				for _, name := range names {
					if now[name] = false; rapid.Bool().Draw(t, "names "+name) {
						e := entry(name, status(name))
						l.Endpoints, now[name] = append(l.Endpoints, e), e.serves()
					}
				}
				w.Update(l)
			case "new configuration": // of now, which the process before may not have heard
				if rapid.Bool().Draw(t, "changes") {
					index++
					for _, name := range names {
						now[name] = rapid.Bool().Draw(t, "serves "+name)
					}
				}
				known = &List{Index: index, Snapshot: true}
				for _, name := range names {
					if inForce[name] = now[name]; now[name] {
						known.Endpoints = append(known.Endpoints, entry(name, Serving))
					}
				}
				w = OpenWithdrawnStore(folder, known)
			case "restart":
				w = OpenWithdrawnStore(folder, known)
			}
			for _, e := range OpenWithdrawnStore(folder, known).InitialList().Endpoints {
				if want := inForce[e.Name] && now[e.Name]; e.serves() != want {
					t.Fatalf("%s: serves %t, and %t was told", e.Name, e.serves(), want)
				}
			}
		}
	})
}

// TestWithdrawnFile: the file stays in its bound whatever the names are, and keeps the newest; what can't be read, or be written, loosens nothing that
// is in force.
func TestWithdrawnFile(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true}
	for i := range 10000 {
		known.Endpoints = append(known.Endpoints, entry(fmt.Sprintf("target-%05d\"", i), Serving))
	}
	w := OpenWithdrawnStore(folder, known)
	w.Update(&List{Index: 2, Snapshot: true}) // all are gone
	path := filepath.Join(folder, withdrawnName)
	if info, err := os.Stat(path); err != nil || info.Size() > mostWithdrawn || info.Size() < mostWithdrawn/2 {
		t.Fatalf("%v, %v", info, err)
	}
	last := &known.Endpoints[len(known.Endpoints)-1]
	drains := func() (n int, newest bool) {
		l := OpenWithdrawnStore(folder, known).InitialList()
		for _, e := range l.Endpoints {
			if !e.serves() {
				n, newest = n+1, newest || e.Name == last.Name
			}
		}
		return n, newest
	}
	if n, newest := drains(); n < 50 || !newest {
		t.Errorf("%d drain, the newest: %t", n, newest)
	}
	w.Update(&List{Index: 3, Endpoints: []Endpoint{entry(strings.Repeat("x", mostWithdrawn), Draining)}}) // no room for that name
	if info, err := os.Stat(path); err != nil || info.Size() > mostWithdrawn {
		t.Fatalf("%v, %v", info, err)
	}
	if n, newest := drains(); n < 50 || !newest {
		t.Errorf("beside a name that has no room: %d drain, the newest: %t", n, newest)
	}
	for _, text := range []string{"", "{", `{"index":9}`, `{"index":"9","names":[]}`, "\x00\x00", `{"index":9,"names":["` + strings.Repeat("x", mostWithdrawn) + `"]}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w := OpenWithdrawnStore(folder, known)
		if l := w.InitialList(); l != known {
			t.Errorf("%q: another list", text)
		}
		w.Update(&List{Index: 4, Endpoints: []Endpoint{entry(last.Name, Draining)}})
		if n, newest := drains(); n != 1 || !newest {
			t.Errorf("after %q: %d drain, the newest: %t", text, n, newest)
		}
	}
	if err := os.Mkdir(path+".next", 0o700); err != nil { // nothing can be written
		t.Fatal(err)
	}
	w = OpenWithdrawnStore(folder, known)
	w.Update(&List{Index: 5, Endpoints: []Endpoint{entry(last.Name, Serving), entry(known.Endpoints[0].Name, Draining)}})
	if n, newest := drains(); n != 1 || !newest {
		t.Errorf("not written: %d drain, the newest: %t", n, newest)
	}
}
