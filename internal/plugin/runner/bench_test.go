package runner

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/message"
)

// BenchmarkIntake measures the intake of a message up to its acceptance, and reports the CPU time of the host process as well.
func BenchmarkIntake(b *testing.B) {
	rename, err := os.ReadFile("../../../examples/plugins/rename-field.star")
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name, source string
		bytes        int
	}{{"none", "", 1 << 10}, {"empty", "def intake(message):\n    return None\n", 1 << 10}, {"rename/1kB", string(rename), 1 << 10}, {"rename/64kB", string(rename), 63 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			r := New(command(b))
			defer r.Close()
			if c.source != "" {
				r = newLoadedRunner(b, spec(b, "p", c.source))
			}
			m := map[string]string{"municipality": "Tartu"}
			for i := 0; i*60 < c.bytes-100; i++ {
				m[fmt.Sprintf("field%04d", i)] = strings.Repeat("x", 45)
			}
			body, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			f := r.Front(&acceptRecorder{})
			for b.Loop() {
				f.Accept(&message.Message{ID: "7f", Class: "note", Destination: 7, TimeLeft: 3 * time.Second, ReadAt: time.Now(), Body: message.Bytes(body)})
			}
			for _, s := range r.Status() {
				b.ReportMetric(s.CPU*1e6/float64(s.Calls), "host-µs/op")
				if s.Failed > 0 {
					b.Fatal(s.Errors)
				}
			}
		})
	}
}
