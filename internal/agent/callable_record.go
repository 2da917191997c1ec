package agent

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The record of callable endpoints is a header and an endpointID of 8 bytes for each of them, little-endian:
//
//	0  magic    "scaleroute callable 1\n"
//	22 checksum CRC-32C of all that follows
//	26 count    of the endpoints, 4 bytes
//	30 index    of the list that last changed it, 8 bytes
//	38 digest   of the configuration's list, 8 bytes
//
// Zeros follow up to the size of a record with all the endpoints that it may have, so that a record can be written over another one on a full disk.
const (
	recordMagic       = "scaleroute callable 1\n"
	recordHeaderBytes = len(recordMagic) + 4 + 4 + 8 + 8
	endpointIDBytes   = 8

	// usualRecorded is how many endpoints a record may have, unless the configuration is small or very large: those of fleets with 3,200 endpoints, and some
	// that take the place of others.
	usualRecorded = 4096
	// maxRecorded is the same in any case.
	maxRecorded = 1 << 20
	// MaxRecordedInMargin is the same for a small configuration. The record and its successor then fit, beside the endpoints disabled by an operator,
	// into what the journal leaves of the folder (16 KiB).
	MaxRecordedInMargin = 180
	// maxRecordShare is the largest share of the folder's limit that the record and its successor take beyond that: one in so many bytes.
	maxRecordShare = 16
)

// RecordLimit returns how many endpoints the record of callable endpoints may have, and how many bytes of the folder the journal must leave for it beyond
// its margin, given how many endpoints the configuration lists and the folder's limit in bytes. Besides those of the configuration there is room for the
// ones that a newer configuration may list.
func RecordLimit(configuredEndpoints int, folderLimit int64) (limit int, reserved int64) {
	fitting := (int(folderLimit/maxRecordShare/2) - recordHeaderBytes) / endpointIDBytes
	limit = min(max(usualRecorded, configuredEndpoints+configuredEndpoints/4), maxRecorded, fitting)
	if 2*configuredEndpoints <= MaxRecordedInMargin || limit <= MaxRecordedInMargin {
		return MaxRecordedInMargin, 0
	}
	return limit, int64(2 * recordBytes(limit))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errSpoiltRecord says that a record is cut off or has other bytes than were written.
var errSpoiltRecord = errors.New("it is cut off or spoilt")

// callableRecord says which endpoints may be called according to the lists reported so far.
type callableRecord struct {
	index      int64  // of the list that last changed it
	configured uint64 // digest of the configuration's list that it was made with
	ids        map[endpointID]struct{}
}

// recordBytes returns the size of a record that may have up to limit endpoints.
func recordBytes(limit int) int { return recordHeaderBytes + limit*endpointIDBytes }

// encodeRecord encodes a record that may have up to limit endpoints.
func encodeRecord(index int64, configured uint64, ids []endpointID, limit int) []byte {
	text := make([]byte, 0, recordBytes(limit))
	text = append(text, recordMagic...)
	text = append(text, 0, 0, 0, 0)
	text = binary.LittleEndian.AppendUint32(text, uint32(len(ids)))
	text = binary.LittleEndian.AppendUint64(text, uint64(index))
	text = binary.LittleEndian.AppendUint64(text, configured)
	for _, id := range ids {
		text = binary.LittleEndian.AppendUint64(text, uint64(id))
	}
	sum := text[len(recordMagic):]
	binary.LittleEndian.PutUint32(sum, crc32.Checksum(sum[4:], castagnoli))
	return text[:recordBytes(limit)]
}

// decodeRecord decodes a record.
func decodeRecord(text []byte) (*callableRecord, error) {
	if len(text) < recordHeaderBytes || !bytes.HasPrefix(text, []byte(recordMagic)) {
		return nil, errSpoiltRecord
	}
	sum := text[len(recordMagic):]
	count := int(binary.LittleEndian.Uint32(sum[4:]))
	if count > maxRecorded || len(text) < recordBytes(count) {
		return nil, errSpoiltRecord
	}
	text = text[:recordBytes(count)]
	sum = text[len(recordMagic):]
	if crc32.Checksum(sum[4:], castagnoli) != binary.LittleEndian.Uint32(sum) {
		return nil, errSpoiltRecord
	}
	record := &callableRecord{index: int64(binary.LittleEndian.Uint64(sum[8:])), configured: binary.LittleEndian.Uint64(sum[16:]), ids: make(map[endpointID]struct{}, count)}
	for rest := text[recordHeaderBytes:]; len(rest) > 0; rest = rest[endpointIDBytes:] {
		record.ids[endpointID(binary.LittleEndian.Uint64(rest))] = struct{}{}
	}
	return record, nil
}

// readRecord reads the record in a file.
func readRecord(path string) (*callableRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, int64(recordBytes(maxRecorded))))
	if err != nil {
		return nil, err
	}
	return decodeRecord(text)
}

// writeRecord replaces the record in a file. Where there is no room for a new file, the old one is written over; a kill in the middle of that leaves a spoilt
// record, which permits no calls.
func writeRecord(path string, text []byte) error {
	next := path + ".next"
	err := os.WriteFile(next, text, 0o600)
	if err == nil {
		err = os.Rename(next, path)
	}
	if err == nil {
		return nil
	}
	os.Remove(next)
	if overwriteErr := overwriteRecord(path, text); overwriteErr != nil {
		return fmt.Errorf("%w, and writing over the old file: %w", err, overwriteErr)
	}
	return nil
}

// overwriteRecord writes over an existing file.
func overwriteRecord(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(text, 0)
	return errors.Join(err, file.Close())
}

// digestOf returns a digest of a list: of its index, and of all that says which endpoint an entry is and whether it may be called.
func digestOf(l *List) uint64 {
	digest := xxhash.New()
	fmt.Fprintln(digest, l.Index)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		var entry [17]byte
		binary.LittleEndian.PutUint64(entry[:], uint64(idOf(e)))
		binary.LittleEndian.PutUint64(entry[8:], uint64(e.SinceMS))
		if e.isServing() {
			entry[16] = 1
		}
		digest.Write(entry[:])
	}
	return digest.Sum64()
}

// hasSameIDs reports whether the record has exactly these endpoints.
func (r *callableRecord) hasSameIDs(ids []endpointID) bool {
	return len(r.ids) == len(ids) && !slices.ContainsFunc(ids, func(id endpointID) bool {
		_, has := r.ids[id]
		return !has
	})
}
