package main

import (
	"fmt"
	"strings"
	"time"

	"scaleroute/internal/standin"
)

// kinds are the ways in which a destination can be sick.
var kinds = []struct {
	name   string
	script func(*options) standin.Script
}{
	{"silent", func(*options) standin.Script { return standin.Script{Silent: true} }},
	{"refusing", func(*options) standin.Script { return standin.Script{Refusing: true} }},
	{"failing", func(o *options) standin.Script { return standin.Script{Latency: o.Latency, Errors: 0.8} }},
	{"full", func(o *options) standin.Script { return standin.Script{Latency: o.Latency, Full: 0.9} }},
	{"waits", func(o *options) standin.Script {
		return standin.Script{Latency: o.Latency, Full: 0.5, Wait: time.Second}
	}},
	{"limited", func(o *options) standin.Script {
		return standin.Script{Latency: o.Latency, Rate: 5, Span: time.Second, Wait: time.Second, Tells: true}
	}},
	{"resets", func(o *options) standin.Script {
		return standin.Script{Latency: o.Latency, ResetFirst: 0.2, ResetLast: 0.3}
	}},
	{"slow", func(o *options) standin.Script {
		return standin.Script{Latency: 100 * o.Latency, Jitter: 100 * o.Latency}
	}},
	{"cold", func(o *options) standin.Script {
		return standin.Script{Latency: o.Latency, Rate: 50, Cold: time.Now(), ColdFor: 9500 * time.Millisecond}
	}},
}

func sicknesses() []string {
	names := []string{"mixed"}
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// sicknessOf is the script of the nth sick destination.
func sicknessOf(name string, n int, o *options) (standin.Script, error) {
	for i, k := range kinds {
		if k.name == name || name == "mixed" && i == n%len(kinds) {
			return k.script(o), nil
		}
	}
	return standin.Script{}, fmt.Errorf("-sickness %q: there is %s", name, strings.Join(sicknesses(), ", "))
}
