package journal

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"os"
	"slices"
	"time"
)

// The journal also remembers the IDs of completed messages that must not run again, so that a message that is submitted
// again under such an ID is not sent again, by this process or the next one. They are in a file of their own, since the
// segments forget a message once it is closed. The file has a fixed number of slots of equal size:
//
//	0   digest   the first 12 bytes of the ID's SHA-256
//	12  expiry   ms on the steady clock, 6 bytes, little-endian
//	18  outcome  d (delivered) or u (undelivered)
//	19  unused
//	20  checksum CRC-32C of the slot's number (4 bytes) and of all that
//
// An ID is kept until its expiry, and after that until its slot is needed. The slot of an ID never changes, so the file
// can be written again in place at any time. A slot is written before the record that closes its message: after a kill
// in between, the message is still open, as one that may have run.
const (
	completedFile   = "completed-ids"
	completedBytes  = 24 // of one slot
	digestBytes     = 12
	completedGrowth = 4 << 10 // bytes by which the file grows, at least

	// An ID is kept until its message's deadline, but at least minCompletedRetention after the completion: a client may take
	// several seconds to send one request, and may have begun while the message was open. Where deadlines are far away, it is
	// kept for maxCompletedRetention, so that IDs do not use up the space.
	minCompletedRetention = 10 * time.Second
	maxCompletedRetention = time.Minute

	completedDiskShare   = 16      // 1/16 of a folder's limit is for IDs
	completedMemoryShare = 64      // and at most 1/64 of the memory
	completedMemoryBytes = 96      // that one ID takes in memory
	maxCompletedIDs      = 1 << 16 // in any case
)

// CompletedIDBytes returns the disk space for the IDs of completed messages in a folder with the given limit, for a process
// with the given memory.
func CompletedIDBytes(diskLimit, memory int64) int64 {
	return completedBytes * max(0, min(diskLimit/completedDiskShare/completedBytes, memory/completedMemoryShare/completedMemoryBytes, maxCompletedIDs))
}

// CompletedOutcome is what the journal remembers of a completed message.
type CompletedOutcome byte

// The outcomes of completed messages.
const (
	NotCompleted CompletedOutcome = 0 // nothing is remembered
	Delivered    CompletedOutcome = 'd'
	Undelivered  CompletedOutcome = 'u' // it was not delivered as far as is known, and may have run
)

// idDigest identifies an ID.
type idDigest [digestBytes]byte

func digestOf(id string) idDigest {
	sum := sha256.Sum256([]byte(id))
	return idDigest(sum[:digestBytes])
}

// completedID is the content of one slot; a zero outcome marks an empty one.
type completedID struct {
	digest  idDigest
	expiry  int64 // ms on the steady clock
	outcome CompletedOutcome
}

// completedIDs are the IDs of completed messages, in memory and in their file.
type completedIDs struct {
	fs       FS
	file     File // nil until it is needed
	capacity int  // number of slots that the file may have
	slots    []completedID
	bySlot   map[idDigest]int32
	current  expiryHeap // slots whose expiry has not passed
	expired  []int32    // slots whose expiry has passed, the earliest first
	empty    []int32
	unsaved  []int32 // slots that are not in the file yet
	unsynced bool    // slots were written since the last sync
}

// expiryHeap orders slots by their expiry.
type expiryHeap []expiringSlot

