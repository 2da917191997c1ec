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

// Between two snapshots of the list its changes are kept in files of their own, changes-N, where N is the index of the list when the file was
// begun. A file is frames: length, checksum, and a delta. A frame that is cut off by the end of the process is the file's end.
const (
	changesPrefix   = "changes-"
	frameHeadLen    = 12
	maxFrame        = 256 << 20 // bytes
	maxChangesBytes = 512 << 20 // of one file; a snapshot is due long before
)

// changesFile is the file that is written now.
type changesFile struct {
	file *os.File
	size int64
	last int64 // the index of the last delta that is kept
	err  error // from then on nothing more is kept, until the next snapshot
}

func (c *changesFile) close() {
	if c != nil {
		c.file.Close()
	}
}

// beginChanges starts a file for the changes after an index.
func (f *folder) beginChanges(index int64) error {
	f.changes.close()
	f.changes = nil
	file, err := os.OpenFile(f.file(changesPrefix+strconv.FormatInt(index, 10)), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	f.changes = &changesFile{file: file}
	return nil
}

// appendChanges keeps a delta. After an error nothing more is kept: a gap would be worse than an end.
func (f *folder) appendChanges(index int64, entries []byte, count int) (kept bool, err error) {
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
	if len(body) > maxFrame || c.size+int64(len(frame)) > maxChangesBytes {
		c.err = fmt.Errorf("more than %d MiB of changes since the last snapshot", maxChangesBytes>>20)
	} else if _, err := c.file.Write(frame); err != nil {
		c.err = err
	}
	c.size += int64(len(frame))
	if c.err != nil {
		return false, c.err
	}
	c.last = index
	return true, nil
}

// endChanges keeps no more changes until the next snapshot: one can't be written as a delta.
func (f *folder) endChanges() {
	if f.changes != nil && f.changes.err == nil {
		f.changes.err = errors.New("a change can't be kept as a delta")
	}
}

// changesFiles are the indexes of the files that there are, ascending.
func (f *folder) changesFiles() []int64 {
	paths, _ := filepath.Glob(f.file(changesPrefix + "*")) // the pattern is well-formed
	var indexes []int64
	for _, path := range paths {
		if index, err := strconv.ParseInt(strings.TrimPrefix(filepath.Base(path), changesPrefix), 10, 64); err == nil {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// removeChangesAfter removes files that were begun at a later index: discovery has counted anew since.
func (f *folder) removeChangesAfter(index int64) {
	for _, begun := range f.changesFiles() {
		if begun > index {
			os.Remove(f.file(changesPrefix + strconv.FormatInt(begun, 10)))
		}
	}
}

// removeChanges removes the files but one: a snapshot has what they say.
func (f *folder) removeChanges(except int64) {
	for _, index := range f.changesFiles() {
		if index != except {
			os.Remove(f.file(changesPrefix + strconv.FormatInt(index, 10)))
		}
	}
}

// replayChanges brings a list that was read up to date, as far as its changes can be read.
func (f *folder) replayChanges(list *catalog.Catalog) {
	for _, begun := range f.changesFiles() {
		if begun > list.Index() {
			return // what lies between is not known
		}
		path := f.file(changesPrefix + strconv.FormatInt(begun, 10))
		if err := replayFile(path, list); err != nil {
			slog.Warn("the kept changes end here: discovery is asked for the later ones", "file", path, "index", list.Index(), "reason", err)
			return
		}
	}
}

func replayFile(path string, list *catalog.Catalog) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	from := bufio.NewReaderSize(file, fileBuffer)
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
		return nil, errCutOff
	} else if err != nil {
		return nil, io.EOF
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > maxFrame {
		return nil, fmt.Errorf("a frame of %d bytes: it is damaged", length)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err != nil {
		return nil, err
	}
	if uint32(len(body)) < length {
		return nil, errCutOff
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(head[4:]) {
		return nil, errors.New("a checksum is wrong: it is damaged")
	}
	return body, nil
}

func replayFrame(body []byte, list *catalog.Catalog) error {
	from := bufio.NewReader(bytes.NewReader(body))
	index, err := binary.ReadUvarint(from)
	if err != nil {
		return cutOff(err)
	}
	delta := &agent.List{Index: int64(index)}
	if err := readEntries(from, func(e agent.Endpoint) error {
		delta.Endpoints = append(delta.Endpoints, e)
		return nil
	}); err != nil {
		return err
	}
	if delta.Index <= list.Index() { // the snapshot has it
		return nil
	}
	_, _, err = list.Apply(delta)
	return err
}
