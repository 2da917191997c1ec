package journal

import (
	"fmt"
	"runtime"
	"testing"

	"scaleroute/internal/message"
)

// BenchmarkRecovery measures opening a folder with the given number of queued messages of 100 bytes.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			dir, limit := b.TempDir(), int64(n)*1500+64<<20
			j, err := Open(dir, Options{DiskLimit: limit})
			if err != nil {
				b.Fatal(err)
			}
			body := message.Bytes(make([]byte, 100))
			for i := range n {
				s := &MessageState{ID: fmt.Sprintf("%016x", i), Class: "status-update", Body: body}
				if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
					b.Fatal(reserved, err)
				}
				if err := j.RecordAccepted(s); err != nil {
					b.Fatal(err)
				}
				if i%100 == 0 {
					if err := j.Flush(); err != nil {
						b.Fatal(err)
					}
				}
			}
			if err := j.Flush(); err != nil {
				b.Fatal(err)
			}
			j.Close()
			j = nil
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				if j != nil {
					j.Close()
				}
				if j, err = Open(dir, Options{DiskLimit: limit}); err != nil || len(j.live) != n {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/message")
			j.Close()
		})
	}
}

// BenchmarkWrite accepts a message, records one attempt and closes it, while other messages use the given share of the
// disk space. It reports how many bytes are written for each byte of a body.
func BenchmarkWrite(b *testing.B) {
	for _, share := range []float64{0.1, 0.5, 0.9} {
		b.Run(fmt.Sprintf("used=%.0f%%", 100*share), func(b *testing.B) {
			j, err := Open(b.TempDir(), Options{DiskLimit: 64 << 20})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			body, queued := message.Bytes(make([]byte, 1000)), 0
			accept := func(id string) bool {
				s := &MessageState{ID: id, Class: "status-update", Body: body}
				reserved, err := j.Reserve(s.Size())
				if err == nil && reserved {
					err = j.RecordAccepted(s)
				}
				if err != nil {
					b.Fatal(err)
				}
				return reserved
			}
			for accept(fmt.Sprint("h", queued)) {
				queued++
			}
			for i := int(share * float64(queued)); i < queued; i++ {
				j.RecordClosed(fmt.Sprint("h", i))
			}
			if err := j.Flush(); err != nil {
				b.Fatal(err)
			}
			wrote, n := j.writtenBytes, 0
			for b.Loop() {
				id := fmt.Sprint("m", n)
				n++
				if !accept(id) {
					b.Fatal("no space")
				}
				j.RecordSending(id)
				j.RecordClosed(id)
				if err := j.Flush(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(j.writtenBytes-wrote)/float64(n*len(body)), "written/taken")
		})
	}
}
