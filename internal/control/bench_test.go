package control

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

var benchLayout = ownership.Layout{Partitions: 1 << 21, Replicas: 3}

func fullCatalog(b *testing.B, entries int) *catalog.Catalog {
	list := catalog.New(benchLayout, catalog.DefaultLimits)
	list.Begin(1, true)
	for i := range entries {
		e := agent.Endpoint{Name: fmt.Sprintf("endpoint-%07d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: "zone-01", Type: "std", Group: i, Status: agent.Serving, Weight: 1.5}
		if err := list.Put(e); err != nil {
			b.Fatal(err)
		}
	}
	list.Commit()
	return list
}

// BenchmarkLoadStateDir loads a list snapshot from a state folder.
func BenchmarkLoadStateDir(b *testing.B) {
	const entries = 500_000
	folder := &stateDir{path: b.TempDir()}
	s := &Server{list: fullCatalog(b, entries)}
	if err := writeAtomically(folder.file(listFileName), func(to *bufio.Writer) error { return s.writeList(to, 1, -1) }); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if list := folder.loadList(benchLayout, catalog.DefaultLimits); list.Len() != entries {
			b.Fatal(list.Len())
		}
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/entries*1e6, "us/entry")
}

// BenchmarkPartSnapshot builds and compresses the snapshot of one forwarder's part, some 970 entries.
func BenchmarkPartSnapshot(b *testing.B) {
	options := Options{Layout: benchLayout, Limits: catalog.DefaultLimits}
	options.setDefaults()
	s := &Server{options: options, list: fullCatalog(b, 500_000), buildSlots: make(chan struct{}, 1)}
	random := rand.New(rand.NewPCG(1, 2))
	numbers := make([]uint32, 970*4)
	for i := range numbers {
		numbers[i] = random.Uint32N(uint32(benchLayout.Partitions))
	}
	scope := catalog.Scope{Partitions: ownership.NewSet(numbers...)}
	request := httptest.NewRequest("GET", "/", nil)
	request.Header.Set("Accept-Encoding", "gzip")
	size := 0
	for b.Loop() {
		body, err := s.buildList(b.Context(), -1, &scope, nil)
		if err != nil {
			b.Fatal(err)
		}
		answer := httptest.NewRecorder()
		s.writeJSON(answer, request, body)
		size = answer.Body.Len()
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkLoadFromDiscovery reads a full list from discovery into the catalog.
func BenchmarkLoadFromDiscovery(b *testing.B) {
	const entries = 500_000
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		to := bufio.NewWriterSize(w, 1<<20)
		to.WriteString(`{"index":1,"snapshot":true,"endpoints":[`)
		for i := range entries {
			if i > 0 {
				to.WriteByte(',')
			}
			e := agent.Endpoint{Name: fmt.Sprintf("endpoint-%07d", i), Address: "10.1.2.3:8080", Zone: "zone-01", Type: "std", Group: i, Status: agent.Serving, Weight: 1.5}
			to.Write(appendEntry(nil, &e, true))
		}
		to.WriteString("]}")
		to.Flush()
	}))
	defer discovery.Close()
	for b.Loop() {
		options := Options{Layout: benchLayout, Limits: catalog.DefaultLimits}
		options.setDefaults()
		ctx, cancel := context.WithCancel(b.Context())
		s := &Server{list: catalog.New(benchLayout, catalog.DefaultLimits), watches: newWatches(benchLayout, 1, 1), stateDir: &stateDir{}}
		go func() {
			for s.index() < 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		agent.New(discovery.Listener.Addr().String(), agent.Fleet{}).Stream(ctx, -1, options.Stream, &upstreamSink{server: s})
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/entries*1e6, "us/entry")
}
