package journal

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"strings"
	"testing"
)

func withChecksum(h []byte) []byte {
	binary.LittleEndian.PutUint32(h[28:], crc32.Checksum(h[:28], castagnoli))
	return h
}

// legacyFile returns the content of a legacy journal, as programs wrote it before there were segments, and the messages
// in it.
func legacyFile() (data []byte, want map[string]modelMessage) {
	add := func(kind byte, id string, rest string) {
		p := append([]byte{kind, byte(len(id))}, id+rest...)
		data = binary.LittleEndian.AppendUint32(data, uint32(len(p)))
		data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(p, castagnoli))
		data = append(data, p...)
	}
	accepted := string(binary.LittleEndian.AppendUint64(nil, 1_700_000_000_123)) + "\x07\x00\x00\x00\x04note"
	want = map[string]modelMessage{}
	for _, id := range []string{"new", "sent", "ran", "ended", "closed"} {
		body := strings.Repeat(id, 700)
		add('A', id, accepted+body)
		want[id] = modelMessage{class: "note", dest: 7, body: body}
	}
	add('F', "new", "lmtp")
	add('S', "sent", "")
	add('S', "ran", "")
	add('O', "ran", "\x01")
	add('M', "ended", "\x03\x00\x01")
	add('E', "ended", "b\xf4\x01\x00\x00")
	add('C', "closed", "")
	k := func(id string, f func(*modelMessage)) { v := want[id]; f(&v); want[id] = v }
	k("new", func(v *modelMessage) { v.origin = "lmtp" })
	k("sent", func(v *modelMessage) { v.attempts, v.inFlight = 1, true })
	k("ran", func(v *modelMessage) { v.attempts, v.mayHaveRun = 1, true })
	k("ended", func(v *modelMessage) {
		v.attempts, v.mayHaveRun, v.completion, v.retryAfter = 3, true, 'b', millis(500)
	})
	delete(want, "closed")
	return append(data, "torn"...), want
}

// TestLegacyUpgrade guards against losing messages when the legacy file is upgraded, also if the upgrade is killed at
// any point, twice in a row.
func TestLegacyUpgrade(t *testing.T) {
	data, want := legacyFile()
	begin := func() *memFS {
		fs := newMemFS()
		fs.files[legacyName] = &memFile{fs: fs, data: append([]byte(nil), data...)}
		return fs
	}
	dry := begin()
	j, err := OpenWith(smallOptions(dry))
	if err != nil {
		t.Fatal(err)
	}
	if got := queuedIn(j); !maps.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if dry.files[legacyName] != nil {
		t.Error("the legacy file is still there")
	}
	for at := 1; at <= dry.ops; at++ {
		for _, part := range []float64{0, 0.5, 1} {
			fs := begin()
			fs.crashAt, fs.crashFraction = at, part
			if !wasKilled(func() { OpenWith(smallOptions(fs)) }) {
				t.Fatalf("operation %d of %d was not reached", at, dry.ops)
			}
			second := fs.afterKill()
			second.crashAt, second.crashFraction = at, 1 // and once more at the next start
			wasKilled(func() { OpenWith(smallOptions(second)) })
			j, err := OpenWith(smallOptions(second.afterKill()))
			if err != nil {
				t.Fatalf("killed in operation %d, %v of it done: %v", at, part, err)
			}
			if got := queuedIn(j); !maps.Equal(got, want) {
				t.Fatalf("killed in operation %d, %v of it done: got %v, want %v", at, part, got, want)
			}
		}
	}
}

// TestLegacyFileBesideSegments: a legacy file that an older program has created beside segments is reported, and not
// upgraded as if it were the whole journal.
func TestLegacyFileBesideSegments(t *testing.T) {
	fs, want := filledFolder(t)
	data, _ := legacyFile()
	fs.files[legacyName] = &memFile{fs: fs, data: data}
	if _, err := OpenWith(smallOptions(fs)); err == nil || !strings.Contains(err.Error(), "Move") {
		t.Fatalf("opened beside a legacy file: %v", err)
	}
	delete(fs.files, legacyName)
	j, err := OpenWith(smallOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	if got := queuedIn(j); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
