package control

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
)

// Between two snapshots, the changes of the endpoint list are appended to files named changes-N, where N is the index of the list when the file
// was created. A file consists of frames: a length, a checksum and a delta. A frame that is truncated because the process was killed marks the
// end of the file.
const (
	changesPrefix   = "changes-"
	frameHeadLen    = 12
	maxFrameBytes   = 256 << 20 // bytes
	maxChangesBytes = 512 << 20 // of one file; a snapshot is normally written long before
)

// changesFile is the changes file that is currently appended to.
type changesFile struct {
	file      *os.File
	size      int64
	lastIndex int64 // index of the last delta written
	err       error // once set, nothing more is written until the next snapshot
}

func (c *changesFile) close() {
	if c != nil {
		c.file.Close()
	}
}

// startChangesFile closes the current changes file and creates one for the changes after an index.
func (f *stateDir) startChangesFile(index int64) error {
	f.changes.close()
	f.changes = nil
	file, err := os.OpenFile(f.file(changesPrefix+strconv.FormatInt(index, 10)), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	f.changes = &changesFile{file: file}
	return nil
}

// appendDelta writes a delta to the changes file. After an error it writes nothing more, since replaying changes across a gap would yield a
// wrong list, whereas a file that ends early only yields an old one.
func (f *stateDir) appendDelta(index int64, entries []byte, count int) (written bool, err error) {
	c := f.changes
	if c == nil || c.err != nil {
		return false, nil
	}
	frame := binary.AppendUvarint(make([]byte, frameHeadLen), uint64(index))
	frame = append(frame, entries...)
	frame = binary.AppendUvarint(append(frame, 0), uint64(count))
	body := frame[frameHeadLen:]
	binary.LittleEndian.PutUint32(frame, uint32(len(body)))
	binary.LittleEndian.PutUint64(frame[4:], xxhash.Sum64(body))
	if len(body) > maxFrameBytes || c.size+int64(len(frame)) > maxChangesBytes {
		c.err = fmt.Errorf("more than %d MiB of changes since the last snapshot", maxChangesBytes>>20)
	} else if _, err := c.file.Write(frame); err != nil {
		c.err = err
	}
	c.size += int64(len(frame))
	if c.err != nil {
		return false, c.err
	}
	c.lastIndex = index
	return true, nil
}

// stopKeepingChanges stops writing changes until the next snapshot, because a change can't be expressed as a delta.
func (f *stateDir) stopKeepingChanges() {
	if f.changes != nil && f.changes.err == nil {
		f.changes.err = errors.New("a change can't be stored as a delta")
	}
}

// changesFileIndexes returns the indexes in the names of the existing changes files, in ascending order.
func (f *stateDir) changesFileIndexes() []int64 {
	paths, _ := filepath.Glob(f.file(changesPrefix + "*")) // Glob fails only on a malformed pattern
	var indexes []int64
	for _, path := range paths {
		if index, err := strconv.ParseInt(strings.TrimPrefix(filepath.Base(path), changesPrefix), 10, 64); err == nil {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// removeChangesFilesAfter removes the files created at a later index. They exist if discovery has since restarted its index at a lower value.
func (f *stateDir) removeChangesFilesAfter(index int64) {
	for _, begun := range f.changesFileIndexes() {
		if begun > index {
			os.Remove(f.file(changesPrefix + strconv.FormatInt(begun, 10)))
		}
	}
}

// removeOtherChangesFiles removes all changes files but one, since the snapshot contains their changes.
func (f *stateDir) removeOtherChangesFiles(except int64) {
	for _, index := range f.changesFileIndexes() {
		if index != except {
			os.Remove(f.file(changesPrefix + strconv.FormatInt(index, 10)))
		}
	}
}

// replayChanges applies the stored changes to a list that was read from a snapshot, up to the first that can't be read.
func (f *stateDir) replayChanges(list *catalog.Catalog) {
	for _, begun := range f.changesFileIndexes() {
		if begun > list.Index() {
			return // the changes between the two indexes are not stored
		}
		path := f.file(changesPrefix + strconv.FormatInt(begun, 10))
		if err := replayChangesFile(path, list); err != nil {
			slog.Warn("can't read further stored changes: requesting the later ones from discovery", "file", path, "index", list.Index(), "reason", err)
			return
		}
	}
}

func replayChangesFile(path string, list *catalog.Catalog) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	from := bufio.NewReaderSize(file, fileBufferSize)
	for {
		body, err := readFrame(from)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = replayFrame(body, list)
		}
		if err != nil {
			return err
		}
	}
}

func readFrame(from io.Reader) ([]byte, error) {
	var head [frameHeadLen]byte
	if n, err := io.ReadFull(from, head[:]); err != nil && (n > 0 || !errors.Is(err, io.EOF)) {
		return nil, errTruncated
	} else if err != nil {
		return nil, io.EOF
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("frame length of %d bytes exceeds the limit: the file is corrupt", length)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err != nil {
		return nil, err
	}
	if uint32(len(body)) < length {
		return nil, errTruncated
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(head[4:]) {
		return nil, errors.New("frame checksum mismatch: the file is corrupt")
	}
	return body, nil
}

func replayFrame(body []byte, list *catalog.Catalog) error {
	from := bufio.NewReader(bytes.NewReader(body))
	index, err := binary.ReadUvarint(from)
	if err != nil {
		return truncatedError(err)
	}
	delta := &agent.List{Index: int64(index)}
	if err := readEntries(from, func(e agent.Endpoint) error {
		delta.Endpoints = append(delta.Endpoints, e)
		return nil
	}); err != nil {
		return err
	}
	if delta.Index <= list.Index() { // the snapshot already contains it
		return nil
	}
	_, _, err = list.Apply(delta)
	return err
}
