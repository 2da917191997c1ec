package control

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	d := newFakeDiscovery(t, 1)
	d.Server.Close()
	return d.address()
}

// awaitPersisted waits until a restart would load the list with an index.
func (s *testServer) awaitPersisted(index int64) {
	s.t.Helper()
	s.await(fmt.Sprint("index ", index, " is persisted"), func(f Stats) bool { return f.PersistedIndex == index })
}

// copyFolder copies the state folder of a running server: this is the state that a process killed now leaves behind.
func copyFolder(t *testing.T, from string) string {
	to := t.TempDir()
	if err := os.CopyFS(filepath.Join(to, "state"), os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(to, "state")
}

// TestRestartAfterKill checks that a server that was killed restores the list, including the changes after the snapshot, and serves it while
// discovery is unavailable.
func TestRestartAfterKill(t *testing.T) {
	list := endpoints(300)
	list[7] = agent.Endpoint{Name: "odd \"näme\"\n", Address: "[::1]:80", Group: 1 << 31, Status: agent.Draining, Weight: 0.1}
	d := newFakeDiscovery(t, 7, list...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitPersisted(7)
	for i := range 20 {
		s.awaitIndex(d.change(draining(list[i]), deleted(list[100+i]), endpoint(fmt.Sprint("new-", i), i)))
	}
	s.awaitPersisted(27)
	killed := options
	killed.StateDir, killed.Upstream = copyFolder(t, options.StateDir), closedAddress(t)
	again := startServer(t, killed)
	if f := again.collectStats(); f.Index != 27 || f.Entries != 300 {
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
		t.Errorf("request with the latest index: status %d, %s", got.status, got.text)
	}
}

// TestStartOfEndpointIsKept: the start of an endpoint's process reaches the clients of a server, and outlasts a restart of it.
func TestStartOfEndpointIsKept(t *testing.T) {
	list := endpoints(20)
	for i := range list {
		list[i].SinceMS = agent.UnixMilli(1_764_900_000_000 + i)
	}
	list[3].SinceMS = 0
	d := newFakeDiscovery(t, 7, list...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	list[5].SinceMS++
	index := d.change(list[5])
	s.awaitIndex(index)
	s.awaitPersisted(index)
	was := s.get("/v1/servers")
	if got := was.list.Endpoints; len(got) != len(list) || !slices.ContainsFunc(got, func(e agent.Endpoint) bool { return e == list[5] }) {
		t.Errorf("%+v", got)
	}
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	again := startServer(t, options)
	again.awaitIndex(index)
	if is := again.get("/v1/servers"); is.text != was.text {
		t.Errorf("was %sis  %s", was.text, is.text)
	}
}

// TestCorruptList checks that a corrupt list file, however it is corrupt, is named in the log and that the whole list is requested from discovery.
func TestCorruptList(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(50)...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitPersisted(7)
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(options.StateDir, listFileName)
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	withChecksum := func(text []byte) []byte { return binary.LittleEndian.AppendUint64(text, xxhash.Sum64(text)) }
	body := stored[:len(stored)-checksumLen]
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"empty":          {nil, "file of 0 bytes is truncated"},
		"truncated":      {stored[:len(stored)/2], ""},
		"a bit changed":  {append(append([]byte(nil), stored[:200]...), append([]byte{stored[200] ^ 4}, stored[201:]...)...), ""},
		"another file":   {withChecksum([]byte("something else entirely")), "the file begins with"},
		"a later format": {withChecksum(append(append([]byte(listMagic), 9), body[len(listMagic)+1:]...)), "format has version 9"},
		"trailing bytes": {withChecksum(append(append([]byte(nil), body...), 1, 2, 3)), "unexpected bytes after the last entry"},
		"a wrong count":  {withChecksum(append(append([]byte(nil), body[:len(body)-1]...), 49)), "file has 50 entries, want 49"},
	} {
		t.Run(name, func(t *testing.T) {
			logs := captureLogs(t)
			corrupt := options
			corrupt.StateDir, corrupt.Upstream = copyFolder(t, options.StateDir), closedAddress(t)
			if err := os.WriteFile(filepath.Join(corrupt.StateDir, listFileName), c.text, 0o600); err != nil {
				t.Fatal(err)
			}
			again := startServer(t, corrupt)
			if got := again.get("/v1/servers"); got.status != 503 {
				t.Errorf("status %d: %s", got.status, got.text)
			}
			if text := logs.String(); !strings.Contains(text, "can't read the stored list") || !strings.Contains(text, c.want) || !strings.Contains(text, corrupt.StateDir) {
				t.Errorf("log:\n%s", text)
			}
			again.stop()
			corrupt.Upstream = d.address()
			startServer(t, corrupt).awaitIndex(7)
		})
	}
}

// TestCorruptChanges checks that the stored changes are replayed up to the first corrupt frame; the later ones are requested from discovery.
func TestCorruptChanges(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(5)...)
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitPersisted(7)
	for i := range 3 {
		s.awaitIndex(d.change(draining(endpoint(fmt.Sprintf("s-%05d", i), i))))
	}
	s.awaitPersisted(10)
	folder := copyFolder(t, options.StateDir)
	path := filepath.Join(folder, changesPrefix+"7")
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	frame := len(stored) / 3
	flipBit := func(at int) []byte {
		text := append([]byte(nil), stored...)
		text[at] ^= 64
		return text
	}
	for name, c := range map[string]struct {
		text  []byte
		index int64
	}{"none": {nil, 7}, "whole": {stored, 10}, "truncated frame": {stored[:len(stored)-1], 9}, "truncated frame header": {stored[:frame+3], 8},
		"corrupt second frame": {flipBit(frame + 20), 8}, "frame length too large": {flipBit(3), 7}} {
		if err := os.WriteFile(path, c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		again := options
		again.StateDir, again.Upstream = copyFolder(t, folder), closedAddress(t)
		if got := startServer(t, again).collectStats().Index; got != c.index {
			t.Errorf("%s: index %d, want %d", name, got, c.index)
		}
	}
}

// TestCorruptLeases checks that an unreadable lease file is reported in the log, and that the server starts without leases.
func TestCorruptLeases(t *testing.T) {
	logs := captureLogs(t)
	options := testOptions(t, closedAddress(t))
	if err := os.WriteFile(filepath.Join(options.StateDir, membersFileName), []byte("nothing that could be read"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := startServer(t, options)
	if s.restored || !strings.Contains(logs.String(), "can't read the stored leases") {
		t.Errorf("log:\n%s", logs)
	}
}

// TestUnwritableStateDir checks that a server that can't write its state still serves the list, and that the log names the remedy.
func TestUnwritableStateDir(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoints(5)...)
	options := testOptions(t, d.address())
	if err := os.Mkdir(filepath.Join(options.StateDir, listFileName+tempSuffix), 0o700); err != nil {
		t.Fatal(err)
	}
	s := startServer(t, options)
	s.awaitIndex(7)
	s.awaitIndex(d.change(draining(endpoint("s-00001", 1))))
	s.await("log line about the failed write", func(Stats) bool { return strings.Contains(logs.String(), "make room in the state folder") })
	if got := s.get("/v1/servers?destinations=%s", ownership.NewSet(1)); got.names() != "s-00001~" {
		t.Errorf("%s", got.text)
	}
	if err := s.stop(); err == nil {
		t.Error("Run returned no error although the list could not be saved")
	}
	if err := os.Remove(filepath.Join(options.StateDir, listFileName+tempSuffix)); err != nil {
		t.Fatal(err)
	}
}
