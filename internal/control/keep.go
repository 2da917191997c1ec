package control

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
)

// noteChange keeps what a list has changed, or has a snapshot written where that can't be written as a delta.
func (s *Server) noteChange(before int64, touched catalog.ChangedDestinations) {
	s.keepMu.Lock()
	defer s.keepMu.Unlock()
	if touched.All || s.folder.changes == nil {
		s.folder.endChanges()
		s.requestSave()
		return
	}
	if len(touched.Destinations) == 0 {
		return
	}
	var entries []byte
	count := 0
	s.listMu.RLock()
	index := s.list.Index()
	err := s.list.VisitChanges(&catalog.Scope{Whole: true}, before, func(e agent.Endpoint) {
		entries = appendFileEntry(append(entries, 1), &e)
		count++
	})
	s.listMu.RUnlock()
	if err != nil {
		s.folder.endChanges()
		s.requestSave()
		return
	}
	kept, err := s.folder.appendChanges(index, entries, count)
	if err != nil {
		slog.Error("changes are not kept until the next snapshot: make room in the state folder", "err", err)
		s.requestSave()
	}
	if kept && !s.snapshotMissing {
		s.keptIndex.Store(index)
	}
}

func (s *Server) requestSave() {
	select {
	case s.saveDue <- struct{}{}:
	default:
	}
}

// minSavePause is between two snapshots that are due at once.
const (
	minSavePause = 2 * time.Second
	maxLeaseSave = 2 * time.Second // between two times that the leases are kept
)

// saveRegularly writes snapshots of the list, and the leases.
func (s *Server) saveRegularly(ctx context.Context) {
	snapshots := time.NewTicker(s.options.SaveEvery)
	defer snapshots.Stop()
	leases := time.NewTicker(min(s.options.Lease/4, maxLeaseSave))
	defer leases.Stop()
	for {
		isDue := false
		select {
		case <-ctx.Done():
			return
		case <-s.saveDue:
			isDue = true
		case <-snapshots.C:
			isDue = true
		case <-leases.C:
			s.logSave("leases", s.saveMembers())
		}
		if isDue {
			s.logSave("list", s.saveList())
			sleep(ctx, min(minSavePause, s.options.SaveEvery))
		}
	}
}

func (s *Server) logSave(what string, err error) {
	if err != nil {
		slog.Error("not kept: a restart begins with an older state; make room in the state folder", "what", what, "err", err)
	}
}

// saveList writes a snapshot, if the list has changed since the last one, and drops the changes that it has.
func (s *Server) saveList() error {
	s.keepMu.Lock()
	s.listMu.RLock()
	index, highest, entries := s.list.Index(), s.list.HighestIndex(), s.list.Len()
	s.listMu.RUnlock()
	if index < 0 || index == s.savedIndex && s.folder.changes != nil && s.folder.changes.err == nil {
		s.keepMu.Unlock()
		return nil
	}
	s.folder.removeChangesAfter(index)
	err := s.folder.beginChanges(index)
	s.snapshotMissing = true
	s.keepMu.Unlock()
	if err != nil {
		return err
	}
	began := time.Now()
	err = writeAtomically(s.folder.file(listName), func(to *bufio.Writer) error { return s.writeList(to, index, highest) })
	if err != nil {
		return err
	}
	s.keepMu.Lock()
	s.savedIndex, s.snapshotMissing = index, false
	s.keptIndex.Store(max(index, s.folder.changes.last))
	s.folder.removeChanges(index)
	s.keepMu.Unlock()
	slog.Info("the list is kept", "index", index, "entries", entries, "took", time.Since(began).Round(time.Millisecond))
	return nil
}

func (s *Server) saveAll() error { return errors.Join(s.saveList(), s.saveMembers()) }

// The file of the leases: membersMagic, its format's version, then name and zone of each behind a byte of one, and a byte of nought with their number.
const (
	membersMagic   = "scaleroute members\n"
	membersVersion = 1
)

// saveMembers keeps the names of those whose lease is held here.
func (s *Server) saveMembers() error {
	s.memberMu.Lock()
	zones := s.members.held.zones
	isDue := s.membersToSave
	s.membersToSave = false
	s.memberMu.Unlock()
	if !isDue {
		return nil
	}
	err := writeAtomically(s.folder.file(membersName), func(to *bufio.Writer) error {
		text := append([]byte(membersMagic), membersVersion)
		for _, name := range slices.Sorted(maps.Keys(zones)) {
			text = appendFileEntry(append(text, 1), &agent.Endpoint{Name: name, Zone: zones[name]})
		}
		text = binary.AppendUvarint(append(text, 0), uint64(len(zones)))
		_, err := to.Write(text)
		return err
	})
	if err != nil {
		s.memberMu.Lock()
		s.membersToSave = true
		s.memberMu.Unlock()
		return err
	}
	s.keptLeases.Store(int64(len(zones)))
	return nil
}

// restoreMembers gives those who had a lease before a new one.
func (s *Server) restoreMembers() {
	zones := map[string]string{}
	err := readChecked(s.folder.file(membersName), func(from *bufio.Reader) error {
		if err := readFileHeader(from, membersMagic, membersVersion); err != nil {
			return err
		}
		return readEntries(from, func(e agent.Endpoint) error {
			zones[e.Name] = e.Zone
			return nil
		})
	})
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			slog.Error("the kept leases can't be used: members are gathered anew", "file", s.folder.file(membersName), "err", err)
		}
		return
	}
	now := time.Now()
	for name, zone := range zones {
		s.members.renew(name, zone, now)
	}
	s.restored = len(zones) > 0
}
