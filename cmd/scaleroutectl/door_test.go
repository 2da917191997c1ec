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

// fakeForwarder implements the parts of a forwarder that the admin API controls, and records their calls.
type fakeForwarder struct {
	calls []string
	drain bool
}

func (a *fakeForwarder) DisableEndpoint(name string) error {
	if a.calls = append(a.calls, "out "+name); name == "unlisted" {
		return membership.ErrNeverListed
	}
	return nil
}
func (a *fakeForwarder) EnableEndpoint(name string) error {
	a.calls = append(a.calls, "back "+name)
	return nil
}
func (a *fakeForwarder) Drain() error   { a.drain = true; return nil }
func (a *fakeForwarder) Resume() error  { a.drain = false; return nil }
func (a *fakeForwarder) Draining() bool { return a.drain }

// TestDoorCommands runs each command against a real admin API, and checks the error texts of commands that fail.
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
	a := &fakeForwarder{}
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
		{"door stats " + at, 0, "3 open, 9 written to endpoints, 4 endpoints listed, 1 of them out of rotation"},
		{"door stats --json " + at, 0, `"open_requests":3`},
		{"door maint " + at + " s/1 s2", 0, "s2 disabled"},
		{"door maint " + at + " unlisted s3", 2, "unlisted: the forwarder says no: no target of that name was ever listed"},
		{"door back " + at + " s2", 0, "s2 re-enabled"},
		{"door drain " + at, 0, "clients are being drained"},
		{"door ready " + at, 1, "clients are sent away"},
		{"door take " + at, 0, "clients are accepted"},
		{"door ready --at=nowhere", 2, "is not an address and a port"},
		{"door ready --at=127.0.0.1:1", 2, "is 'ops' or NODE_OPS set for that forwarder"},
		{"door ready", 2, "--at"},
	} {
		if c.args == "serve" {
			serve()
			continue
		}
		var out bytes.Buffer
		t.Setenv("NODE_OPS", "")
		if status := run(strings.Fields(c.args), &out, &out); status != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: exit %d\n%s", c.args, status, out.String())
		}
	}
	if got := strings.Join(a.calls, ", "); got != "out s/1, out s2, out unlisted, out s3, back s2" || a.drain {
		t.Errorf("the forwarder received %s; draining %v", got, a.drain)
	}
	if err := control.DrainClients(context.Background()); err != nil || !a.drain {
		t.Error(err)
	}
}
