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

// The file of the list: listMagic, its format's version, the list's index and the highest one before it went back, then entries, each behind a
// byte of one, and a byte of nought with their number. Numbers are varints, texts have their length in front.
const (
	listMagic   = "scaleroute list\n"
	listVersion = 1
	maxFileText = 4 << 10 // bytes of a text
)

// errCutOff reports a file that ends too early.
var errCutOff = errors.New("it is cut off")

func readList(from *bufio.Reader, into *catalog.Catalog) error {
	if err := readFileHeader(from, listMagic, listVersion); err != nil {
		return err
	}
	index, err := binary.ReadUvarint(from)
	if err != nil || index > math.MaxInt64 {
		return errors.New("no index can be read")
	}
	highest, err := binary.ReadVarint(from)
	if err != nil {
		return cutOff(err)
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
		return cutOff(err)
	}
	if string(head) != magic {
		return fmt.Errorf("it begins with %.20q, not with %.20q", head, magic)
	}
	if got, err := binary.ReadUvarint(from); err != nil {
		return cutOff(err)
	} else if got != version {
		return fmt.Errorf("its format has version %d, and this build reads %d", got, version)
	}
	return nil
}

func cutOff(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errCutOff
	}
	return err
}

// readEntries reads entries to their end.
func readEntries(from *bufio.Reader, put func(agent.Endpoint) error) error {
	texts := textReader{from: from, known: map[string]string{}}
	for count := uint64(0); ; count++ {
		more, err := from.ReadByte()
		if err != nil {
			return cutOff(err)
		}
		if more == 0 {
			return checkCount(from, count)
		}
		e, err := readEntry(from, &texts)
		if err != nil {
			return cutOff(err)
		}
		if err := put(e); err != nil {
			return err
		}
	}
}

func checkCount(from *bufio.Reader, count uint64) error {
	want, err := binary.ReadUvarint(from)
	if err != nil {
		return cutOff(err)
	}
	if want != count {
		return fmt.Errorf("it has %d entries, not %d", count, want)
	}
	return nil
}

func readEntry(from *bufio.Reader, texts *textReader) (e agent.Endpoint, err error) {
	for _, field := range []*string{&e.Name, &e.Address} {
		if *field, err = texts.read(); err != nil {
			return e, err
		}
	}
	for _, field := range []*string{&e.Zone, &e.Type, &e.Status} {
		if *field, err = texts.readKnown(); err != nil {
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
	return e, nil
}

// appendFileEntry is an entry as readEntry reads it.
func appendFileEntry(to []byte, e *agent.Endpoint) []byte {
	for _, text := range []string{e.Name, e.Address, e.Zone, e.Type, e.Status} {
		to = binary.AppendUvarint(to, uint64(len(text)))
		to = append(to, text...)
	}
	to = binary.AppendUvarint(to, uint64(e.Group))
	return binary.LittleEndian.AppendUint64(to, math.Float64bits(e.Weight))
}

// textReader reads texts with their length in front.
type textReader struct {
	from  *bufio.Reader
	bytes []byte
	known map[string]string // texts that occur often
}

func (r *textReader) readBytes() error {
	length, err := binary.ReadUvarint(r.from)
	if err != nil {
		return err
	}
	if length > maxFileText {
		return fmt.Errorf("a text of %d bytes: it is damaged", length)
	}
	if uint64(cap(r.bytes)) < length {
		r.bytes = make([]byte, maxFileText)
	}
	r.bytes = r.bytes[:length]
	_, err = io.ReadFull(r.from, r.bytes)
	return err
}

func (r *textReader) read() (string, error) {
	err := r.readBytes()
	return string(r.bytes), err
}

// readKnown reads one that is the same in many entries.
func (r *textReader) readKnown() (string, error) {
	err := r.readBytes()
	if text, known := r.known[string(r.bytes)]; known || err != nil {
		return text, err
	}
	text := string(r.bytes)
	r.known[text] = text
	return text, nil
}

// writeList writes the list as it is now. It may change meanwhile: what does has a later index than the file, and comes again.
func (s *Server) writeList(to *bufio.Writer, index, highest int64) error {
	head := append([]byte(listMagic), listVersion)
	head = binary.AppendUvarint(head, uint64(index))
	head = binary.AppendVarint(head, highest)
	if _, err := to.Write(head); err != nil {
		return err
	}
	count := uint64(0)
	var piece []byte
	for next, more := 0, true; more; {
		piece = piece[:0]
		s.listMu.RLock()
		next, more = s.list.VisitSlots(next, slotsAtOnce, func(e agent.Endpoint) {
			piece = appendFileEntry(append(piece, 1), &e)
			count++
		})
		s.listMu.RUnlock()
		if _, err := to.Write(piece); err != nil {
			return err
		}
	}
	_, err := to.Write(binary.AppendUvarint([]byte{0}, count))
	return err
}