type expiringSlot struct {
	expiry int64
	slot   int32
}

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].expiry < h[b].expiry }
func (h expiryHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *expiryHeap) Push(v any)        { *h = append(*h, v.(expiringSlot)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Completed returns what is remembered of a completed message.
func (j *Journal) Completed(id string) CompletedOutcome {
	c := &j.completed
	if len(c.bySlot) == 0 {
		return NotCompleted
	}
	if slot, ok := c.bySlot[digestOf(id)]; ok {
		return c.slots[slot].outcome
	}
	return NotCompleted
}

// CompletedIDs returns how many IDs of completed messages are remembered.
func (j *Journal) CompletedIDs() int { return len(j.completed.bySlot) }

// HasRoomForID reports whether one more message that must not run twice can be remembered once it is completed. open is the
// number of such messages that are open. The space is allocated on the disk, so that an ID can be written even if the disk
// fills up. A journal without space for IDs remembers none.
func (j *Journal) HasRoomForID(open int) bool {
	c := &j.completed
	if c.capacity == 0 {
		return true
	}
	c.expire(j.clock.Millis(time.Now()))
	needed := len(c.current) + open + 1
	if len(c.empty) <= open && len(c.slots) < c.capacity { // as long as the file may grow, none that has expired is forgotten
		j.growCompleted(needed)
	}
	return needed <= len(c.slots)
}

// growCompleted allocates slots, until there are as many as needed if the capacity allows that.
func (j *Journal) growCompleted(needed int) {
	c := &j.completed
	if j.err != nil || time.Now().Before(j.allocationFailedUntil) {
		return
	}
	isNew := c.file == nil
	err := c.allocate(min(c.capacity, max(needed, len(c.slots)+completedGrowth/completedBytes)))
	if err == nil && isNew {
		err = j.syncFolder()
	}
	if errors.Is(err, fs.ErrNotExist) { // the folder was removed: the next start would not find what is written from now on
		j.err = fmt.Errorf("%w: %w", errFolderReplaced, err)
		return
	}
	if err != nil {
		j.allocationFailedUntil = time.Now().Add(allocationRetry)
		slog.Warn("the journal can't allocate disk space for the IDs of completed messages: new messages that must not run twice are refused once the allocated space is used", "file", completedFile, "remembered", len(c.bySlot), "err", err)
	}
}

// RecordCompleted closes a message like RecordClosed, and remembers its ID.
func (j *Journal) RecordCompleted(id string, outcome CompletedOutcome) {
	if s := j.live[id]; s != nil {
		now := j.clock.Millis(time.Now())
		expiry := max(j.clock.Millis(s.Deadline), now+minCompletedRetention.Milliseconds())
		expiry = min(expiry, now+maxCompletedRetention.Milliseconds())
		j.completed.add(digestOf(id), expiry, outcome, now)
		j.RecordClosed(id)
	}
}

// allocate opens the file and allocates disk space for so many slots.
func (c *completedIDs) allocate(count int) error {
	if err := c.open(); err != nil {
		return err
	}
	if err := c.file.Allocate(int64(count) * completedBytes); err != nil {
		return err
	}
	c.grow(count)
	return nil
}

// open opens the file, and creates it if there is none.
func (c *completedIDs) open() (err error) {
	if c.file == nil {
		c.file, err = c.fs.Open(completedFile, true)
	}
	return err
}

// grow adds empty slots until there are so many.
func (c *completedIDs) grow(count int) {
	for slot := len(c.slots); slot < count; slot++ {
		c.slots = append(c.slots, completedID{})
		c.empty = append(c.empty, int32(slot))
	}
}

// expire moves the slots whose expiry has passed to those that may be reused.
func (c *completedIDs) expire(now int64) {
	for len(c.current) > 0 && c.current[0].expiry <= now {
		c.expired = append(c.expired, heap.Pop(&c.current).(expiringSlot).slot)
	}
}

// add remembers an ID, unless it is remembered already.
func (c *completedIDs) add(digest idDigest, expiry int64, outcome CompletedOutcome, now int64) {
	if _, ok := c.bySlot[digest]; ok || c.capacity == 0 {
		return
	}
	c.expire(now)
	slot := c.takeSlot()
	c.put(slot, completedID{digest, expiry, outcome}, now)
	c.unsaved = append(c.unsaved, slot)
}

// wouldKeep reports whether an ID can be added without forgetting one that expires later.
func (c *completedIDs) wouldKeep(expiry, now int64) bool {
	if len(c.empty) > 0 {
		return true
	}
	return expiry > now && (len(c.expired) > 0 || len(c.current) > 0 && c.current[0].expiry < expiry)
}

// put fills an empty slot.
func (c *completedIDs) put(slot int32, id completedID, now int64) {
	if c.bySlot == nil {
		c.bySlot = map[idDigest]int32{}
	}
	c.slots[slot], c.bySlot[id.digest] = id, slot
	if id.expiry > now {
		heap.Push(&c.current, expiringSlot{id.expiry, slot})
	} else {
		c.expired = append(c.expired, slot)
	}
}

// takeSlot returns an empty slot. If there is none, the ID that expired first is forgotten; if none has expired, which
// HasRoomForID prevents, the one that expires first.
func (c *completedIDs) takeSlot() (slot int32) {
	if len(c.empty) == 0 && len(c.slots) < c.capacity && len(c.expired) == 0 {
		c.grow(len(c.slots) + 1) // without space allocated for it
	}
	switch {
	case len(c.empty) > 0:
		last := len(c.empty) - 1
		slot, c.empty = c.empty[last], c.empty[:last]
		return slot
	case len(c.expired) > 0:
		slot, c.expired = c.expired[0], c.expired[1:]
	default:
		slot = heap.Pop(&c.current).(expiringSlot).slot
		slog.Error("an ID of a completed message is forgotten before its expiry: its message would be sent again if it were submitted again", "remembered", len(c.bySlot))
	}
	delete(c.bySlot, c.slots[slot].digest)
	return slot
}

// encode returns the content of a slot in the file.
func (c *completedIDs) encode(slot int32) []byte {
	id := &c.slots[slot]
	data := make([]byte, 0, completedBytes)
	if id.outcome == NotCompleted {
		return data[:completedBytes]
	}
	data = append(data, id.digest[:]...)
	var expiry [8]byte
	binary.LittleEndian.PutUint64(expiry[:], uint64(id.expiry))
	data = append(append(data, expiry[:6]...), byte(id.outcome), 0)
	return binary.LittleEndian.AppendUint32(data, slotChecksum(slot, data))
}

// slotChecksum returns the checksum of a slot's content.
func slotChecksum(slot int32, data []byte) uint32 {
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], uint32(slot))
	return crc32.Update(crc32.Checksum(number[:], castagnoli), castagnoli, data)
}

