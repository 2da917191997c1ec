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

// persistChange appends the changes since the index before to the changes file. It requests a snapshot if they can't be stored as a delta.
func (s *Server) persistChange(before int64, touched catalog.ChangedDestinations) {
	s.persistMu.Lock()
	defer s.persistMu.Unlock()
	if touched.All || s.stateDir.changes == nil {
		s.stateDir.stopKeepingChanges()
		s.requestSnapshot()
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
		entries = appendFileEntry(entries, &e)
		count++
	})
	s.listMu.RUnlock()
	if err != nil {
		s.stateDir.stopKeepingChanges()
		s.requestSnapshot()
		return
	}
	written, err := s.stateDir.appendDelta(index, entries, count)
	if err != nil {
		slog.Error("can't store changes until the next snapshot: make room in the state folder", "err", err)
		s.requestSnapshot()
	}
	if written && !s.snapshotPending {
		s.persistedIndex.Store(index)
	}
}

func (s *Server) requestSnapshot() {
	select {
	case s.snapshotRequested <- struct{}{}:
	default:
	}
}

const (
	minSnapshotInterval  = 2 * time.Second // between two snapshots, also if one is requested; SaveEvery if that is shorter
	maxLeaseSaveInterval = 2 * time.Second // longest time between two writes of the leases
)

// runSaver writes snapshots of the list and the leases, regularly and on request, until the context ends.
func (s *Server) runSaver(ctx context.Context) {
	snapshots := time.NewTicker(s.options.SaveEvery)
	defer snapshots.Stop()
	leases := time.NewTicker(min(s.options.Lease/4, maxLeaseSaveInterval))
	defer leases.Stop()
	for {
		isDue := false
		select {
		case <-ctx.Done():
			return
		case <-s.snapshotRequested:
			isDue = true
		case <-snapshots.C:
			isDue = true
		case <-leases.C:
			s.logSaveError("leases", s.saveMembers())
		}
		if isDue {
			s.logSaveError("list", s.saveList())
			sleep(ctx, min(minSnapshotInterval, s.options.SaveEvery))
		}
	}
}

func (s *Server) logSaveError(what string, err error) {
	if err != nil {
		slog.Error("can't save the state, so a restart would load an older one: make room in the state folder", "what", what, "err", err)
	}
}

// saveList writes a snapshot if the list has changed since the last one, and removes the changes files that the snapshot supersedes.
func (s *Server) saveList() error {
	s.persistMu.Lock()
	s.listMu.RLock()
	index, highest, entries := s.list.Index(), s.list.HighestIndex(), s.list.Len()
	s.listMu.RUnlock()
	if index < 0 || index == s.snapshotIndex && s.stateDir.changes != nil && s.stateDir.changes.err == nil {
		s.persistMu.Unlock()
		return nil
	}
	s.stateDir.removeChangesFilesAfter(index)
	err := s.stateDir.startChangesFile(index)
	s.snapshotPending = true
	s.persistMu.Unlock()
	if err != nil {
		return err
	}
	began := time.Now()
	err = writeAtomically(s.stateDir.file(listFileName), func(to *bufio.Writer) error { return s.writeList(to, index, highest) })
	if err != nil {
		return err
	}
	s.persistMu.Lock()
	s.snapshotIndex, s.snapshotPending = index, false
	s.persistedIndex.Store(max(index, s.stateDir.changes.lastIndex))
	s.stateDir.removeOtherChangesFiles(index)
	s.persistMu.Unlock()
	slog.Info("saved a snapshot of the list", "index", index, "entries", entries, "took", time.Since(began).Round(time.Millisecond))
	return nil
}

func (s *Server) saveAll() error { return errors.Join(s.saveList(), s.saveMembers()) }

// The lease file consists of membersMagic, the version of the format, the name and zone of each member preceded by a byte of value 1, and a byte
// of value 0 followed by the number of members.
const (
	membersMagic   = "scaleroute members\n"
	membersVersion = 1
)

// saveMembers writes the names and zones of the members whose lease this server holds, if they have changed.
func (s *Server) saveMembers() error {
	s.memberMu.Lock()
	zones := s.members.ownView.zones
	isDue := s.membersDirty
	s.membersDirty = false
	s.memberMu.Unlock()
	if !isDue {
		return nil
	}
	err := writeAtomically(s.stateDir.file(membersFileName), func(to *bufio.Writer) error {
		text := append([]byte(membersMagic), membersVersion)
		for _, name := range slices.Sorted(maps.Keys(zones)) {
			text = appendFileEntry(text, &agent.Endpoint{Name: name, Zone: zones[name]})
		}
		text = binary.AppendUvarint(append(text, 0), uint64(len(zones)))
		_, err := to.Write(text)
		return err
	})
	if err != nil {
		s.memberMu.Lock()
		s.membersDirty = true
		s.memberMu.Unlock()
		return err
	}
	s.persistedLeases.Store(int64(len(zones)))
	return nil
}

// restoreMembers renews the lease of each member in the lease file.
func (s *Server) restoreMembers() {
	zones := map[string]string{}
	err := readVerified(s.stateDir.file(membersFileName), func(from *bufio.Reader) error {
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
			slog.Error("can't read the stored leases: waiting for the members to call again", "file", s.stateDir.file(membersFileName), "err", err)
		}
		return
	}
	now := time.Now()
	for name, zone := range zones {
		s.members.renew(name, zone, now)
	}
	s.restored = len(zones) > 0
}
