package audit

import (
	"bytes"
	"context"
	"fmt"
	"image/png"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

var testStart = time.Unix(1_800_000_000, 0).UTC()

// testFleet holds the data of a fleet's members and the true history to compare an audit with.
type testFleet struct {
	all    []MemberData
	acted  map[int64]map[string]time.Time // by index and member: true time
	calls  map[string]map[string]uint64   // by endpoint and member
	before map[string]map[string]uint64   // the same, but only under lists before the last
}

// writeLedgers writes the ledgers of members that act on lists at random times and call endpoints. Their clocks are up to ten minutes off.
func writeLedgers(t *testing.T, seed uint64, members, lists int) *testFleet {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	f := &testFleet{acted: map[int64]map[string]time.Time{}, calls: map[string]map[string]uint64{}, before: map[string]map[string]uint64{}}
	for i := range members {
		name := fmt.Sprint("n", i)
		dir := t.TempDir()
		offset := time.Duration(rng.Int64N(int64(20*time.Minute))) - 10*time.Minute
		l, err := ledger.Open(journal.DirFS(dir), 1<<20, name)
		if err != nil {
			t.Fatal(err)
		}
		v := version.Vector{Format: 1, Started: testStart.Add(offset), List: version.List{Index: 1, Digest: 11}}
		now := testStart
		l.RecordChange(ledger.CauseStart, "", now.Add(offset), v)
		for index := int64(1); index <= int64(lists); index++ {
			if index > 1 {
				if rng.IntN(8) == 0 && index < int64(lists) {
					continue // the member skips this list
				}
				now = testStart.Add(time.Duration(index)*time.Minute + time.Duration(rng.IntN(5000))*time.Millisecond)
				v.List = version.List{Index: index, Digest: version.Digest(index * 11)}
				l.RecordChange(ledger.CauseEndpointList, "", now.Add(offset), v)
			}
			for earlier := int64(1); earlier <= index; earlier++ {
				if f.acted[earlier] == nil {
					f.acted[earlier] = map[string]time.Time{}
				}
				if _, known := f.acted[earlier][name]; !known {
					f.acted[earlier][name] = now
				}
			}
			for range rng.IntN(20) {
				target := fmt.Sprint("t", rng.IntN(3))
				l.BeginCall(target, now.Add(offset)).Complete(true, false)
				for _, counts := range []map[string]map[string]uint64{f.calls, f.before} {
					if counts[target] == nil {
						counts[target] = map[string]uint64{}
					}
				}
				if f.calls[target][name]++; index < int64(lists) {
					f.before[target][name]++
				}
			}
		}
		g := ReadFolder(dir, name)
		g.Vector, g.Offset = &v, offset
		f.all = append(f.all, g)
	}
	return f
}

// TestMerge checks that a rollout has the true order and times despite wrong clocks, and that a query for an endpoint returns the calls that were made.
func TestMerge(t *testing.T) {
	for seed := range uint64(20) {
		f := writeLedgers(t, seed, 3+int(seed), 5)
		r := Merge(f.all, version.Desired{}, &CallQuery{Target: "t1", BelowIndex: 5})
		if got := r.Worst(); got != straggler.Current || len(r.Caveats) > 0 || len(r.Members) != len(f.all) {
			t.Fatalf("seed %d: worst verdict %v, caveats %v", seed, got, r.Caveats)
		}
		for _, o := range r.Lists {
			times := f.acted[o.Index]
			if o.Acted != len(times) || o.Digests != 1 || o.All == 0 {
				t.Fatalf("seed %d: rollout %+v, but %d members acted on it", seed, o, len(times))
			}
			for _, s := range o.Steps {
				if at := o.First.Add(s.After); !at.Equal(times[s.Name]) {
					t.Errorf("seed %d: %s acted on list %d at %v, but the audit reports %v", seed, s.Name, o.Index, times[s.Name], at)
				}
			}
			if o.Half > o.P99 || o.P99 > o.All {
				t.Errorf("seed %d: times out of order: half %v, 99%% %v, all %v", seed, o.Half, o.P99, o.All)
			}
		}
		var sum uint64
		for _, by := range r.Calls.Members {
			if want := f.before["t1"][by.Name]; by.Arrived != (ledger.Count{Min: want, Max: want}) {
				t.Errorf("seed %d: %s called t1 %d times under old lists, but the audit reports %+v", seed, by.Name, want, by.Arrived)
			}
			sum += f.before["t1"][by.Name]
		}
		if r.Calls.Total.Min != sum || sum == 0 {
			t.Errorf("seed %d: the audit reports %+v calls to t1, want %d", seed, r.Calls.Total, sum)
		}
	}
}

// TestVerdicts checks the verdict of each kind of member, and that Worst returns the worst of them.
func TestVerdicts(t *testing.T) {
	f := writeLedgers(t, 99, 8, 3)
	f.all[1].Vector.List = version.List{Index: 2, Digest: 22}
	f.all[2].Vector.List.Digest++
	f.all[3] = MemberData{Source: "127.0.0.1:1", Name: "n3", Err: "no answer"}
	duplicate := f.all[4]
	restarted := *duplicate.Vector
	restarted.Started = restarted.Started.Add(time.Hour)
	duplicate.Vector = &restarted
	f.all = append(f.all, duplicate)
	f.all[5].FencedOffReason = "behind"
	f.all[6].Vector = nil // only its folder was read
	want := map[string]straggler.Verdict{"n0": straggler.Current, "n1": straggler.Stale, "n2": straggler.Diverged, "n3": straggler.Silent, "n4": straggler.Duplicate, "n5": straggler.FencedOff,
		"n6": straggler.Silent, "n7": straggler.Current}
	r := Merge(f.all, version.Desired{}, nil)
	for _, m := range r.Members {
		if m.Verdict != want[m.Name] || m.Verdict != straggler.Current && m.Remedy == "" && m.Verdict != straggler.FencedOff {
			t.Errorf("%s has verdict %s with remedy %q", m.Name, m.Verdict, m.Remedy)
		}
	}
	if r.Worst() != straggler.Duplicate {
		t.Errorf("worst verdict is %s", r.Worst())
	}
	if r := Merge(f.all, version.Desired{Build: "abc"}, nil); r.Members[0].Verdict != straggler.Stale || !strings.Contains(r.Members[0].Remedy, "upgrade") {
		t.Errorf("with another desired build: %+v", r.Members[0])
	}
}

// TestExport checks that the Parquet table has all calls and that the chart is a valid PNG.
func TestExport(t *testing.T) {
	f := writeLedgers(t, 5, 6, 4)
	var b bytes.Buffer
	if err := WriteParquet(&b, Rows(f.all)); err != nil {
		t.Fatal(err)
	}
	rows, err := parquet.Read[Row](bytes.NewReader(b.Bytes()), int64(b.Len()))
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]map[string]uint64{}
	for _, r := range rows {
		if r.Target != "" {
			if got[r.Target] == nil {
				got[r.Target] = map[string]uint64{}
			}
			got[r.Target][r.Member] += uint64(r.Begun)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(f.calls) {
		t.Errorf("table has calls %v, want %v", got, f.calls)
	}
	b.Reset()
	if err := WriteRolloutChart(&b, Merge(f.all, version.Desired{}, nil), len(f.all)); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&b); err != nil {
		t.Error(err)
	}
}

// TestUnresponsiveMembers checks that members that accept a connection but never reply, and one that does not exist, delay the audit only by their timeouts.
func TestUnresponsiveMembers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	addresses := []string{"127.0.0.1:1"}
	for range 2 * maxConcurrent {
		addresses = append(addresses, ln.Addr().String())
	}
	began, queried := time.Now(), make(chan bool, len(addresses))
	all := CollectMembers(context.Background(), addresses, 200*time.Millisecond, func() { queried <- true })
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("collecting took %v", took)
	}
	for _, g := range all {
		if g.Err == "" {
			t.Errorf("%+v", g)
		}
	}
	if r := Merge(all, version.Desired{}, nil); r.Worst() != straggler.Silent || len(queried) != len(addresses) {
		t.Errorf("%v", r.Worst())
	}
	if g := ReadFolder(t.TempDir(), "n"); g.Err == "" {
		t.Error("an empty folder is accepted as a ledger")
	}
	if g := ReadFolder(os.DevNull, "n"); g.Err == "" {
		t.Error("a file is accepted as a folder")
	}
}
