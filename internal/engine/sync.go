package engine

import "slices"

// batch is what may show outside once the journal is synced so far.
type batch struct {
	written int64
	effects []func()
}

// settle makes the journal's end as durable as the rest, and lets what waited for that show outside.
func (l *Engine) settle() error {
	if err := l.journal.Flush(); err != nil {
		return err
	}
	written, sync := l.journal.Unsynced()
	var err error
	if sync != nil {
		err = sync()
	}
	return l.synced(written, err)
}

// sync has a goroutine sync what is written, unless one does, or nothing is to be synced.
func (l *Engine) sync() {
	if l.syncing {
		return
	}
	if written, sync := l.journal.Unsynced(); sync != nil {
		l.syncing = true
		go func() { l.tell(syncEnded{written, sync()}) }()
	}
}

// synced lets what waited for a sync show outside.
func (l *Engine) synced(written int64, err error) error {
	if err := l.journal.Synced(written, err); err != nil {
		return err
	}
	n := 0
	for ; n < len(l.waiting) && l.journal.Covered(l.waiting[n].written); n++ {
		for _, do := range l.waiting[n].effects {
			do()
		}
	}
	l.waiting = slices.Delete(l.waiting, 0, n)
	if len(l.waiting) > 0 {
		l.sync()
	}
	return nil
}