// decodeSlot returns the ID in a slot of the file.
func decodeSlot(slot int32, data []byte) (id completedID, ok bool) {
	body := data[:completedBytes-4]
	if slotChecksum(slot, body) != binary.LittleEndian.Uint32(data[len(body):]) {
		return id, false
	}
	var expiry [8]byte
	copy(expiry[:6], body[digestBytes:])
	outcome := CompletedOutcome(body[digestBytes+6])
	return completedID{idDigest(body[:digestBytes]), int64(binary.LittleEndian.Uint64(expiry[:])), outcome}, outcome == Delivered || outcome == Undelivered
}

// save writes the slots that are not in the file yet.
func (c *completedIDs) save() error {
	if len(c.unsaved) == 0 {
		return nil
	}
	if err := c.open(); err != nil {
		return fmt.Errorf("journal: %s: %w", completedFile, err)
	}
	slices.Sort(c.unsaved)
	for first := 0; first < len(c.unsaved); {
		var run []byte // neighbouring slots
		from := c.unsaved[first]
		for next := from; first < len(c.unsaved) && c.unsaved[first] <= next; next++ {
			run = append(run, c.encode(next)...)
			for first < len(c.unsaved) && c.unsaved[first] == next {
				first++
			}
		}
		if _, err := c.file.WriteAt(run, int64(from)*completedBytes); err != nil {
			return fmt.Errorf("journal: writing %s: %w", completedFile, err)
		}
	}
	c.unsaved, c.unsynced = c.unsaved[:0], true
	return nil
}

// saveAgain writes all slots, to a file that is opened again: after a failure, any of them may be missing there, and the
// folder may be another one.
func (c *completedIDs) saveAgain() error {
	if len(c.slots) == 0 {
		return nil
	}
	c.close()
	if err := c.open(); err != nil {
		return fmt.Errorf("journal: %s: %w", completedFile, err)
	}
	if err := c.file.Allocate(int64(len(c.slots)) * completedBytes); err != nil {
		return fmt.Errorf("journal: %s: %w", completedFile, err)
	}
	c.unsaved = c.unsaved[:0]
	for slot := range c.slots {
		c.unsaved = append(c.unsaved, int32(slot))
	}
	return c.save()
}

