package operations

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestDisabledFileCorrupt checks that names are loaded as they were stored, and that Load reports an error for a file that is cut off or has a flipped bit.
func TestDisabledFileCorrupt(t *testing.T) {
	folder := t.TempDir()
	d := NewDisabledFile(folder)
	if names, err := d.Load(); err != nil || names != nil {
		t.Fatalf("no file: %v, %v", names, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		names := slices.Sorted(slices.Values(rapid.SliceOfNDistinct(rapid.StringN(1, 20, 60), 0, 8, rapid.ID[string]).Draw(t, "names")))
		if err := d.Store(names); err != nil {
			t.Fatal(err)
		}
		if got, err := d.Load(); err != nil || !slices.Equal(got, names) {
			t.Fatalf("stored %q, loaded %q, %v", names, got, err)
		}
		text, err := os.ReadFile(d.path)
		if err != nil {
			t.Fatal(err)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		corrupt := slices.Clone(text[:at])
		if rapid.Bool().Draw(t, "flipped") {
			corrupt = slices.Clone(text)
			corrupt[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		if err := os.WriteFile(d.path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := d.Load()
		if err == nil && !slices.Equal(got, names) {
			t.Fatalf("stored %q; corrupted at byte %d, the file loads as %q without an error", names, at, got)
		}
		if err != nil && !strings.Contains(err.Error(), filepath.Join(folder, disabledFileName)+":") {
			t.Fatalf("the error does not name the file: %v", err)
		}
	})
}

// TestDisabledFileSizeLimit checks that the file and its replacement together stay within the 16 KiB that the journal leaves free in the folder, and that a
// Store that is refused changes nothing.
func TestDisabledFileSizeLimit(t *testing.T) {
	d := NewDisabledFile(t.TempDir())
	var names []string
	for i := range 1000 {
		names = append(names, strings.Repeat("x", 40)+string(rune('a'+i%26))+strings.Repeat("y", i/26))
		if err := d.Store(names); err != nil {
			got, _ := d.Load()
			if !slices.Equal(got, names[:i]) {
				t.Errorf("Store refused %d names, and the file has %d", i+1, len(got))
			}
			if i < 50 {
				t.Errorf("Store refused %d names already", i+1)
			}
			return
		}
		if info, err := os.Stat(d.path); err != nil || info.Size() > 8<<10 {
			t.Fatalf("%v, %v", info.Size(), err)
		}
	}
	t.Error("Store did not refuse 1000 names")
}

// TestDisabledFileInterruptedWrite checks that a partial replacement, left by a process that was killed while it wrote, is ignored, and that a failed Store
// leaves the names as they were.
func TestDisabledFileInterruptedWrite(t *testing.T) {
	d := NewDisabledFile(t.TempDir())
	if err := d.Store([]string{"a"}); err != nil {
		t.Fatal(err)
	}
	wantNames := func(when, want string) {
		t.Helper()
		if got, err := d.Load(); err != nil || strings.Join(got, " ") != want {
			t.Errorf("%s: %q, %v", when, got, err)
		}
	}
	if err := os.WriteFile(d.path+".next", []byte("scaleroute left-out 1 0000"), 0o600); err != nil {
		t.Fatal(err)
	}
	wantNames("after an interrupted write", "a")
	if err := d.Store([]string{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	wantNames("after the next write", "a b")
	if err := os.MkdirAll(d.path+".next/obstacle", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := d.Store(nil); err == nil || !strings.Contains(err.Error(), "stay as they were") {
		t.Errorf("Store with a folder in the way: %v", err)
	}
	wantNames("after a failed write", "a b")
}
