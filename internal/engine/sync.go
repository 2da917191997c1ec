package engine

import "slices"

// batch is a list of effects that may run once the journal is synced up to written.
type batch struct {
	written int64
	effects []effect
}

// flushAndSync flushes and syncs the end of the journal, and runs the effects that waited for that.
func (l *Engine) flushAndSync() error {
	if l.journal.Failure() != nil && l.journal.Resume() == nil { // last attempt to resume writing
		for l.journal.Rebuilding() && l.journal.Rebuild(rebuildChunk) == nil {
		}
	}
	if err := l.journal.Flush(); err != nil {
		l.journalFailed(err)
		return err
	}
	written, sync := l.journal.PrepareSync()
	var err error
	if sync != nil {
		err = sync()
	}
	l.completeSync(written, err)
	return l.journal.Failure()
}

// startSync starts a goroutine that syncs what is written, unless one is running or nothing needs a sync.
func (l *Engine) startSync() {
	if l.syncing {
		return
	}
	if written, sync := l.journal.PrepareSync(); sync != nil {
		l.syncing = true
		go func() { l.post(syncCompleted{written, sync()}) }()
	}
}

// completeSync runs the effects that waited for this sync.
func (l *Engine) completeSync(written int64, err error) {
	if err := l.journal.FinishSync(written, err); err != nil {
		l.journalFailed(err)
		return
	}
	n := 0
	for ; n < len(l.awaitingSync) && l.journal.IsSynced(l.awaitingSync[n].written); n++ {
		for _, effect := range l.awaitingSync[n].effects {
			effect.run()
		}
	}
	l.awaitingSync = slices.Delete(l.awaitingSync, 0, n)
	if len(l.awaitingSync) > 0 {
		l.startSync()
	}
}
