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

// BenchmarkAnswerDelay measures the time until a message is answered, for destinations of the part and for destinations outside it that have to be looked up,
// with real processes. Each destination outside is new, so that none is answered from the fetched ones.
func BenchmarkAnswerDelay(b *testing.B) {
	const events = 1000
	w := newPartialListEnv(b, 2, events)
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	for _, kind := range []string{"owned", "outside"} {
		b.Run(kind, func(b *testing.B) {
			destinations := map[string][]int{"owned": w.ownedDestinations, "outside": w.otherDestinations}[kind]
			for b.Loop() {
				took := make([]time.Duration, 0, events)
				for i, d := range destinations {
					began := time.Now()
					if got := c.enqueueTo(fmt.Sprint(kind, b.N, "-", i), "harmless", d); got != "+OK" {
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
	s := p.controlStatus()
	b.Logf("%+v", s)
}

// BenchmarkPartialListMemory measures a forwarder's memory and the time until it serves with 200,000 destinations in the fleet: with a part of some 1,000 of
// them, with the whole list, and, as a baseline, with one destination.
func BenchmarkPartialListMemory(b *testing.B) {
	const destinations, members = 200_000, 600
	for _, kind := range []string{"one", "part", "whole"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				w := newPartialListEnv(b, 0, 1)
				var list strings.Builder
				listed := map[string]int{"one": 1}[kind]
				if listed == 0 {
					listed = destinations
				}
				for d := range listed {
					if d > 0 {
						list.WriteByte(',')
					}
					list.WriteString(w.endpointJSON(fmt.Sprint("s", d), d, "SERVING"))
				}
				w.mu.Lock()
				w.endpoints = list.String()
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
					s := p.awaitControlStatus("the part is not received", func(s controlclient.Status) bool { return s.Complete })
					b.ReportMetric(float64(s.Part.Destinations), "destinations")
				} else {
					p.awaitStats("the list is not received", func(s operations.Stats) bool { return s.Registry == listed })
				}
				time.Sleep(3 * time.Second)
				b.ReportMetric(float64(p.memoryKiB("VmRSS"))/1024, "MB-resident")
				b.ReportMetric(float64(p.memoryKiB("VmHWM"))/1024, "MB-peak")
				p.kill()
			}
		})
	}
}

// addServer starts a control server with the given number of members and as many partitions and replicas as the capacity plan has for its fleet.
func (w *partialListEnv) addServer(t testing.TB, members int) {
	w.set.Partitions, w.set.Replicas = 1<<16, 3
	w.options.Layout.Partitions, w.options.Layout.Replicas = w.set.Partitions, w.set.Replicas
	s := &controlProcess{w: w, address: "127.0.0.1:0"}
	s.start()
	w.servers, w.set.Servers = append(w.servers, s), []string{s.address}
	w.writeOperatorsFile()
	for i := range members {
		s.join(fmt.Sprint("n", i))
	}
	s.mustGet("/v1/servers?destinations=AA") // waits until the server has the list
}

// memoryKiB returns a value of the process's /proc status file, in KiB.
func (p *process) memoryKiB(name string) int {
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

// BenchmarkLookupBytes measures the bytes of a lookup on the wire, headers included, by the number of destinations in it.
func BenchmarkLookupBytes(b *testing.B) {
	w := newPartialListEnv(b, 1, 64)
	c := controlclient.New(controlclient.Config{Servers: w.set.Servers, Layout: partialListLayout, Name: "n0"})
	defer c.Close()
	for _, n := range []int{1, 4, 8, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, spent, err := c.Lookup(b.Context(), w.otherDestinations[:n], 0)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(spent), "bytes")
				b.ReportMetric(float64(spent)/float64(n), "bytes/destination")
			}
		})
	}
}

// BenchmarkPartitionMoveBytes measures the bytes that a forwarder receives for each change of its part, next to the bytes of its first whole part.
func BenchmarkPartitionMoveBytes(b *testing.B) {
	const destinations, members, leave = 20_000, 60, 4
	for b.Loop() {
		w := newPartialListEnv(b, 0, 1)
		entries := make([]string, destinations)
		for d := range entries {
			entries[d] = w.endpointJSON(fmt.Sprint("s", d), d, "SERVING")
		}
		w.mu.Lock()
		w.endpoints = strings.Join(entries, ",")
		w.mu.Unlock()
		w.addServer(b, members)
		p := w.start()
		bytes := func(s controlclient.Status) float64 {
			return float64(s.Traffic["watch"].Sent + s.Traffic["watch"].Received + s.Traffic["scope"].Sent + s.Traffic["scope"].Received)
		}
		first := p.awaitControlStatus("the part is not received", func(s controlclient.Status) bool { return s.Complete })
		before := first
		for i := range leave {
			w.servers[0].leave(fmt.Sprint("n", members-1-i))
			before = p.awaitControlStatus("the part does not change", func(s controlclient.Status) bool {
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
