// Package operator is what operators have set, resolved: includes merged, defaults applied, the environment read. It does no
// I/O. The daemon reads this form only; scaleroutectl makes it from the operators' file (package opfile), so that the lean
// daemon carries no parser of that language.
package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"scaleroute/internal/journal"
)

// Format is the version of the resolved form that this program writes and reads.
const Format = 1

// Config is the resolved form.
type Config struct {
	Format  int     `json:"format"`
	Journal Journal `json:"journal"`
	Limits  []Limit `json:"limits,omitempty"` // by name: their order means nothing
	Pools   []Pool  `json:"pools,omitempty"`  // the same
	Routes  []Route `json:"routes,omitempty"` // the same
	// Unrouted says what becomes of a message that fits no route: go (to the destination that it names; empty is the same) or reject.
	Unrouted string   `json:"unrouted,omitempty"`
	Plugins  []Plugin `json:"plugins,omitempty"` // the same
	// PluginStatus is a file that tells what each plug-in has done, written anew as that changes; empty: none.
	PluginStatus string   `json:"plugin_status,omitempty"`
	Fleet        *Fleet   `json:"fleet,omitempty"`
	Control      *Control `json:"control,omitempty"`
	// Positions says which place set what: a path of keys, such as journal.durability, and a file with its line.
	Positions map[string]string `json:"where,omitempty"`

	names names
}

// Journal is how the state journal is kept.
type Journal struct {
	Durability string   `json:"durability"`           // process, interval or group: docs/journal.md
	SyncEvery  Duration `json:"sync_every,omitempty"` // with interval alone
}

// Limits of what may be set.
const (
	MinSyncEvery     = time.Millisecond
	MaxSyncEvery     = time.Minute
	DefaultSyncEvery = 100 * time.Millisecond
)

// Durabilities by their names.
var Durabilities = map[string]journal.Durability{"process": journal.Process, "interval": journal.Interval, "group": journal.Group}

// Default is what holds where nothing is set.
func Default() *Config { return &Config{Format: Format, Journal: Journal{Durability: "process"}} }

// Problem is something that must not be as it is set.
type Problem struct {
	Key    string // of Where
	What   string
	Remedy string
}

// Check lists what can't be carried out, or would break a rule.
func (c *Config) Check() (list []Problem) {
	add := func(key, what, remedy string) { list = append(list, Problem{key, what, remedy}) }
	d, known := Durabilities[c.Journal.Durability]
	every := time.Duration(c.Journal.SyncEvery)
	switch {
	case !known:
		add("journal.durability", fmt.Sprintf("there is no durability %q", c.Journal.Durability), `choose "process", "interval" or "group"`)
	case d == journal.Interval && (every < MinSyncEvery || every > MaxSyncEvery):
		add("journal.sync_every", fmt.Sprintf("the journal can't be synced every %v", every),
			fmt.Sprintf("set from %v to %v; more often than that is durability \"group\"", MinSyncEvery, MaxSyncEvery))
	case d != journal.Interval && every != 0:
		add("journal.sync_every", fmt.Sprintf("with durability %q nothing is synced at intervals", c.Journal.Durability),
			`remove sync_every, or set durability = "interval"`)
	}
	c.checkLimits(add)
	c.checkPools(add)
	c.checkRoutes(add)
	c.checkPlugins(add)
	c.checkFleet(add)
	c.checkControl(add)
	return list
}

// Error is the first of some problems as an error, with the place that set it; nil if there is none.
func (c *Config) Error(list []Problem) error {
	if len(list) == 0 {
		return nil
	}
	p := list[0]
	return fmt.Errorf("%s: %s: %s", cmp.Or(c.Positions[p.Key], p.Key), p.What, p.Remedy)
}

// Decode reads the resolved form, and checks it again: it may have been made by another version, or by hand. Errors begin
// with the file's name.
func Decode(file string, text []byte) (*Config, error) {
	c, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

func decode(text []byte) (*Config, error) {
	c := &Config{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("this is no resolved file; make one by scaleroutectl compile: %w", err)
	}
	if c.Format != Format {
		return nil, fmt.Errorf("format %d, and this program reads %d: make it by the scaleroutectl of the same version", c.Format, Format)
	}
	if err := c.Error(c.Check()); err != nil {
		return nil, err
	}
	return c, nil
}

// Duration is written with its unit.
type Duration time.Duration

func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
