package main

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"scaleroute/internal/door"
	"scaleroute/internal/engine"
	"scaleroute/internal/membership"
	"scaleroute/internal/operations"
)

// asked stands in for a forwarder's parts.
type asked struct {
	said  []string
	drain bool
}

func (a *asked) DisableEndpoint(name string) error {
	if a.said = append(a.said, "out "+name); name == "nobody" {
		return membership.ErrNeverListed
	}
	return nil
}
func (a *asked) EnableEndpoint(name string) error { a.said = append(a.said, "back "+name); return nil }
func (a *asked) Drain() error                     { a.drain = true; return nil }
func (a *asked) Resume() error                    { a.drain = false; return nil }
func (a *asked) Draining() bool                   { return a.drain }

// TestDoorCommands: each call at a real door, and what is wrong with a call.
func TestDoorCommands(t *testing.T) {
	control := operations.NewControl()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := door.New(control)
	go d.Serve(ln)
	defer d.Close()
	at := "--at=" + ln.Addr().String()
	a := &asked{}
	serve := func() {
		control.SetServing(operations.Components{Clients: a, Endpoints: a, Stats: func() *engine.Stats {
			return &engine.Stats{Classes: map[string]engine.ClassStats{"note": {Delivered: 5, RefusedAtIntake: 1, RefusedAfterAccept: 2}}, Relayed: 9, Open: 3, Listed: 4, OutOfRotation: 1}
		}})
	}
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"door ready " + at, 1, "starting"},
		{"serve", 0, ""},
		{"door ready " + at, 0, "ready"},
		{"door stats " + at, 0, "note          5          3        0"},
		{"door stats " + at, 0, "3 open, 9 written to targets, 4 targets listed, 1 of them out of rotation"},
		{"door stats --json " + at, 0, `"open_requests":3`},
		{"door maint " + at + " s/1 s2", 0, "s2 left out"},
		{"door maint " + at + " nobody s3", 2, "nobody: the forwarder says no: no target of that name was ever listed"},
		{"door back " + at + " s2", 0, "s2 put back"},
		{"door drain " + at, 0, "sent away"},
		{"door ready " + at, 1, "clients are sent away"},
		{"door take " + at, 0, "clients are taken"},
		{"door ready --at=nowhere", 2, "an address and a port"},
		{"door ready --at=127.0.0.1:1", 2, "is 'ops' or NODE_OPS set there"},
		{"door ready", 2, "--at"},
	} {
		if c.args == "serve" {
			serve()
			continue
		}
		var out bytes.Buffer
		t.Setenv("NODE_OPS", "")
		if status := run(strings.Fields(c.args), &out, &out); status != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %d\n%s", c.args, status, out.String())
		}
	}
	if got := strings.Join(a.said, ", "); got != "out s/1, out s2, out nobody, out s3, back s2" || a.drain {
		t.Errorf("told %s, draining %v", got, a.drain)
	}
	if err := control.DrainClients(context.Background()); err != nil || !a.drain {
		t.Error(err)
	}
}
