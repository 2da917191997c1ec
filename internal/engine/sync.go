package engine

import (
	"context"
	"slices"
)

// batch is what may show outside once the journal is synced so far.
type batch struct {
	written int64
	effects []effect
}

// settle makes the journal's end as durable as the rest, and lets what waited for that show outside.
func (l *Engine) settle(ctx context.Context) error {
	if l.journal.Failure() != nil && l.journal.Resume() == nil { // once more: it is the last time
		for l.journal.Rebuilding() && l.journal.Rebuild(rebuildPart) == nil {
		}
	}
	if err := l.journal.Flush(); err != nil {
		l.journalFailed(ctx, err)
		return err
	}
	written, sync := l.journal.PrepareSync()
	var err error
	if sync != nil {
		err = sync()
	}
	l.synced(ctx, written, err)
	return l.journal.Failure()
}

// sync has a goroutine sync what is written, unless one does, or nothing is to be synced.
func (l *Engine) sync() {
	if l.syncing {
		return
	}
	if written, sync := l.journal.PrepareSync(); sync != nil {
		l.syncing = true
		go func() { l.tell(syncEnded{written, sync()}) }()
	}
}

// synced lets what waited for a sync show outside.
func (l *Engine) synced(ctx context.Context, written int64, err error) {
	if err := l.journal.FinishSync(written, err); err != nil {
		l.journalFailed(ctx, err)
		return
	}
	n := 0
	for ; n < len(l.waiting) && l.journal.IsSynced(l.waiting[n].written); n++ {
		for _, effect := range l.waiting[n].effects {
			effect.show()
		}
	}
	l.waiting = slices.Delete(l.waiting, 0, n)
	if len(l.waiting) > 0 {
		l.sync()
	}
}
