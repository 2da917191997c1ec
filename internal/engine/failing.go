package engine

import (
	"context"
	"log/slog"
	"time"
)

const (
	minResumePause  = 20 * time.Millisecond
	maxResumePause  = time.Second
	rebuildPause    = 2 * time.Millisecond // between two parts of what is written anew
	rebuildPart     = 256 << 10            // bytes of one
	noticePause     = 50 * time.Millisecond
	folderCheckTime = time.Second // how often an idle loop looks whether its folder was replaced
)

// failing is what the loop does while its journal keeps no records, and until all is on disk again.
type failing struct {
	since   time.Time // zero: all is on disk
	pause   time.Duration
	resume  time.Time // the next try to keep records
	timer   *time.Timer
	notices []effect // completion notices that are not on disk
}

func newFailing() failing {
	timer := time.NewTimer(folderCheckTime)
	return failing{timer: timer}
}

// JournalFailing returns since when the journal keeps no records; zero if it does. It may be called from any goroutine.
func (l *Engine) JournalFailing() time.Time {
	if since := l.failingSince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// journalFailed notes that records can't be kept, and does what can be done without them with what waits to show.
func (l *Engine) journalFailed(ctx context.Context, why error) {
	if l.failing.since.IsZero() {
		now := time.Now()
		l.failing.since, l.failing.pause = now, minResumePause
		l.failingSince.Store(&now)
		slog.Error("the journal can't be kept: messages are rejected, and nothing is sent that may not be repeated, until it can", "held", len(l.entries), "err", why)
	}
	if l.failing.resume.IsZero() {
		l.failing.resume = time.Now().Add(l.failing.pause)
		l.failing.timer.Reset(l.failing.pause)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, batch := range waiting {
		l.showWithoutRecords(ctx, batch.effects)
	}
	effects := l.effects
	l.effects = nil
	l.showWithoutRecords(ctx, effects)
}

// lookAfterJournal looks whether the folder is still there, and has the journal keep records again after a failure.
func (l *Engine) lookAfterJournal(ctx context.Context) {
	if l.failing.since.IsZero() {
		if err := l.journal.CheckFolder(); err != nil {
			l.journalFailed(ctx, err)
			return
		}
		l.failing.timer.Reset(folderCheckTime)
		return
	}
	l.showDueNotices(time.Now())
	if l.journal.Failure() != nil {
		l.tryResume(ctx)
	} else if err := l.journal.Rebuild(rebuildPart); err != nil {
		l.failing.resume = time.Time{}
		l.journalFailed(ctx, err)
		return
	}
	switch {
	case l.journal.Failure() != nil:
		l.failing.timer.Reset(min(noticePause, max(time.Until(l.failing.resume), time.Millisecond)))
	case l.journal.Rebuilding():
		l.failing.timer.Reset(rebuildPause)
	default:
		l.journalRecovered()
	}
}

// tryResume has the journal keep records again if that is due, and begins the attempts that waited for it.
func (l *Engine) tryResume(ctx context.Context) {
	now := time.Now()
	if now.Before(l.failing.resume) {
		return
	}
	if err := l.journal.Resume(); err != nil {
		l.failing.pause = min(2*l.failing.pause, maxResumePause)
		l.failing.resume = now.Add(l.failing.pause)
		slog.Warn("the journal still can't be kept", "for", now.Sub(l.failing.since).Round(time.Millisecond), "next", l.failing.pause, "err", err)
		return
	}
	l.failing.resume = time.Time{}
	slog.Info("the journal is kept again; what is held is written anew", "after", now.Sub(l.failing.since).Round(time.Millisecond), "held", len(l.entries))
	l.sendAllPending(ctx)
}

// journalRecovered lets what waited for the journal show outside: all is on disk.
func (l *Engine) journalRecovered() {
	l.effects = append(l.effects, l.failing.notices...)
	slog.Info("the journal has all that is held", "after", time.Since(l.failing.since).Round(time.Millisecond), "notices", len(l.failing.notices))
	l.failing = failing{timer: l.failing.timer}
	l.failing.timer.Reset(folderCheckTime)
	l.failingSince.Store(nil)
}

// showDueNotices sends the completion notices of messages whose time is up: no restart sends those any more.
func (l *Engine) showDueNotices(now time.Time) {
	kept := l.failing.notices[:0]
	for _, notice := range l.failing.notices {
		if now.Before(notice.entry.saved.Deadline) {
			kept = append(kept, notice)
		} else {
			notice.show()
		}
	}
	clear(l.failing.notices[len(kept):])
	l.failing.notices = kept
}
