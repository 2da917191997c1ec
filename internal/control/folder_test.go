package control

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// silentAddress is an address at which nobody answers.
func silentAddress(t *testing.T) string {
	d := newFakeDiscovery(t, 1)
	d.Server.Close()
	return d.address()
}

// awaitKept waits until a restart would begin with an index.
func (s *testServer) awaitKept(index int64) {
	s.t.Helper()
	s.await(fmt.Sprint("index ", index, " is kept"), func(f Stats) bool { return f.PersistedIndex == index })
}

// copyFolder is what a process that is killed now leaves behind.
func copyFolder(t *testing.T, from string) string {
	to := t.TempDir()
	if err := os.CopyFS(filepath.Join(to, "state"), os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(to, "state")
}

// TestKeptList: a server that was killed comes back with the list as it was, changes after the snapshot included, and serves it while discovery is silent.
func TestKeptList(t *testing.T) {
	list := endpoints(300)
	list[7] = agent.Endpoint{Name: "odd \"näme\"\n", Address: "[::1]:80", Group: 1 << 31, Status: agent.Draining, Weight: 0.1}
	d := newFakeDiscovery(t, 7, list...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitKept(7)
	for i := range 20 {
		s.awaitIndex(d.change(draining(list[i]), deleted(list[100+i]), endpoint(fmt.Sprint("new-", i), i)))
	}
	s.awaitKept(27)
	killed := options
	killed.StateDir, killed.Upstream = copyFolder(t, options.StateDir), silentAddress(t)
	again := startServer(t, killed)
	if f := again.snapshotFigures(); f.Index != 27 || f.Entries != 300 {
		t.Fatalf("%+v", f)
	}
	for _, group := range []uint32{0, 19, 100, 200, 1 << 31} {
		path := "/v1/servers?destinations=" + ownership.NewSet(group).String()
		was, is := s.get("%s", path), again.get("%s", path)
		if was.text != is.text {
			t.Errorf("destination %d:\nwas %sis  %s", group, was.text, is.text)
		}
	}
	scope := again.register(partitionOf(1))
	if got := again.get("/v1/servers?scope=%s&from=27&hold_ms=0", scope); got.status != 200 || got.list.Index != 27 {
		t.Errorf("who was up to date: status %d, %s", got.status, got.text)
	}
}

// TestDamagedList: whatever became of the file, it is named in the log and the list is asked for anew.
func TestDamagedList(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(50)...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitKept(7)
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(options.StateDir, listName)
	kept, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	resummed := func(text []byte) []byte { return binary.LittleEndian.AppendUint64(text, xxhash.Sum64(text)) }
	body := kept[:len(kept)-sumLen]
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"empty":          {nil, "cut off"},
		"cut off":        {kept[:len(kept)/2], ""},
		"a bit changed":  {append(append([]byte(nil), kept[:200]...), append([]byte{kept[200] ^ 4}, kept[201:]...)...), ""},
		"another file":   {resummed([]byte("something else entirely")), "begins with"},
		"a later format": {resummed(append(append([]byte(listMagic), 9), body[len(listMagic)+1:]...)), "format has version 9"},
		"more behind it": {resummed(append(append([]byte(nil), body...), 1, 2, 3)), "behind its end"},
		"a wrong count":  {resummed(append(append([]byte(nil), body[:len(body)-1]...), 49)), "50 entries, not 49"},
	} {
		t.Run(name, func(t *testing.T) {
			logs := captureLogs(t)
			damaged := options
			damaged.StateDir, damaged.Upstream = copyFolder(t, options.StateDir), silentAddress(t)
			if err := os.WriteFile(filepath.Join(damaged.StateDir, listName), c.text, 0o600); err != nil {
				t.Fatal(err)
			}
			again := startServer(t, damaged)
			if got := again.get("/v1/servers"); got.status != 503 {
				t.Errorf("status %d: %s", got.status, got.text)
			}
			if text := logs.String(); !strings.Contains(text, "the kept list can't be used") || !strings.Contains(text, c.want) || !strings.Contains(text, damaged.StateDir) {
				t.Errorf("log:\n%s", text)
			}
			again.stop()
			damaged.Upstream = d.address()
			startServer(t, damaged).awaitIndex(7)
		})
	}
}

// TestDamagedChanges: changes are kept up to the damage; what comes behind is asked for.
func TestDamagedChanges(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(5)...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitKept(7)
	for i := range 3 {
		s.awaitIndex(d.change(draining(endpoint(fmt.Sprintf("s-%05d", i), i))))
	}
	s.awaitKept(10)
	folder := copyFolder(t, options.StateDir)
	path := filepath.Join(folder, changesPrefix+"7")
	kept, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	frame := len(kept) / 3
	spoil := func(at int) []byte {
		text := append([]byte(nil), kept...)
		text[at] ^= 64
		return text
	}
	for name, c := range map[string]struct {
		text  []byte
		index int64
	}{"none": {nil, 7}, "whole": {kept, 10}, "cut in a frame": {kept[:len(kept)-1], 9}, "cut in a head": {kept[:frame+3], 8},
		"damaged in the second": {spoil(frame + 20), 8}, "a length that is too large": {spoil(3), 7}} {
		if err := os.WriteFile(path, c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		again := options
		again.StateDir, again.Upstream = copyFolder(t, folder), silentAddress(t)
		if got := startServer(t, again).snapshotFigures().Index; got != c.index {
			t.Errorf("%s: index %d, want %d", name, got, c.index)
		}
	}
}

// TestDamagedLeases: leases that can't be read are named in the log, and gathered anew.
func TestDamagedLeases(t *testing.T) {
	logs := captureLogs(t)
	options := testOptions(t, silentAddress(t))
	if err := os.WriteFile(filepath.Join(options.StateDir, membersName), []byte("nothing that could be read"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := startServer(t, options)
	if s.restored || !strings.Contains(logs.String(), "leases can't be used") {
		t.Errorf("log:\n%s", logs)
	}
}

// TestFullFolder: where nothing can be written the list is served all the same, and the log says what to do.
func TestFullFolder(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoints(5)...)
	options := testOptions(t, d.address())
	if err := os.Mkdir(filepath.Join(options.StateDir, listName+nextSuffix), 0o700); err != nil {
		t.Fatal(err)
	}
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitIndex(d.change(draining(endpoint("s-00001", 1))))
	s.await("the log says so", func(Stats) bool { return strings.Contains(logs.String(), "make room in the state folder") })
	if got := s.get("/v1/servers?destinations=%s", ownership.NewSet(1)); got.names() != "s-00001~" {
		t.Errorf("%s", got.text)
	}
	if err := s.stop(); err == nil {
		t.Error("the end does not say that the list is not kept")
	}
	if err := os.Remove(filepath.Join(options.StateDir, listName+nextSuffix)); err != nil {
		t.Fatal(err)
	}
}
