package agent

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// fakeDiscovery is a plain model of discovery: the endpoints in force by name.
type fakeDiscovery struct {
	index   int64
	inForce map[string]Endpoint
}

// list returns all endpoints in force as a list.
func (d *fakeDiscovery) list() *List {
	l := &List{Index: d.index, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(d.inForce)) {
		l.Endpoints = append(l.Endpoints, d.inForce[name])
	}
	return l
}

// mayCall reports whether an endpoint may be called as it is listed in a configuration: it is in force as such, it serves, and no process that started later
// has its address.
func (d *fakeDiscovery) mayCall(e Endpoint) bool {
	now, isListed := d.inForce[e.Name]
	if !isListed || !now.isServing() || !e.isServing() || now.Address != e.Address || now.Group != e.Group {
		return false
	}
	for _, other := range d.inForce {
		if other.Address == now.Address && other.SinceMS > now.SinceMS {
			return false
		}
	}
	return true
}

// drawEndpoint draws an endpoint of a name, with one of few addresses and destinations.
func drawEndpoint(t *rapid.T, name string, statuses ...string) Endpoint {
	return Endpoint{Name: name, Address: rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}).Draw(t, "address of "+name), Group: rapid.IntRange(1, 2).Draw(t, "destination of "+name),
		Status: rapid.SampledFrom(statuses).Draw(t, "status of "+name), SinceMS: UnixMilli(rapid.IntRange(0, 3).Draw(t, "start of "+name))}
}

// TestCallableAfterRestart draws lists and changes in any order, with restarts between them, some of which have another configuration, and disks without
// room. Against a plain model, a start without discovery calls no endpoint that may not be called, and as long as all is recorded each that may.
func TestCallableAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "callable")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		names := []string{"a", "b", "c", "d"}
		discovery := &fakeDiscovery{index: 1, inForce: map[string]Endpoint{}}
		for _, name := range names[:rapid.IntRange(1, len(names)).Draw(t, "configured")] {
			discovery.inForce[name] = drawEndpoint(t, name, Serving, Serving, Draining)
		}
		known := discovery.list()
		isReported := false // since the configuration was written
		isBehind := false   // the first changes after a restart are all those since the configuration's index
		store := OpenCallableStore(folder, known, MaxRecordedInMargin)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"changes", "changes", "whole", "restart", "newer configuration", "full disk", "room"}).Draw(t, "step") {
			case "changes":
				discovery.index++
				l := &List{Index: discovery.index}
				for _, name := range names {
					e, isListed := discovery.inForce[name]
					isChanged := rapid.Bool().Draw(t, "changes "+name)
					switch {
					case isChanged:
						if e = drawEndpoint(t, name, Serving, Serving, Draining, Deleted); e.Status == Deleted {
							delete(discovery.inForce, name)
						} else {
							discovery.inForce[name] = e
						}
					case !isListed:
						e = Endpoint{Name: name, Status: Deleted}
					}
					if isChanged || isBehind {
						l.Endpoints = append(l.Endpoints, e)
					}
				}
				isReported, isBehind = isReported || len(l.Endpoints) > 0, false
				store.Update(l)
			case "whole":
				discovery.index++
				for _, name := range names {
					delete(discovery.inForce, name)
					if rapid.Bool().Draw(t, "lists "+name) {
						discovery.inForce[name] = drawEndpoint(t, name, Serving, Serving, Draining)
					}
				}
				isReported, isBehind = true, false
				store.Update(discovery.list())
			case "newer configuration": // of the current state, which the previous process may not have received
				discovery.index++
				known, isReported, isBehind = discovery.list(), false, false
				store = OpenCallableStore(folder, known, MaxRecordedInMargin)
			case "restart":
				isBehind = true
				store = OpenCallableStore(folder, known, MaxRecordedInMargin)
			case "full disk": // where the file exists, it is written over
				if err := os.MkdirAll(filepath.Join(store.path()+".next", "not empty"), 0o700); err != nil {
					t.Fatal(err)
				}
			case "room":
				if err := os.RemoveAll(store.path() + ".next"); err != nil {
					t.Fatal(err)
				}
			}
			for _, e := range OpenCallableStore(folder, known, MaxRecordedInMargin).InitialList().Endpoints {
				configured := known.Endpoints[slices.IndexFunc(known.Endpoints, func(k Endpoint) bool { return k.Name == e.Name })]
				want := discovery.mayCall(configured)
				if !want && !isReported && configured.isServing() {
					continue // the configuration lists its address twice, which the engine resolves as well
				}
				if e.isServing() != want {
					t.Fatalf("%+v: serves %t, want %t; in force: %+v", configured, e.isServing(), want, discovery.inForce)
				}
			}
		}
	})
}

// manyEndpoints returns serving endpoints of as many destinations.
func manyEndpoints(prefix string, n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("%s-%05d", prefix, i), Address: fmt.Sprintf("127.0.0.1:%d", 1024+i), Group: i, Status: Serving})
	}
	return list
}

// withStatus returns the endpoints with another status.
func withStatus(list []Endpoint, status string) []Endpoint {
	changed := slices.Clone(list)
	for i := range changed {
		changed[i].Status = status
	}
	return changed
}

