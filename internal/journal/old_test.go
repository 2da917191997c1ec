package journal

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"strings"
	"testing"
)

func checkedHeader(h []byte) []byte {
	binary.LittleEndian.PutUint32(h[28:], crc32.Checksum(h[:28], castagnoli))
	return h
}

// oldFile writes a journal as it was written before there were segments.
func oldFile() (text []byte, want map[string]known) {
	add := func(kind byte, id string, rest string) {
		p := append([]byte{kind, byte(len(id))}, id+rest...)
		text = binary.LittleEndian.AppendUint32(text, uint32(len(p)))
		text = binary.LittleEndian.AppendUint32(text, crc32.Checksum(p, castagnoli))
		text = append(text, p...)
	}
	accepted := string(binary.LittleEndian.AppendUint64(nil, 1_700_000_000_123)) + "\x07\x00\x00\x00\x04note"
	want = map[string]known{}
	for _, id := range []string{"new", "sent", "ran", "ended", "closed"} {
		body := strings.Repeat(id, 700)
		add('A', id, accepted+body)
		want[id] = known{class: "note", dest: 7, body: body}
	}
	add('F', "new", "lmtp")
	add('S', "sent", "")
	add('S', "ran", "")
	add('O', "ran", "\x01")
	add('M', "ended", "\x03\x00\x01")
	add('E', "ended", "b\xf4\x01\x00\x00")
	add('C', "closed", "")
	k := func(id string, f func(*known)) { v := want[id]; f(&v); want[id] = v }
	k("new", func(v *known) { v.origin = "lmtp" })
	k("sent", func(v *known) { v.attempts, v.open = 1, true })
	k("ran", func(v *known) { v.attempts, v.ran = 1, true })
	k("ended", func(v *known) { v.attempts, v.ran, v.end, v.wait = 3, true, 'b', millis(500) })
	delete(want, "closed")
	return append(text, "torn"...), want
}

// TestTakeOver: the single file of old is taken over, also when that is killed at any point, as often as it takes.
func TestTakeOver(t *testing.T) {
	text, want := oldFile()
	begin := func() *memFS {
		fs := newMemFS()
		fs.files[legacyName] = &memFile{fs: fs, text: append([]byte(nil), text...)}
		return fs
	}
	dry := begin()
	j, err := OpenWith(small(dry))
	if err != nil {
		t.Fatal(err)
	}
	if got := heldIn(j); !maps.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if dry.files[legacyName] != nil {
		t.Error("the file of old is still there")
	}
	for at := 1; at <= dry.ops; at++ {
		for _, part := range []float64{0, 0.5, 1} {
			fs := begin()
			fs.crashAt, fs.part = at, part
			if !killed(func() { OpenWith(small(fs)) }) {
				t.Fatalf("op %d of %d not reached", at, dry.ops)
			}
			second := fs.after()
			second.crashAt, second.part = at, 1 // and once more in the next start
			killed(func() { OpenWith(small(second)) })
			j, err := OpenWith(small(second.after()))
			if err != nil {
				t.Fatalf("killed in op %d, %v of it done: %v", at, part, err)
			}
			if got := heldIn(j); !maps.Equal(got, want) {
				t.Fatalf("killed in op %d, %v of it done: got %v, want %v", at, part, got, want)
			}
		}
	}
}

// TestOldBesideSegments: a file of old that an older program has begun beside segments is not taken for the whole.
func TestOldBesideSegments(t *testing.T) {
	fs, want := filled(t)
	text, _ := oldFile()
	fs.files[legacyName] = &memFile{fs: fs, text: text}
	if _, err := OpenWith(small(fs)); err == nil || !strings.Contains(err.Error(), "Move") {
		t.Fatalf("opened: %v", err)
	}
	delete(fs.files, legacyName)
	j, err := OpenWith(small(fs))
	if err != nil {
		t.Fatal(err)
	}
	if got := heldIn(j); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
