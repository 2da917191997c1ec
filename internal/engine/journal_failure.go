package engine

import (
	"context"
	"log/slog"
	"time"
)

const (
	minResumePause      = 20 * time.Millisecond
	maxResumePause      = time.Second
	rebuildPause        = 2 * time.Millisecond // between two chunks of a rebuild
	rebuildChunk        = 256 << 10            // bytes per chunk
	noticeInterval      = 50 * time.Millisecond
	folderCheckInterval = time.Second // how often an idle loop checks whether the journal's folder was replaced
)

// journalFailure is the state of the loop from a journal failure until all messages are on disk again.
type journalFailure struct {
	since   time.Time // zero while all messages are on disk
	pause   time.Duration
	resume  time.Time // time of the next attempt to resume writing
	timer   *time.Timer
	notices []effect // completion notices that are not yet on disk
}

func newJournalFailure() journalFailure {
	timer := time.NewTimer(folderCheckInterval)
	return journalFailure{timer: timer}
}

// JournalFailing returns since when the journal has been failing, or zero if it is not. It may be called from any goroutine.
func (l *Engine) JournalFailing() time.Time {
	if since := l.journalFailingSince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}

// journalFailed records that the journal can't be written, and runs or undoes the waiting effects as far as that is possible without it.
func (l *Engine) journalFailed(why error) {
	if l.journalFailure.since.IsZero() {
		now := time.Now()
		l.journalFailure.since, l.journalFailure.pause = now, minResumePause
		l.journalFailingSince.Store(&now)
		slog.Error("the journal can't be kept: until it can, messages are turned away, and only those that are safe to repeat are sent", "held", len(l.entries), "err", why)
	}
	if l.journalFailure.resume.IsZero() {
		l.journalFailure.resume = time.Now().Add(l.journalFailure.pause)
		l.journalFailure.timer.Reset(l.journalFailure.pause)
	}
	waiting := l.awaitingSync
	l.awaitingSync = nil
	for _, batch := range waiting {
		l.runWithoutJournal(batch.effects)
	}
	effects := l.effects
	l.effects = nil
	l.runWithoutJournal(effects)
}

// checkJournal checks that the journal's folder is still in place, and drives the recovery after a failure.
func (l *Engine) checkJournal(ctx context.Context) {
	if l.journalFailure.since.IsZero() {
		if err := l.journal.CheckFolder(); err != nil {
			l.journalFailed(err)
			return
		}
		l.journalFailure.timer.Reset(folderCheckInterval)
		return
	}
	l.runDueNotices(time.Now())
	if l.journal.Failure() != nil {
		l.tryResume(ctx)
	} else if err := l.journal.Rebuild(rebuildChunk); err != nil {
		l.journalFailure.resume = time.Time{}
		l.journalFailed(err)
		return
	}
	switch {
	case l.journal.Failure() != nil:
		l.journalFailure.timer.Reset(min(noticeInterval, max(time.Until(l.journalFailure.resume), time.Millisecond)))
	case l.journal.Rebuilding():
		l.journalFailure.timer.Reset(rebuildPause)
	default:
		l.journalRecovered()
	}
}

// tryResume resumes writing the journal if an attempt is due, and then makes the attempts that waited for it.
func (l *Engine) tryResume(ctx context.Context) {
	now := time.Now()
	if now.Before(l.journalFailure.resume) {
		return
	}
	if err := l.journal.Resume(); err != nil {
		l.journalFailure.pause = min(2*l.journalFailure.pause, maxResumePause)
		l.journalFailure.resume = now.Add(l.journalFailure.pause)
		slog.Warn("the journal still can't be kept", "for", now.Sub(l.journalFailure.since).Round(time.Millisecond), "next", l.journalFailure.pause, "err", err)
		return
	}
	l.journalFailure.resume = time.Time{}
	slog.Info("the journal is written again: rebuilding it from the queued messages", "after", now.Sub(l.journalFailure.since).Round(time.Millisecond), "held", len(l.entries))
	l.sendAllPending(ctx)
}

// journalRecovered ends the failure: all messages are on disk, so the effects that waited for the journal run.
func (l *Engine) journalRecovered() {
	l.effects = append(l.effects, l.journalFailure.notices...)
	slog.Info("the journal has all that is held", "after", time.Since(l.journalFailure.since).Round(time.Millisecond), "notices", len(l.journalFailure.notices))
	l.journalFailure = journalFailure{timer: l.journalFailure.timer}
	l.journalFailure.timer.Reset(folderCheckInterval)
	l.journalFailingSince.Store(nil)
}

// runDueNotices sends the completion notices of messages whose deadline has passed: no restart would send those messages again.
func (l *Engine) runDueNotices(now time.Time) {
	kept := l.journalFailure.notices[:0]
	for _, notice := range l.journalFailure.notices {
		if now.Before(notice.entry.saved.Deadline) {
			kept = append(kept, notice)
		} else {
			notice.run()
		}
	}
	clear(l.journalFailure.notices[len(kept):])
	l.journalFailure.notices = kept
}
