package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDeployedProgramIsDynamic: the platform may load a library of its own into the program, so the program that the deploy file builds must be
// linked dynamically against the C library, whatever the environment sets for cgo; and the deploy file must run that program as the only process.
func TestDeployedProgramIsDynamic(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := func(key string) string {
		found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if found == nil {
			t.Fatalf("deploy/balancer.toml has no %s", key)
		}
		return string(found[1])
	}
	run := line("run")
	program, ok := strings.CutPrefix(run, "exec bin/")
	if !ok {
		t.Fatalf("run is %q: it must end in exec of a program in bin/", run)
	}
	out := t.TempDir()
	build := strings.ReplaceAll(line("build"), " -o bin/ ./cmd/...", " -o "+out+"/ ./cmd/"+program)
	if !strings.Contains(build, out) {
		t.Fatalf("build is %q: the test does not find its output folder", build)
	}
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir, cmd.Env = root, append(os.Environ(), "CGO_ENABLED=0")
	if got, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, got)
	}
	f, err := elf.Open(filepath.Join(out, program))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no interpreter: the program is linked statically")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("the program needs the libraries %q (%v), without libc", libraries, err)
	}
}
