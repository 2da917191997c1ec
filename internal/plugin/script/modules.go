package script

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/textproto"
	"net/url"
	"regexp"
	"slices"
	"strings"

	starjson "go.starlark.net/lib/json"
	starmath "go.starlark.net/lib/math"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"

	"scaleroute/internal/plugin"
)

const (
	maxJSONNesting   = 200 // levels of nested arrays and objects
	maxPatternBytes  = 1000
	maxCachedRegexps = 64
	bytesPerStep     = 16 // bytes of text that a built-in function processes for each step charged
)

// builtins returns the names that a file can use besides those of the language.
func (p *Program) builtins() starlark.StringDict {
	fn := starlark.NewBuiltin
	module := func(name string, members starlark.StringDict) *starlarkstruct.Module {
		for k, v := range members {
			if b, ok := v.(*starlark.Builtin); ok {
				members[k] = starlark.NewBuiltin(name+"."+k, countSteps(b))
			}
		}
		return &starlarkstruct.Module{Name: name, Members: members}
	}
	json := maps.Clone(starjson.Module.Members)
	json["decode"] = fn("decode", decodeJSON)
	return starlark.StringDict{
		"change": fn("change", change), "refuse": fn("refuse", refuse), "not_delivered": fn("not_delivered", notDelivered), "wait": fn("wait", wait),
		"log": fn("log", logLine), "count": fn("count", count), "seconds": fn("seconds", seconds),
		"json": module("json", json),
		"math": starmath.Module,
		"re":   module("re", starlark.StringDict{"matches": fn("", p.matches), "find": fn("", p.find), "replace": fn("", p.replace)}),
		"hash": module("hash", starlark.StringDict{"sha256": textFunction(func(s string) (string, error) {
			sum := sha256.Sum256([]byte(s))
			return hex.EncodeToString(sum[:]), nil
		}), "hmac_sha256": fn("", hmacSHA256)}),
		"base64": module("base64", starlark.StringDict{
			"encode": textFunction(func(s string) (string, error) { return base64.StdEncoding.EncodeToString([]byte(s)), nil }),
			"decode": textFunction(func(s string) (string, error) {
				b, err := base64.StdEncoding.DecodeString(s)
				return string(b), err
			})}),
		"form": module("form", starlark.StringDict{"decode": fn("", decodeForm), "encode": fn("", encodeForm)}),
		"mime": module("mime", starlark.StringDict{"field": fn("", mimeField), "set_field": fn("", setMIMEField), "remove_field": fn("", removeMIMEField)}),
	}
}

type builtinFunc = func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)

// countSteps wraps a built-in function so that it adds steps for the size of its arguments and its result. The interpreter would
// count the call alone.
func countSteps(b *starlark.Builtin) builtinFunc {
	return func(t *starlark.Thread, own *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		n := 0
		for _, a := range args {
			if s, ok := a.(starlark.String); ok {
				n += s.Len()
			}
		}
		for _, kv := range kwargs {
			if s, ok := kv[1].(starlark.String); ok {
				n += s.Len()
			}
		}
		t.Steps += uint64(n / bytesPerStep)
		v, err := starlark.Call(t, b, args, kwargs)
		if s, ok := v.(starlark.String); ok {
			t.Steps += uint64(s.Len() / bytesPerStep)
		}
		return v, err
	}
}

// textFunction returns a built-in function from a string to a string.
func textFunction(f func(string) (string, error)) *starlark.Builtin {
	return starlark.NewBuiltin("", func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		var s string
		if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &s); err != nil {
			return nil, err
		}
		out, err := f(s)
		return starlark.String(out), err
	})
}

// decodeJSON checks the nesting depth of a text before it calls the decoder, which is recursive.
func decodeJSON(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if len(args) > 0 {
		if s, ok := starlark.AsString(args[0]); ok && nestingDepth(s) > maxJSONNesting {
			return nil, fmt.Errorf("json.decode: nested more than %d deep", maxJSONNesting)
		}
	}
	return starlark.Call(t, starjson.Module.Members["decode"], args, kwargs)
}

func nestingDepth(s string) (maxDepth int) {
	depth, quoted := 0, false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
			maxDepth = max(maxDepth, depth)
		case c == ']' || c == '}':
			depth--
		}
	}
	return maxDepth
}

func logLine(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &text); err != nil {
		return nil, err
	}
	addLine(t.Local("result").(*plugin.Result), text)
	return starlark.None, nil
}

func count(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	name, n := "", 1
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "name", &name, "n?", &n); err != nil {
		return nil, err
	}
	r := t.Local("result").(*plugin.Result)
	name = plugin.SanitizeLine(name, plugin.MaxFieldName)
	if r.Counts == nil {
		r.Counts = map[string]int{}
	}
	if _, exists := r.Counts[name]; !exists && len(r.Counts) >= plugin.MaxCounters {
		return nil, fmt.Errorf("count: more than %d counters", plugin.MaxCounters)
	}
	r.Counts[name] += min(max(n, 0), 1<<30)
	return starlark.None, nil
}

func seconds(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var v starlark.Value
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "time", &v); err != nil {
		return nil, err
	}
	d, err := duration(v)
	if err != nil {
		return nil, fmt.Errorf("seconds: %w", err)
	}
	return starlark.Float(d.Seconds()), nil
}

