package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/hcl/v2"

	"scaleroute/internal/config"
	"scaleroute/internal/operator"
	"scaleroute/internal/opfile"
	"scaleroute/internal/route"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"An operators' file. Files that it includes are read too."`
	JSON bool   `help:"Print one line of JSON for each finding."`

	Platform string `type:"existingfile" help:"The platform's configuration (NODE_CONFIG): limits are also checked against its classes and their time limits."`
}

// Run returns no error if the file can be used, even if there are warnings.
func (c *checkCommand) Run(out io.Writer, errs stderr) error {
	r, err := opfile.Load(c.File, os.LookupEnv)
	if err != nil {
		return err
	}
	if err := writeDiagnostics(r, c.JSON, out, errs); err != nil {
		return err
	}
	if r.Config == nil {
		return errFindings
	}
	return checkAgainstPlatform(r.Config, c.Platform, c.JSON, out, errs)
}

// checkAgainstPlatform reports settings that the platform's configuration does not allow. It checks nothing if platform, the file's name, is empty.
func checkAgainstPlatform(set *operator.Config, platform string, asJSON bool, out io.Writer, errs stderr) error {
	if platform == "" {
		return nil
	}
	p, err := config.ReadFile(platform)
	if err != nil {
		return err
	}
	problems := set.CheckPlatform(p.Settings)
	for i, b := range append(problems, set.PlatformWarnings(p.Settings)...) {
		where, level := cmp.Or(set.Positions[b.Key], b.Key), "Error"
		if i >= len(problems) {
			level = "Warning"
		}
		if asJSON {
			err = json.NewEncoder(out).Encode(map[string]any{"error": level == "Error", "where": where, "what": b.What, "remedy": b.Remedy})
		} else {
			_, err = fmt.Fprintf(errs, "%s: %s: %s\n\n%s\n\n", level, where, b.What, b.Remedy)
		}
		if err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return errFindings
	}
	return nil
}

// loadConfig loads an operators' file, or a resolved file (.json) such as that of a running daemon. It returns an error if the
// file is invalid.
func loadConfig(file string, out io.Writer, errs stderr) (*operator.Config, error) {
	if filepath.Ext(file) == ".json" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return operator.Decode(file, text)
	}
	r, err := opfile.Load(file, os.LookupEnv)
	if err == nil {
		err = writeDiagnostics(r, false, out, errs)
	}
	if err == nil && r.Config == nil {
		err = fmt.Errorf("%s has errors: see scaleroutectl check", file)
	}
	if err != nil {
		return nil, err
	}
	return r.Config, nil
}

type explainCommand struct {
	File        string            `arg:"" type:"existingfile" help:"An operators' file, or a resolved one (.json)."`
	Class       string            `required:"" help:"The message's class."`
	Destination int               `required:"" help:"The destination that the client names."`
	Front       string            `default:"resp2" help:"The front that receives the message."`
	Field       map[string]string `placeholder:"NAME=VALUE" help:"Another field that the client sends. Can be repeated."`
	JSON        bool              `help:"Print one line of JSON for each setting."`
}

func (c *explainCommand) Run(out io.Writer, errs stderr) error {
	set, err := loadConfig(c.File, out, errs)
	if err != nil {
		return err
	}
	list, err := set.Explain(&route.Message{Front: c.Front, Class: c.Class, Destination: c.Destination,
		Field: func(name string) (string, bool) { v, there := c.Field[name]; return v, there }})
	if err != nil {
		return err
	}
	for _, e := range list {
		if c.JSON {
			err = json.NewEncoder(out).Encode(e)
		} else {
			_, err = fmt.Fprintf(out, "%s: %s\t%s\n", e.Key, e.New, e.NewPosition)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

type diffCommand struct {
	Old  string `arg:"" type:"existingfile" help:"An operators' file, or a resolved one (.json)."`
	New  string `arg:"" type:"existingfile" help:"The file to compare it with, of either kind."`
	JSON bool   `help:"Print one line of JSON for each change."`
}

func (c *diffCommand) Run(out io.Writer, errs stderr) error {
	before, err := loadConfig(c.Old, out, errs)
	if err != nil {
		return err
	}
	after, err := loadConfig(c.New, out, errs)
	if err != nil {
		return err
	}
	list := operator.Diff(before, after)
	for _, d := range list {
		if c.JSON {
			err = json.NewEncoder(out).Encode(d)
		} else {
			_, err = fmt.Fprintf(out, "%s: %s from %s to %s\t%s -> %s\n", d.Scope, d.Key, d.Old, d.New, cmp.Or(d.OldPosition, "-"), cmp.Or(d.NewPosition, "-"))
		}
		if err != nil {
			return err
		}
	}
	if len(list) > 0 {
		return errFindings
	}
	return nil
}

// writeDiagnostics prints the errors and warnings of a file: as JSON to out, or as text with excerpts to errs.
func writeDiagnostics(r *opfile.Result, asJSON bool, out io.Writer, errs stderr) error {
	if !asJSON {
		return hcl.NewDiagnosticTextWriter(errs, r.Files, 100, false).WriteDiagnostics(r.Diags)
	}
	for _, d := range r.Diags {
		line := map[string]any{"error": d.Severity == hcl.DiagError, "what": d.Summary, "remedy": d.Detail}
		if d.Subject != nil {
			line["file"], line["line"], line["column"] = d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column
		}
		if err := json.NewEncoder(out).Encode(line); err != nil {
			return err
		}
	}
	return nil
}

type fmtCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Operators' files."`
	Write bool     `short:"w" xor:"how" help:"Write the formatted text back to the files."`
	Check bool     `xor:"how" help:"Only print the names of files that formatting would change, and exit with 1 if there are any."`
}

func (c *fmtCommand) Run(out io.Writer) error {
	changed := false
	for _, name := range c.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		formatted, err := opfile.Format(text, name)
		if err != nil {
			return err
		}
		same := bytes.Equal(text, formatted)
		changed = changed || !same
		switch {
		case c.Check && !same:
			fmt.Fprintln(out, name)
		case c.Check || c.Write && same:
		case c.Write:
			err = replaceFile(name, formatted)
		default:
			_, err = out.Write(formatted)
		}
		if err != nil {
			return err
		}
	}
	if c.Check && changed {
		return errFindings
	}
	return nil
}

type compileCommand struct {
	File string `arg:"" type:"existingfile" help:"An operators' file. Files that it includes are read too."`
	To   string `short:"o" required:"" placeholder:"FILE" help:"The resolved file to write. It is replaced atomically."`

	Platform string `type:"existingfile" help:"The platform's configuration (NODE_CONFIG), used as by check."`
}

func (c *compileCommand) Run(out io.Writer, errs stderr) error {
	r, err := opfile.Load(c.File, os.LookupEnv)
	if err != nil {
		return err
	}
	if err := writeDiagnostics(r, false, out, errs); err != nil {
		return err
	}
	if r.Config == nil {
		return errFindings
	}
	if err := checkAgainstPlatform(r.Config, c.Platform, false, out, errs); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r.Config, "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(c.To, append(text, '\n'))
}

// replaceFile atomically replaces a file and keeps its mode. A symbolic link is followed.
func replaceFile(name string, text []byte) (err error) {
	if to, e := filepath.EvalSymlinks(name); e == nil {
		name = to
	}
	f, err := os.CreateTemp(filepath.Dir(name), ".scaleroutectl-")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	mode := os.FileMode(0o644)
	if info, e := os.Stat(name); e == nil {
		mode = info.Mode().Perm()
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Chmod(mode), f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}
