package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	controlclient "scaleroute/internal/control/client"
	"scaleroute/internal/operations"
)

// BenchmarkOutside measures how long the answer to an event takes, for a destination of the part and for one outside that has to be looked up, with real processes.
// Each destination outside is new: none is answered from what was fetched.
func BenchmarkOutside(b *testing.B) {
	const events = 1000
	w := newPartWorld(b, 2, events)
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	for _, kind := range []string{"owned", "outside"} {
		b.Run(kind, func(b *testing.B) {
			destinations := map[string][]int{"owned": w.inside, "outside": w.outside}[kind]
			for b.Loop() {
				took := make([]time.Duration, 0, events)
				for i, d := range destinations {
					began := time.Now()
					if got := c.hand(fmt.Sprint(kind, b.N, "-", i), "harmless", d); got != "+OK" {
						b.Fatalf("%q", got)
					}
					took = append(took, time.Since(began))
				}
				slices.Sort(took)
				b.ReportMetric(took[events/2].Seconds()*1e3, "median-ms")
				b.ReportMetric(took[events*99/100].Seconds()*1e3, "p99-ms")
			}
		})
	}
	s := p.status()
	b.Logf("%+v", s)
}

// BenchmarkPartMemory measures a forwarder's memory and the time until it serves with 200,000 destinations in the fleet: with a part of some 1,000 of them, with the whole list,
// and, for what a process has in any case, with one destination.
func BenchmarkPartMemory(b *testing.B) {
	const destinations, members = 200_000, 600
	for _, kind := range []string{"one", "part", "whole"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				w := newPartWorld(b, 0, 1)
				var list strings.Builder
				listed := map[string]int{"one": 1}[kind]
				if listed == 0 {
					listed = destinations
				}
				for d := range listed {
					if d > 0 {
						list.WriteByte(',')
					}
					list.WriteString(w.entry(fmt.Sprint("s", d), d, "SERVING"))
				}
				w.mu.Lock()
				w.listing = list.String()
				w.mu.Unlock()
				if kind == "part" {
					w.addServer(b, members)
				} else {
					w.args = nil
				}
				began := time.Now()
				p := w.start()
				b.ReportMetric(time.Since(began).Seconds(), "s-to-serve")
				if kind == "part" {
					s := p.statusWhen("no part", func(s controlclient.Status) bool { return s.Complete })
					b.ReportMetric(float64(s.Part.Destinations), "destinations")
				} else {
					p.stats("the list is not there", func(s operations.Stats) bool { return s.Registry == listed })
				}
				time.Sleep(3 * time.Second)
				b.ReportMetric(float64(p.memory("VmRSS"))/1024, "MB-resident")
				b.ReportMetric(float64(p.memory("VmHWM"))/1024, "MB-peak")
				p.kill()
			}
		})
	}
}

// addServer starts a control server that knows so many members and a layout as large as the plan's is for its fleet.
func (w *partWorld) addServer(t testing.TB, members int) {
	w.set.Partitions, w.set.Replicas = 1<<16, 3
	w.options.Layout.Partitions, w.options.Layout.Replicas = w.set.Partitions, w.set.Replicas
	s := &controlProcess{w: w, address: "127.0.0.1:0"}
	s.start()
	w.servers, w.set.Servers = append(w.servers, s), []string{s.address}
	w.operators()
	for i := range members {
		s.join(fmt.Sprint("n", i))
	}
	s.get("/v1/servers?destinations=AA") // it has the list
}

// memory is a figure of the process's, in KiB.
func (p *process) memory(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, name+":"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// BenchmarkLookupBytes measures what a look-up costs on the wire, headers included, by the number of destinations that it asks for.
func BenchmarkLookupBytes(b *testing.B) {
	w := newPartWorld(b, 1, 64)
	c := controlclient.New(controlclient.Config{Servers: w.set.Servers, Layout: partLayout, Name: "n0"})
	defer c.Close()
	for _, n := range []int{1, 4, 8, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, spent, err := c.Lookup(b.Context(), w.outside[:n], 0)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(spent), "bytes")
				b.ReportMetric(float64(spent)/float64(n), "bytes/destination")
			}
		})
	}
}

// BenchmarkPartMoves measures the bytes by which a forwarder follows a part that changes, against those by which it got all of it.
func BenchmarkPartMoves(b *testing.B) {
	const destinations, members, leave = 20_000, 60, 4
	for b.Loop() {
		w := newPartWorld(b, 0, 1)
		entries := make([]string, destinations)
		for d := range entries {
			entries[d] = w.entry(fmt.Sprint("s", d), d, "SERVING")
		}
		w.mu.Lock()
		w.listing = strings.Join(entries, ",")
		w.mu.Unlock()
		w.addServer(b, members)
		p := w.start()
		bytes := func(s controlclient.Status) float64 {
			return float64(s.Traffic["watch"].Sent + s.Traffic["watch"].Received + s.Traffic["scope"].Sent + s.Traffic["scope"].Received)
		}
		first := p.statusWhen("no part", func(s controlclient.Status) bool { return s.Complete })
		before := first
		for i := range leave {
			w.servers[0].leave(fmt.Sprint("n", members-1-i))
			before = p.statusWhen("the part does not move", func(s controlclient.Status) bool {
				return s.Members == members-1-i && s.Partitions != before.Partitions
			})
		}
		b.ReportMetric(bytes(first), "bytes-whole")
		b.ReportMetric((bytes(before)-bytes(first))/leave, "bytes-a-leaver")
		b.ReportMetric(float64(first.Part.Destinations), "destinations")
		b.ReportMetric(float64(before.Part.Destinations-first.Part.Destinations)/leave, "destinations-gained")
		p.kill()
	}
}