// servingAfterRestart returns the endpoints that a start without discovery calls.
func servingAfterRestart(folder string, known *List, limit int) (names []string) {
	for _, e := range OpenCallableStore(folder, known, limit).InitialList().Endpoints {
		if e.isServing() {
			names = append(names, e.Name)
		}
	}
	return names
}

// TestReplacedTenTimes: the file of withdrawn names was full after some 116 names, and endpoints whose names it dropped were called after a restart. In
// fleets of all sizes each endpoint but one is replaced ten times; a start without discovery calls that one alone, also where a newer configuration than
// the first, but older than the last list, has some of the endpoints that came between.
func TestReplacedTenTimes(t *testing.T) {
	const generations = 10
	for _, size := range []int{1, 30, 100, 480, 3200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			folder := t.TempDir()
			limit, _ := RecordLimit(size, 3e6)
			stays := Endpoint{Name: "stays", Address: "127.0.0.1:1", Status: Serving}
			former := manyEndpoints("first", size-1)
			known := &List{Index: 1, Snapshot: true, Endpoints: append(slices.Clone(former), stays)}
			later := known
			store := OpenCallableStore(folder, known, limit)
			store.Update(known)
			for generation := range generations {
				next := manyEndpoints(fmt.Sprint("later", generation), size-1)
				index := int64(3*generation + 2)
				store.Update(&List{Index: index, Endpoints: next})
				store.Update(&List{Index: index + 1, Endpoints: withStatus(former, Draining)})
				store.Update(&List{Index: index + 2, Endpoints: withStatus(former, Deleted)})
				former = next
				if generation == generations/2 {
					later = &List{Index: index + 2, Snapshot: true, Endpoints: append(slices.Clone(next), stays)}
				}
			}
			info, err := os.Stat(store.path())
			if err != nil || info.Size() != int64(recordBytes(limit)) {
				t.Fatalf("%v, %v", info, err)
			}
			for name, configuration := range map[string]*List{"first": known, "later": later} {
				if serving := servingAfterRestart(folder, configuration, limit); len(serving) != 1 || serving[0] != "stays" {
					t.Errorf("%s configuration: %d endpoints are called, want the one that stays", name, len(serving))
				}
			}
		})
	}
}

// TestRecordWithoutRoomForAll: more endpoints than a record may have are not called, rather than called without a record.
func TestRecordWithoutRoomForAll(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true, Endpoints: manyEndpoints("a", 3*MaxRecordedInMargin)}
	store := OpenCallableStore(folder, known, MaxRecordedInMargin)
	store.Update(&List{Index: 2, Endpoints: withStatus(known.Endpoints[:1], Draining)})
	serving := servingAfterRestart(folder, known, MaxRecordedInMargin)
	if len(serving) != MaxRecordedInMargin || serving[0] != known.Endpoints[1].Name {
		t.Errorf("%d endpoints are called, the first %s", len(serving), serving[0])
	}
	if info, err := os.Stat(store.path()); err != nil || info.Size() > maxWithdrawnBytes {
		t.Errorf("%v, %v", info, err)
	}
}

// TestRecordLimit: the record and its successor stay within their share of the folder, and small configurations take none of the journal's room.
func TestRecordLimit(t *testing.T) {
	for _, c := range []struct {
		configured int
		folder     int64
		limit      int
	}{
		{0, 3e6, MaxRecordedInMargin}, {90, 3e6, MaxRecordedInMargin}, {91, 3e6, usualRecorded}, {3200, 3e6, usualRecorded}, {3200, 500e3, 1947}, {3200, 40e3, MaxRecordedInMargin},
		{3200, 0, MaxRecordedInMargin}, {20000, 3e6, 11713}, {20000, 500e6, 25000}, {10e6, 1e12, maxRecorded},
	} {
		limit, reserved := RecordLimit(c.configured, c.folder)
		want := int64(0)
		if limit != MaxRecordedInMargin {
			want = int64(2 * recordBytes(limit))
		}
		if limit != c.limit || reserved != want || reserved > c.folder/maxRecordShare {
			t.Errorf("%d endpoints, %d bytes: limit %d, %d reserved; want %d, %d", c.configured, c.folder, limit, reserved, c.limit, want)
		}
	}
}

// TestSpoiltRecord: after a record that is cut off, has a flipped bit or can't be read, no configured endpoint is called before discovery answers; the next
// list replaces it.
func TestSpoiltRecord(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true, Endpoints: manyEndpoints("a", 3)}
	store := OpenCallableStore(folder, known, MaxRecordedInMargin)
	store.Update(&List{Index: 2, Endpoints: withStatus(known.Endpoints[:1], Draining)})
	valid, err := os.ReadFile(store.path())
	if err != nil {
		t.Fatal(err)
	}
	used := recordBytes(2)
	var spoilt [][]byte
	for size := range used {
		spoilt = append(spoilt, valid[:size])
	}
	for i := range used {
		text := slices.Clone(valid)
		text[i] ^= 1
		spoilt = append(spoilt, text)
	}
	for _, text := range spoilt {
		if err := os.WriteFile(store.path(), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) > 0 {
			t.Fatalf("%d bytes, %x: %v are called", len(text), text[:min(len(text), used)], serving)
		}
	}
	OpenCallableStore(folder, known, MaxRecordedInMargin).Update(known)
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != 3 {
		t.Errorf("after the next list %v are called", serving)
	}
	if err := errors.Join(os.Remove(store.path()), os.Mkdir(store.path(), 0o700)); err != nil {
		t.Fatal(err)
	}
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) > 0 {
		t.Errorf("unreadable: %v are called", serving)
	}
}