// compilePattern compiles a regular expression. Matching costs at most the product of the sizes of text and pattern (RE2), for
// which steps are added.
func (p *Program) compilePattern(t *starlark.Thread, pattern, text string) (*regexp.Regexp, error) {
	if len(pattern) > maxPatternBytes {
		return nil, fmt.Errorf("a pattern of %d bytes; at most %d", len(pattern), maxPatternBytes)
	}
	t.Steps += uint64((len(text) + 1) * (len(pattern) + 1) / 256)
	if re := p.regexps[pattern]; re != nil {
		return re, nil
	}
	re, err := regexp.Compile(pattern)
	if err != nil {
		return nil, err
	}
	t.Steps += uint64(len(pattern) * 16)
	if len(p.regexps) >= maxCachedRegexps {
		clear(p.regexps)
	}
	p.regexps[pattern] = re
	return re, nil
}

func (p *Program) unpackRegexpArgs(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple, replacement *string) (re *regexp.Regexp, text string, err error) {
	var pattern string
	pairs := []any{"pattern", &pattern, "text", &text}
	if replacement != nil {
		pairs = append(pairs, "replacement", replacement)
	}
	if err = starlark.UnpackArgs(b.Name(), args, kwargs, pairs...); err == nil {
		re, err = p.compilePattern(t, pattern, text)
	}
	return re, text, err
}

func (p *Program) matches(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	re, text, err := p.unpackRegexpArgs(t, b, args, kwargs, nil)
	if err != nil {
		return nil, err
	}
	return starlark.Bool(re.MatchString(text)), nil
}

// find returns the first match and its groups, or None.
func (p *Program) find(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	re, text, err := p.unpackRegexpArgs(t, b, args, kwargs, nil)
	if err != nil {
		return nil, err
	}
	m := re.FindStringSubmatch(text)
	if m == nil {
		return starlark.None, nil
	}
	return stringList(m), nil
}

func stringList(m []string) *starlark.List {
	list := make([]starlark.Value, len(m))
	for i, s := range m {
		list[i] = starlark.String(s)
	}
	return starlark.NewList(list)
}

func (p *Program) replace(t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var replacement string
	re, text, err := p.unpackRegexpArgs(t, b, args, kwargs, &replacement)
	if err != nil {
		return nil, err
	}
	// The size of the result is limited before it is allocated.
	if n := len(re.FindAllStringIndex(text, -1)); n*len(replacement) > 16*plugin.MaxBody {
		return nil, fmt.Errorf("%d replacements by %d bytes: more than a message can hold", n, len(replacement))
	}
	return starlark.String(re.ReplaceAllString(text, replacement)), nil
}

func hmacSHA256(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var key, text string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "key", &key, "text", &text); err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, []byte(key))
	h.Write([]byte(text))
	return starlark.String(hex.EncodeToString(h.Sum(nil))), nil
}

// decodeForm returns a dict from names to lists of values.
func decodeForm(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &text); err != nil {
		return nil, err
	}
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	d := starlark.NewDict(len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := d.SetKey(starlark.String(name), stringList(values[name])); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// encodeForm encodes a dict from names to a value or a list of values, sorted by name.
func encodeForm(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var d *starlark.Dict
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "fields", &d); err != nil {
		return nil, err
	}
	values := url.Values{}
	for _, item := range d.Items() {
		name, ok := starlark.AsString(item[0])
		if !ok {
			return nil, errors.New("a name is no string")
		}
		list, ok := item[1].(starlark.Iterable)
		if !ok {
			list = starlark.NewList([]starlark.Value{item[1]})
		}
		for v := range starlark.Elements(list) {
			text, ok := starlark.AsString(v)
			if !ok {
				return nil, fmt.Errorf("a value of %.64q is no string", name)
			}
			values.Add(name, text)
		}
	}
	return starlark.String(values.Encode()), nil
}

// splitEntity splits a MIME entity (RFC 5322 section 2.1) after its last header field.
func splitEntity(text string) (fields, rest string) {
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := strings.Index(text, end); i >= 0 {
			return text[:i+len(end)/2], text[i+len(end)/2:]
		}
	}
	return text, ""
}

func mimeField(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text, name string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &text, "name", &name); err != nil {
		return nil, err
	}
	fields, _ := splitEntity(text)
	h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(fields + "\r\n"))).ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("no MIME header: %w", err)
	}
	if v := h.Values(name); len(v) > 0 {
		return starlark.String(v[0]), nil
	}
	return starlark.None, nil
}

// removeField removes a field from a header, including its continuation lines (RFC 5322 section 2.2.3).
func removeField(fields, name string) string {
	var out bytes.Buffer
	dropping := false
	for line := range strings.Lines(fields) {
		if line[0] != ' ' && line[0] != '\t' {
			field, _, _ := strings.Cut(line, ":")
			dropping = strings.EqualFold(strings.TrimSpace(field), name)
		}
		if !dropping {
			out.WriteString(line)
		}
	}
	return out.String()
}

func removeMIMEField(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text, name string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &text, "name", &name); err != nil {
		return nil, err
	}
	fields, rest := splitEntity(text)
	return starlark.String(removeField(fields, name) + rest), nil
}

func setMIMEField(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text, name, value string
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "text", &text, "name", &name, "value", &value); err != nil {
		return nil, err
	}
	if name == "" || strings.ContainsAny(name, ": \t\r\n") || strings.ContainsAny(value, "\r\n") {
		return nil, errors.New("a name has no colon or space, and a value is one line")
	}
	end := "\n"
	if strings.Contains(text, "\r\n") {
		end = "\r\n"
	}
	fields, rest := splitEntity(text)
	fields = removeField(fields, name)
	if fields != "" && !strings.HasSuffix(fields, "\n") {
		fields += end
	}
	return starlark.String(fields + name + ": " + value + end + rest), nil
}
