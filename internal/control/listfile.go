package control

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
)

// The list file consists of listMagic, the version of the format, the index of the list, the highest index before discovery restarted its count,
// the entries, and a byte of value 0 followed by the number of entries. Each entry is preceded by a byte of value 1, or 2 where the start of the
// endpoint's process follows it. Numbers are varints; strings are prefixed with their length.
const (
	listMagic      = "scaleroute list\n"
	listVersion    = 1
	maxStringBytes = 4 << 10 // of one string

	markEnd            = 0
	markEntry          = 1
	markEntryWithStart = 2
)

// errTruncated reports that a file ends early.
var errTruncated = errors.New("unexpected end of file")

func readList(from *bufio.Reader, into *catalog.Catalog) error {
	if err := readFileHeader(from, listMagic, listVersion); err != nil {
		return err
	}
	index, err := binary.ReadUvarint(from)
	if err != nil || index > math.MaxInt64 {
		return errors.New("can't read the index")
	}
	highest, err := binary.ReadVarint(from)
	if err != nil {
		return truncatedError(err)
	}
	if err := into.Restore(int64(index), highest); err != nil {
		return err
	}
	if err := readEntries(from, func(e agent.Endpoint) error { return into.Put(e) }); err != nil {
		return err
	}
	_, err = into.Commit()
	return err
}

func readFileHeader(from *bufio.Reader, magic string, version uint64) error {
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(from, head); err != nil {
		return truncatedError(err)
	}
	if string(head) != magic {
		return fmt.Errorf("the file begins with %.20q, want %.20q", head, magic)
	}
	if got, err := binary.ReadUvarint(from); err != nil {
		return truncatedError(err)
	} else if got != version {
		return fmt.Errorf("file format has version %d, but this build reads version %d", got, version)
	}
	return nil
}

func truncatedError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return err
}

// readEntries passes each entry to put until the end marker, and verifies the number of entries after it.
func readEntries(from *bufio.Reader, put func(agent.Endpoint) error) error {
	texts := stringReader{from: from, interned: map[string]string{}}
	for count := uint64(0); ; count++ {
		mark, err := from.ReadByte()
		if err != nil {
			return truncatedError(err)
		}
		if mark == markEnd {
			return checkCount(from, count)
		}
		e, err := readEntry(from, &texts, mark)
		if err != nil {
			return truncatedError(err)
		}
		if err := put(e); err != nil {
			return err
		}
	}
}

func checkCount(from *bufio.Reader, count uint64) error {
	want, err := binary.ReadUvarint(from)
	if err != nil {
		return truncatedError(err)
	}
	if want != count {
		return fmt.Errorf("file has %d entries, want %d", count, want)
	}
	return nil
}

func readEntry(from *bufio.Reader, texts *stringReader, mark byte) (e agent.Endpoint, err error) {
	for _, field := range []*string{&e.Name, &e.Address} {
		if *field, err = texts.read(); err != nil {
			return e, err
		}
	}
	for _, field := range []*string{&e.Zone, &e.Type, &e.Status} {
		if *field, err = texts.readInterned(); err != nil {
			return e, err
		}
	}
	group, err := binary.ReadUvarint(from)
	if err != nil {
		return e, err
	}
	var weight [8]byte
	if _, err = io.ReadFull(from, weight[:]); err != nil {
		return e, err
	}
	e.Group = int(group)
	e.Weight = math.Float64frombits(binary.LittleEndian.Uint64(weight[:]))
	if mark == markEntryWithStart {
		start, err := binary.ReadUvarint(from)
		e.SinceMS = agent.UnixMilli(start)
		return e, err
	}
	return e, nil
}

// appendFileEntry appends the mark of an entry, and the entry in the format that readEntry reads.
func appendFileEntry(to []byte, e *agent.Endpoint) []byte {
	mark := byte(markEntry)
	if e.SinceMS > 0 {
		mark = markEntryWithStart
	}
	to = append(to, mark)
	for _, text := range []string{e.Name, e.Address, e.Zone, e.Type, e.Status} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = binary.AppendUvarint(to, uint64(e.Group))
	to = binary.LittleEndian.AppendUint64(to, math.Float64bits(e.Weight))
	if mark == markEntryWithStart {
		to = binary.AppendUvarint(to, uint64(e.SinceMS))
	}
	return to
}

// stringReader reads length-prefixed strings.
type stringReader struct {
	from     *bufio.Reader
	bytes    []byte
	interned map[string]string // one copy of each string that occurs in many entries
}

func (r *stringReader) readBytes() error {
	length, err := binary.ReadUvarint(r.from)
	if err != nil {
		return err
	}
	if length > maxStringBytes {
		return fmt.Errorf("string length of %d bytes exceeds the limit: the file is corrupt", length)
	}
	if uint64(cap(r.bytes)) < length {
		r.bytes = make([]byte, maxStringBytes)
	}
	r.bytes = r.bytes[:length]
	_, err = io.ReadFull(r.from, r.bytes)
	return err
}

func (r *stringReader) read() (string, error) {
	err := r.readBytes()
	return string(r.bytes), err
}

// readInterned reads a string that is the same in many entries and shares one copy of it.
func (r *stringReader) readInterned() (string, error) {
	err := r.readBytes()
	if text, known := r.interned[string(r.bytes)]; known || err != nil {
		return text, err
	}
	text := string(r.bytes)
	r.interned[text] = text
	return text, nil
}

// writeList writes the current list in chunks, without holding the lock throughout. An entry that changes meanwhile has a later index than the
// file, so discovery or the changes file delivers it again.
func (s *Server) writeList(to *bufio.Writer, index, highest int64) error {
	head := append([]byte(listMagic), listVersion)
	head = binary.AppendUvarint(head, uint64(index))
	head = binary.AppendVarint(head, highest)
	if _, err := to.Write(head); err != nil {
		return err
	}
	count := uint64(0)
	var chunk []byte
	for next, more := 0, true; more; {
		chunk = chunk[:0]
		s.listMu.RLock()
		next, more = s.list.VisitSlots(next, slotsPerLock, func(e agent.Endpoint) {
			chunk = appendFileEntry(chunk, &e)
			count++
		})
		s.listMu.RUnlock()
		if _, err := to.Write(chunk); err != nil {
			return err
		}
	}
	_, err := to.Write(binary.AppendUvarint([]byte{0}, count))
	return err
}
