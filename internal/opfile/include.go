package opfile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// read reads a file and the files that it includes, each of them once. chain contains the files whose includes led to it, and
// from is the position of the last include.
func (l *loader) read(path string, chain []string, from *hcl.Range) {
	at := hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}
	if from != nil {
		at = *from
	}
	realPath, err := filepath.EvalSymlinks(path)
	if err == nil {
		realPath, err = filepath.Abs(realPath)
	}
	if err != nil {
		l.fail(at, "a file can't be read", err.Error())
		return
	}
	if i := slices.Index(chain, realPath); i >= 0 {
		l.fail(at, "files include each other in a cycle", strings.Join(append(slices.Clone(chain[i:]), realPath), "\n  includes ")+"\nRemove one of these includes.")
		return
	}
	if l.visited[realPath] {
		return
	}
	if len(l.visited) >= maxFiles {
		l.fail(at, fmt.Sprintf("more than %d files", maxFiles), "Does the pattern of an include match more than intended?")
		return
	}
	l.visited[realPath] = true
	text, err := readFile(path)
	if err != nil {
		l.fail(at, "a file can't be read", err.Error())
		return
	}
	file, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	l.files[path] = file
	l.diags = append(l.diags, diags...)
	body, ok := file.Body.(*hclsyntax.Body)
	if !ok {
		return
	}
	chain = append(slices.Clone(chain), realPath)
	if a := body.Attributes["include"]; a != nil {
		l.include(path, a, chain)
	}
	l.bodies = append(l.bodies, body)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s is not a regular file of at most %d MiB", path, maxFileBytes>>20)
	}
	text, err := os.ReadFile(path)
	if err == nil && !utf8.Valid(text) {
		line := 1 + strings.Count(string(text[:firstInvalid(text)]), "\n")
		return nil, fmt.Errorf("%s: line %d is not UTF-8: save the file in that encoding", path, line)
	}
	return text, err
}

func firstInvalid(text []byte) (at int) {
	for at < len(text) {
		r, n := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && n == 1 {
			break
		}
		at += n
	}
	return at
}

func (l *loader) include(path string, a *hclsyntax.Attribute, chain []string) {
	v, diags := a.Expr.Value(nil)
	l.diags = append(l.diags, diags...)
	if diags.HasErrors() {
		return
	}
	patterns, ok := stringList(v)
	if !ok {
		l.fail(a.Expr.Range(), "include takes files", `Write include = ["pools.hcl", "routes/*.hcl"].`)
		return
	}
	at := a.Expr.Range()
	for _, p := range patterns {
		full := p
		if !filepath.IsAbs(p) {
			full = filepath.Join(filepath.Dir(path), p)
		}
		found, err := filepath.Glob(full)
		switch {
		case err != nil:
			l.fail(at, fmt.Sprintf("%q is not a valid pattern", p), err.Error())
		case len(found) == 0 && strings.ContainsAny(p, "*?["):
			l.warn(at, fmt.Sprintf("no file matches %q", p), "Nothing is included. Patterns are relative to the folder of the including file.")
		case len(found) == 0:
			l.fail(at, fmt.Sprintf("there is no file %q", p), "Paths are relative to the folder of the including file: "+filepath.Dir(path))
		}
		slices.Sort(found)
		for _, f := range found {
			l.read(f, chain, &at)
		}
	}
}
