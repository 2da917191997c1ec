package engine

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/journal"
)

// gatedFS is a folder whose syncs wait for a gate, fail when they are told to, and are counted.
type gatedFS struct {
	journal.FS
	gate  chan error // nil: open
	syncs atomic.Int64
}

type gatedFile struct {
	journal.File
	fs *gatedFS
}

func (g *gatedFS) Open(name string, create bool) (journal.File, error) {
	f, err := g.FS.Open(name, create)
	return gatedFile{f, g}, err
}

func (f gatedFile) Sync() error {
	f.fs.syncs.Add(1)
	if f.fs.gate != nil {
		if err, open := <-f.fs.gate; open {
			return err
		}
	}
	return f.File.Sync()
}

// TestNothingShowsBeforeTheSync: with group commit neither the answer nor the call comes before a sync has covered what
// they stand on; a sync that fails has the message rejected, and the loop accepts again once syncs succeed.
func TestNothingShowsBeforeTheSync(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprintf("fails=%v", fails), func(t *testing.T) {
			fs := &gatedFS{}
			n := startLoop(t, func(w *world) {
				fs.FS = journal.DirFS(t.TempDir())
				w.journal = journal.Options{FS: fs, Durability: journal.Group}
				w.fails = fails
			})
			before := fs.syncs.Load()
			answers := make(chan Answer, 1)
			fs.gate = make(chan error) // the loop reads it by the message that follows
			go func() { answers <- n.loop.Accept(note("m")) }()
			for fs.syncs.Load() == before { // until it waits at the gate
				time.Sleep(time.Millisecond)
			}
			select {
			case a := <-answers:
				t.Fatalf("answered before the sync: %+v", a)
			default:
			}
			if fails {
				fs.gate <- syscall.EIO
				if a := <-answers; a.Kind != Rejected { // a restart would find it: it is not harmless to hand it in again
					t.Errorf("%+v, though the sync failed", a)
				}
				close(fs.gate)
				for i := 0; ; i++ {
					if a := n.loop.Accept(note(fmt.Sprint("again", i))); a.Kind == Accepted {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
			fs.gate <- nil
			a := <-answers
			if a.Kind != Accepted {
				t.Fatalf("%+v", a)
			}
			a.ConfirmWritten(true)
			for fs.syncs.Load() == before+1 {
				time.Sleep(time.Millisecond)
			}
			if len(n.calls) > 0 {
				t.Error("called before the sync")
			}
			close(fs.gate)
			if got := <-n.calls; got != "m" {
				t.Error(got)
			}
		})
	}
}

// BenchmarkDurability takes messages on from many clients, sends and closes them, with each of the three promises.
func BenchmarkDurability(b *testing.B) {
	for _, d := range []journal.Durability{journal.Process, journal.Interval, journal.Group} {
		b.Run([]string{"process", "interval", "group"}[d], func(b *testing.B) {
			fs := &gatedFS{FS: journal.DirFS(b.TempDir())}
			n := startLoop(b, func(w *world) {
				w.diskMB, w.settings.MaxOpen, w.settings.Slots = 200, 0, 256
				w.journal = journal.Options{FS: fs, Durability: d}
			})
			go func() {
				for range n.calls {
				}
			}()
			var id atomic.Int64
			before := fs.syncs.Load()
			b.SetParallelism(64)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if a := n.loop.Accept(note(fmt.Sprint("m", id.Add(1)))); a.Kind == Accepted {
						a.ConfirmWritten(true)
					}
				}
			})
			b.ReportMetric(float64(fs.syncs.Load()-before)/float64(b.N), "syncs/message")
		})
	}
}