// prepareSync returns a function that syncs the slots that were written, which any goroutine may call.
func (c *completedIDs) prepareSync() func() error {
	if !c.unsynced {
		return func() error { return nil }
	}
	c.unsynced = false
	file := c.file
	return func() error {
		if err := file.Sync(); !errors.Is(err, os.ErrClosed) && !errors.Is(err, fs.ErrClosed) {
			return err
		}
		return nil // it was opened again in the meantime, and all slots were written again
	}
}

// load reads the file. Slots that can't be read count as empty.
func (c *completedIDs) load(now int64, readOnly bool) error {
	if c.capacity == 0 && !readOnly {
		return nil
	}
	file, err := c.fs.Open(completedFile, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %s: %w", completedFile, err)
	}
	c.file = file
	size, err := file.Size()
	if err != nil {
		return fmt.Errorf("journal: %s: %w", completedFile, err)
	}
	data := make([]byte, min(size, maxCompletedIDs*completedBytes)/completedBytes*completedBytes)
	if n, err := file.ReadAt(data, 0); err != nil && n < len(data) {
		return fmt.Errorf("journal: reading %s: %w", completedFile, err)
	}
	if readOnly {
		c.capacity = len(data) / completedBytes
	}
	return c.fill(data, now)
}

// fill takes over the slots of a file. Those beyond the capacity, after the limit was lowered, are moved as far as there are
// empty ones below, and forgotten otherwise: those that expire last are kept.
func (c *completedIDs) fill(data []byte, now int64) error {
	c.grow(min(len(data)/completedBytes, c.capacity))
	var beyond []completedID
	invalid, empty := 0, c.empty[:0]
	for slot := range int32(len(data) / completedBytes) {
		content := data[slot*completedBytes:][:completedBytes]
		id, ok := decodeSlot(slot, content)
		switch {
		case ok && int(slot) < c.capacity:
			c.put(slot, id, now)
			continue
		case ok:
			beyond = append(beyond, id)
		case slices.ContainsFunc(content, func(b byte) bool { return b != 0 }):
			invalid++
		}
		if int(slot) < c.capacity {
			empty = append(empty, slot)
		}
	}
	c.empty = empty
	slices.SortFunc(c.expired, func(a, b int32) int { return int(c.slots[a].expiry - c.slots[b].expiry) })
	if invalid > 0 {
		slog.Warn("some IDs of completed messages can't be read: a message that is submitted again under one of them would be sent again", "file", completedFile, "unreadable", invalid, "read", len(c.bySlot))
	}
	if len(data)/completedBytes <= c.capacity {
		return nil
	}
	slices.SortFunc(beyond, func(a, b completedID) int { return int(a.expiry - b.expiry) })
	for _, id := range beyond {
		if c.wouldKeep(id.expiry, now) {
			c.add(id.digest, id.expiry, id.outcome, now)
		}
	}
	return c.replaceFile()
}

// replaceFile writes all slots to a new file that replaces the former one, which is larger than its limit.
func (c *completedIDs) replaceFile() error {
	const successor = completedFile + ".new"
	former := c.file
	defer former.Close()
	file, err := c.fs.Open(successor, true)
	if err != nil {
		return fmt.Errorf("journal: %s: %w", successor, err)
	}
	c.file = file
	var all []byte
	for slot := range c.slots {
		all = append(all, c.encode(int32(slot))...)
	}
	if _, err := file.WriteAt(all, 0); err != nil {
		return fmt.Errorf("journal: writing %s: %w", successor, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("journal: %s: %w", successor, err)
	}
	c.unsaved = c.unsaved[:0]
	return c.fs.Rename(successor, completedFile)
}

// copyFrom takes over the slots of another file.
func (c *completedIDs) copyFrom(from *completedIDs) error {
	c.grow(len(from.slots))
	for _, id := range from.slots {
		if id.outcome != NotCompleted {
			c.add(id.digest, id.expiry, id.outcome, 0)
		}
	}
	return c.save()
}

// close closes the file.
func (c *completedIDs) close() error {
	if c.file == nil {
		return nil
	}
	err := c.file.Close()
	c.file = nil
	return err
}