// TestRecordIsWrittenOnceThereIsRoom: a record that can't be written at all is written with the next answer of discovery, though that has no change.
func TestRecordIsWrittenOnceThereIsRoom(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1, Snapshot: true, Endpoints: manyEndpoints("a", 2)}
	next := filepath.Join(folder, callableFileName+".next")
	if err := os.MkdirAll(filepath.Join(next, "not empty"), 0o700); err != nil {
		t.Fatal(err)
	}
	store := OpenCallableStore(folder, known, MaxRecordedInMargin) // there is no file yet to write over
	store.Update(&List{Index: 2, Endpoints: withStatus(known.Endpoints[:1], Deleted)})
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != 2 {
		t.Fatalf("without a record %v are called", serving)
	}
	if err := os.RemoveAll(next); err != nil {
		t.Fatal(err)
	}
	store.Update(&List{Index: 3})
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != 1 {
		t.Errorf("%v are called, want one", serving)
	}
}

// TestFileOfOlderProgram: the names that an older program kept are heeded until there is a record, and an unreadable file permits no calls.
func TestFileOfOlderProgram(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 5, Snapshot: true, Endpoints: manyEndpoints("a", 3)}
	withdrawn := filepath.Join(folder, withdrawnFileName)
	for text, want := range map[string]int{`{"index":6,"names":["a-00001","other"]}`: 2, `{"index":5,"names":["a-00001"]}`: 3, ``: 0, `{`: 0, `{"index":"9","names":[]}`: 0, "\x00\x00": 0,
		`{"index":9,"names":["` + strings.Repeat("x", maxWithdrawnBytes) + `"]}`: 0} {
		if err := os.WriteFile(withdrawn, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != want {
			t.Errorf("%.40q: %v are called, want %d", text, serving, want)
		}
		if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != want { // by the record of that start
			t.Errorf("%.40q: %v are called after a second start, want %d", text, serving, want)
		}
		if err := os.Remove(filepath.Join(folder, callableFileName)); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(withdrawn, []byte(`{"index":6,"names":["a-00001"]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	OpenCallableStore(folder, known, MaxRecordedInMargin).Update(&List{Index: 7, Endpoints: withStatus(known.Endpoints[:1], Draining)})
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != 1 || serving[0] != "a-00002" {
		t.Errorf("%v are called, want a-00002", serving)
	}
	if _, err := os.Stat(withdrawn); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the older file: %v", err)
	}
}

// TestNumberingRestarts: a list whose index is lower than that of the configuration, since discovery counts from the beginning again, still withdraws
// endpoints.
func TestNumberingRestarts(t *testing.T) {
	folder := t.TempDir()
	known := &List{Index: 1000, Snapshot: true, Endpoints: manyEndpoints("a", 2)}
	OpenCallableStore(folder, known, MaxRecordedInMargin).Update(&List{Index: 3, Snapshot: true, Endpoints: known.Endpoints[:1]})
	if serving := servingAfterRestart(folder, known, MaxRecordedInMargin); len(serving) != 1 {
		t.Errorf("%v are called, want one", serving)
	}
}

// BenchmarkOpenCallableStore measures what the record costs a start whose configured endpoints were all replaced.
func BenchmarkOpenCallableStore(b *testing.B) {
	for _, size := range []int{30, 480, 3200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			folder := b.TempDir()
			known := &List{Index: 1, Snapshot: true, Endpoints: manyEndpoints("a", size)}
			limit, reserved := RecordLimit(size, 3e6)
			OpenCallableStore(folder, known, limit).Update(&List{Index: 2, Snapshot: true, Endpoints: manyEndpoints("b", size)})
			for b.Loop() {
				OpenCallableStore(folder, known, limit).InitialList()
			}
			b.ReportMetric(float64(recordBytes(limit)), "record-B")
			b.ReportMetric(float64(reserved), "reserved-B")
		})
	}
}

// BenchmarkUpdateCallableStore measures a change of one endpoint, which writes the record.
func BenchmarkUpdateCallableStore(b *testing.B) {
	for _, size := range []int{30, 480, 3200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			known := &List{Index: 1, Snapshot: true, Endpoints: manyEndpoints("a", size)}
			limit, _ := RecordLimit(size, 3e6)
			store := OpenCallableStore(b.TempDir(), known, limit)
			store.Update(known)
			for n := int64(2); b.Loop(); n++ {
				store.Update(&List{Index: n, Endpoints: withStatus(known.Endpoints[:1], []string{Serving, Draining}[n%2])})
			}
		})
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
