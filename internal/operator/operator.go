// Package operator holds the operators' configuration in its resolved form: includes are merged, defaults applied and
// environment variables substituted. The package does no I/O. The daemon reads this form only. scaleroutectl compiles it from
// the operators' HCL file (package opfile), so that the daemon needs no HCL parser.
package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"scaleroute/internal/journal"
)

// Format is the version of the resolved form that this program reads and writes.
const Format = 1

// Config is the resolved configuration.
type Config struct {
	Format  int     `json:"format"`
	Journal Journal `json:"journal"`
	Limits  []Limit `json:"limits,omitempty"` // sorted by name; their order has no effect
	Pools   []Pool  `json:"pools,omitempty"`  // sorted by name; their order has no effect
	Routes  []Route `json:"routes,omitempty"` // sorted by name; their order has no effect
	// Unrouted is the action for a message that matches no route: ForwardUnrouted (the message goes to the destination that it
	// names; an empty value means the same) or RejectUnrouted.
	Unrouted string   `json:"unrouted,omitempty"`
	Plugins  []Plugin `json:"plugins,omitempty"` // sorted by name; their order has no effect
	// PluginStatus is the file to which the status of each plug-in is written, and rewritten when it changes. Empty means no file.
	PluginStatus string   `json:"plugin_status,omitempty"`
	Fleet        *Fleet   `json:"fleet,omitempty"`
	Control      *Control `json:"control,omitempty"`
	// Positions maps a key path, such as journal.durability, to the file and line that set it.
	Positions map[string]string `json:"where,omitempty"`

	lookup nameLookup
}

// Journal configures the state journal.
type Journal struct {
	Durability string   `json:"durability"`           // process, interval or group: docs/journal.md
	SyncEvery  Duration `json:"sync_every,omitempty"` // only with durability interval
}

// Bounds and default of Journal.SyncEvery.
const (
	MinSyncEvery     = time.Millisecond
	MaxSyncEvery     = time.Minute
	DefaultSyncEvery = 100 * time.Millisecond
)

// Durabilities maps the configured names to the levels of durability.
var Durabilities = map[string]journal.Durability{"process": journal.Process, "interval": journal.Interval, "group": journal.Group}

// Default returns the configuration that applies when operators set nothing.
func Default() *Config { return &Config{Format: Format, Journal: Journal{Durability: "process"}} }

// Problem is a finding about a setting: what is wrong and how to fix it.
type Problem struct {
	Key    string // a key of Config.Positions
	What   string
	Remedy string
}

// Check lists the settings that can't be applied or that break a rule.
func (c *Config) Check() (list []Problem) {
	add := func(key, what, remedy string) { list = append(list, Problem{key, what, remedy}) }
	d, known := Durabilities[c.Journal.Durability]
	syncEvery := time.Duration(c.Journal.SyncEvery)
	switch {
	case !known:
		add("journal.durability", fmt.Sprintf("there is no durability %q", c.Journal.Durability), `choose "process", "interval" or "group"`)
	case d == journal.Interval && (syncEvery < MinSyncEvery || syncEvery > MaxSyncEvery):
		add("journal.sync_every", fmt.Sprintf("the journal can't be synced every %v", syncEvery),
			fmt.Sprintf("set from %v to %v; more often than that is durability \"group\"", MinSyncEvery, MaxSyncEvery))
	case d != journal.Interval && syncEvery != 0:
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

// Error returns the first problem of the list as an error that begins with the position of the setting, or nil if the list is
// empty.
func (c *Config) Error(list []Problem) error {
	if len(list) == 0 {
		return nil
	}
	p := list[0]
	return fmt.Errorf("%s: %s: %s", cmp.Or(c.Positions[p.Key], p.Key), p.What, p.Remedy)
}

// Decode parses the resolved form and checks it again, since another version may have compiled it or an operator may have
// edited it by hand. Errors begin with the file's name.
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
		return nil, fmt.Errorf("this is no resolved file; compile one with scaleroutectl compile: %w", err)
	}
	if c.Format != Format {
		return nil, fmt.Errorf("format %d, and this program reads %d: compile the file with the scaleroutectl of the same version", c.Format, Format)
	}
	if err := c.Error(c.Check()); err != nil {
		return nil, err
	}
	return c, nil
}

// Duration is a time.Duration that is encoded as text with its unit.
type Duration time.Duration

func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
