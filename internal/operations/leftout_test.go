package operations

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLeftOutDamaged: names are read as they were stored, and a file that was damaged anywhere is not taken for a whole one.
func TestLeftOutDamaged(t *testing.T) {
	folder := t.TempDir()
	l := NewDisabledFile(folder)
	if names, err := l.Load(); err != nil || names != nil {
		t.Fatalf("no file: %v, %v", names, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		names := slices.Sorted(slices.Values(rapid.SliceOfNDistinct(rapid.StringN(1, 20, 60), 0, 8, rapid.ID[string]).Draw(t, "names")))
		if err := l.Store(names); err != nil {
			t.Fatal(err)
		}
		if got, err := l.Load(); err != nil || !slices.Equal(got, names) {
			t.Fatalf("stored %q, loaded %q, %v", names, got, err)
		}
		text, err := os.ReadFile(l.path)
		if err != nil {
			t.Fatal(err)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		spoilt := slices.Clone(text[:at])
		if rapid.Bool().Draw(t, "flipped") {
			spoilt = slices.Clone(text)
			spoilt[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		if err := os.WriteFile(l.path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := l.Load()
		if err == nil && !slices.Equal(got, names) {
			t.Fatalf("%q was stored; spoilt at %d it is read as %q without a word", names, at, got)
		}
		if err != nil && !strings.Contains(err.Error(), filepath.Join(folder, leftOutName)+":") {
			t.Fatalf("the error names no place: %v", err)
		}
	})
}

// TestLeftOutBound: the file and its successor stay within what the journal leaves of the folder, and what is refused changes nothing.
func TestLeftOutBound(t *testing.T) {
	l := NewDisabledFile(t.TempDir())
	var names []string
	for i := range 1000 {
		names = append(names, strings.Repeat("x", 40)+string(rune('a'+i%26))+strings.Repeat("y", i/26))
		if err := l.Store(names); err != nil {
			got, _ := l.Load()
			if !slices.Equal(got, names[:i]) {
				t.Errorf("refused %d names, and %d are there", i+1, len(got))
			}
			if i < 50 {
				t.Errorf("refused at %d names", i+1)
			}
			return
		}
		if info, err := os.Stat(l.path); err != nil || info.Size() > 8<<10 {
			t.Fatalf("%v, %v", info.Size(), err)
		}
	}
	t.Error("never refused")
}

// TestLeftOutCutOff: what a kill left between the two writes counts for nothing, and a write that fails leaves what was.
func TestLeftOutCutOff(t *testing.T) {
	l := NewDisabledFile(t.TempDir())
	if err := l.Store([]string{"a"}); err != nil {
		t.Fatal(err)
	}
	is := func(when, want string) {
		t.Helper()
		if got, err := l.Load(); err != nil || strings.Join(got, " ") != want {
			t.Errorf("%s: %q, %v", when, got, err)
		}
	}
	if err := os.WriteFile(l.path+".next", []byte("scaleroute left-out 1 0000"), 0o600); err != nil {
		t.Fatal(err)
	}
	is("cut off", "a")
	if err := l.Store([]string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	is("after the next one", "a b")
	if err := os.MkdirAll(l.path+".next/in the way", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := l.Store(nil); err == nil || !strings.Contains(err.Error(), "stay as they were") {
		t.Errorf("a write that fails: %v", err)
	}
	is("after that", "a b")
}
