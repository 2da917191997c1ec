package engine

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/journal"
)

// blockingFS is a folder that counts its syncs and can block them or make them fail.
type blockingFS struct {
	journal.FS
	results chan error // each sync receives its result from here; nil or closed lets syncs succeed
	syncs   atomic.Int64
}

type blockingFile struct {
	journal.File
	fs *blockingFS
}

func (g *blockingFS) Open(name string, create bool) (journal.File, error) {
	f, err := g.FS.Open(name, create)
	return blockingFile{f, g}, err
}

func (f blockingFile) Sync() error {
	f.fs.syncs.Add(1)
	if f.fs.results != nil {
		if err, open := <-f.fs.results; open {
			return err
		}
	}
	return f.File.Sync()
}

// TestNoEffectBeforeSync checks that with group commit neither the answer nor the call is made before a sync covers the records
// they depend on, that a failed sync rejects the message, and that the engine accepts messages again once syncs succeed.
func TestNoEffectBeforeSync(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprintf("fails=%v", fails), func(t *testing.T) {
			fs := &blockingFS{}
			n := startEngine(t, func(w *testConfig) {
				fs.FS = journal.DirFS(t.TempDir())
				w.journal = journal.Options{FS: fs, Durability: journal.Group}
				w.mayFail = fails
			})
			before := fs.syncs.Load()
			answers := make(chan Answer, 1)
			fs.results = make(chan error) // the message that follows makes the loop use it
			go func() { answers <- n.engine.Accept(note("m")) }()
			for fs.syncs.Load() == before { // until the sync blocks
				time.Sleep(time.Millisecond)
			}
			select {
			case a := <-answers:
				t.Fatalf("answered before the sync: %+v", a)
			default:
			}
			if fails {
				fs.results <- syscall.EIO
				if a := <-answers; a.Kind != Rejected { // a restart might find the message, so submitting it again is not harmless
					t.Errorf("%+v although the sync failed", a)
				}
				close(fs.results)
				for i := 0; ; i++ {
					if a := n.engine.Accept(note(fmt.Sprint("again", i))); a.Kind == Accepted {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
			fs.results <- nil
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
			close(fs.results)
			if got := <-n.calls; got != "m" {
				t.Error(got)
			}
		})
	}
}

// BenchmarkDurability accepts, sends and closes messages of many clients with each durability level.
func BenchmarkDurability(b *testing.B) {
	for _, d := range []journal.Durability{journal.Process, journal.Interval, journal.Group} {
		b.Run([]string{"process", "interval", "group"}[d], func(b *testing.B) {
			fs := &blockingFS{FS: journal.DirFS(b.TempDir())}
			n := startEngine(b, func(w *testConfig) {
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
					if a := n.engine.Accept(note(fmt.Sprint("m", id.Add(1)))); a.Kind == Accepted {
						a.ConfirmWritten(true)
					}
				}
			})
			b.ReportMetric(float64(fs.syncs.Load()-before)/float64(b.N), "syncs/message")
		})
	}
}
