package main

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// small is a world that is over in some seconds.
func small(t *testing.T) *options {
	t.Helper()
	return &options{Destinations: 18, Endpoints: 2, Hosts: 100, Messages: 600, Rate: 200, Clients: 16, Body: 100, Left: 3 * time.Second,
		Limit: 90 * time.Second, Slots: 32, DiskMB: 50, Sockets: 1024, Memory: 256, Latency: 5 * time.Millisecond,
		Sick: 0.5, Sickness: "mixed", Kills: 2, Drains: 2, Seed: 7, Quiet: true, PluginFailure: "refuse"}
}

func played(t *testing.T, o *options) *report {
	t.Helper()
	if _, err := exec.LookPath("go"); err != nil {
		t.Fatal("the lab builds the program: ", err)
	}
	r, err := run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRulesInTheLab runs the real program among destinations that are sick in every way, kills it twice
// while messages are on their way, and drains endpoints: every message has its one end, and no rule is broken.
func TestRulesInTheLab(t *testing.T) {
	r := played(t, small(t))
	if r.Broken() || r.CutOff {
		t.Errorf("%s %q", r.verdict(), r.Examples)
	}
	if r.Kills != 2 {
		t.Errorf("%d kills, 2 were asked for", r.Kills)
	}
	if r.Handed != 600 || r.Delivered+r.Refused+r.Failed != 600 {
		t.Errorf("%d handed in; %d delivered, %d refused, %d failed", r.Handed, r.Delivered, r.Refused, r.Failed)
	}
	if r.HealthyDone < r.Healthy*8/10 { // some calls are cut off by the kills
		t.Errorf("%d of %d delivered to destinations that are well", r.HealthyDone, r.Healthy)
	}
}

// TestUpgradesInTheLab: other processes take over under load, one of the two is killed in half of the cases, and operators leave endpoints out:
// no rule is broken, and nobody is left without an answer.
func TestUpgradesInTheLab(t *testing.T) {
	o := small(t)
	o.Kills, o.Upgrades, o.Bans = 0, 8, 3
	r := played(t, o)
	if r.Broken() || r.CutOff || r.Unheard > 0 {
		t.Errorf("%s %q; %d without an answer", r.verdict(), r.Examples, r.Unheard)
	}
	if u := r.Upgrades; u.Whole+u.OldKilled+u.NewKilled != 8 || u.Whole == 0 || u.OldKilled == 0 || u.NewKilled == 0 {
		t.Errorf("%+v: the run shows little", u)
	}
	if r.Handed != 600 || r.Delivered+r.Refused+r.Failed != 600 {
		t.Errorf("%d handed in; %d delivered, %d refused, %d failed", r.Handed, r.Delivered, r.Refused, r.Failed)
	}
}

// TestSilenceInTheLab: with half of the destinations silent from the start, and few slots, all messages for
// the others are delivered.
func TestSilenceInTheLab(t *testing.T) {
	o := small(t)
	o.Destinations, o.Endpoints, o.Messages, o.Rate, o.Slots = 60, 1, 600, 0, 16
	o.Sickness, o.Kills, o.Drains, o.Left = "silent", 0, 0, 8*time.Second
	r := played(t, o)
	if r.Broken() || r.HealthyDone < r.Healthy {
		t.Errorf("%d of %d delivered; %s %q", r.HealthyDone, r.Healthy, r.verdict(), r.Examples)
	}
}

// TestLabSeesBrokenRules runs the bare relay, which keeps no rule, at endpoints that fail: a lab that found
// nothing to complain of there could not find it in the program either.
func TestLabSeesBrokenRules(t *testing.T) {
	o := small(t)
	o.Relay, o.Kills, o.Sickness = true, 0, "failing"
	self := filepath.Join(t.TempDir(), "lab")
	if out, err := exec.Command("go", "build", "-o", self, ".").CombinedOutput(); err != nil {
		t.Skipf("building the lab: %v %s", err, out)
	}
	relayPath = self
	t.Cleanup(func() { relayPath = "" })
	if r := played(t, o); r.Lost == 0 {
		t.Errorf("a relay without a journal loses nothing: %+v", r.Verdict)
	}
}

// TestRoutesInTheLab: 100 generated routes, replaced by others under load, with kills: each message goes where they say, and no
// rule is broken. With the goals of other routes the check finds fault.
func TestRoutesInTheLab(t *testing.T) {
	o := small(t)
	o.Routes, o.Reloads, o.Messages, o.Sick = 100, 8, 1200, 0.2
	if r := played(t, o); r.Broken() || r.CutOff || r.HealthyDone < r.Healthy*8/10 {
		t.Errorf("%s %q; %d of %d", r.verdict(), r.Examples, r.HealthyDone, r.Healthy)
	}
	o = small(t)
	o.Routes, o.Kills, o.routesWrong = 100, 0, true
	if r := played(t, o); r.WrongGroup == 0 {
		t.Error("messages that go by other routes are not seen")
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for name, set := range map[string]func(*options){
		"destinations": func(o *options) { o.Destinations = 0 },
		"endpoints":    func(o *options) { o.Endpoints = 99 },
		"hosts":        func(o *options) { o.Hosts = 1 },
		"messages":     func(o *options) { o.Messages = -1 },
		"rate":         func(o *options) { o.Rate = -1 },
		"clients":      func(o *options) { o.Clients = 0 },
		"body":         func(o *options) { o.Body = 1 << 20 },
		"sick":         func(o *options) { o.Sick = 2 },
		"sickness":     func(o *options) { o.Sickness = "tired" },
		"left":         func(o *options) { o.Left = 0 },
		"kills":        func(o *options) { o.Kills = -1 },
	} {
		o := small(t)
		if err := o.check(); err != nil {
			t.Fatal(err)
		}
		if set(o); o.check() == nil {
			t.Errorf("%s: a value that is out of bounds is taken", name)
		}
	}
	for _, args := range [][]string{{"fast"}, {"-fast"}, {"-sick", "x"}, {"fleet"}, {"fleet", "run"}, {"fleet", "run", "/no/such"}, {"-destinations", "0"}} {
		if status := command(args, io.Discard, io.Discard); status != 2 {
			t.Errorf("%q: %d", args, status)
		}
	}
	if status := command([]string{"-help"}, io.Discard, io.Discard); status != 0 {
		t.Errorf("-help: %d", status)
	}
}

// TestPluginsInTheLab: the real program with plug-ins that rename, hang or mean harm, others in each of eight reloads, killed twice:
// no rule is broken, nothing is altered that has no plug-in, and what must not take effect twice goes out in one version.
func TestPluginsInTheLab(t *testing.T) {
	for name, set := range map[string]func(*options){
		"renames": func(o *options) { o.Plugin, o.PluginShare = "../../examples/plugins/rename-field.star", 1 },
		"hostile": func(o *options) { o.Hostile, o.PluginShare, o.Reloads = 6, 0.5, 8 },
	} {
		t.Run(name, func(t *testing.T) {
			o := small(t)
			o.Sick, o.Drains, o.Left = 0.2, 0, 2*time.Second
			set(o)
			r := played(t, o)
			if r.Broken() || r.CutOff || r.Handed != 600 || r.Delivered+r.Refused+r.Failed != 600 {
				t.Errorf("%s %q; %d handed in; %d delivered, %d refused, %d failed", r.verdict(), r.Examples, r.Handed, r.Delivered, r.Refused, r.Failed)
			}
			if name == "renames" && (r.Delivered < 300 || r.Unaltered > 0) {
				t.Errorf("%d delivered; %d calls with the field as it was", r.Delivered, r.Unaltered)
			}
		})
	}
}
