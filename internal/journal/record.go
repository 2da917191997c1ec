package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header of 9 bytes and a payload. The header:
//
//	0  mark     0xc7
//	1  kind
//	2  length   of the payload, 3 bytes, little-endian
//	5  checksum CRC-32C of the segment's nonce and the record's offset, of kind and length, and of the payload
//
// Since nonce and offset are part of the checksum, a record is valid only where it was written, whatever a body contains
// and whatever the file contained before. CRC-32C has a Hamming distance of 4 at these lengths: one flipped bit can be
// corrected, and two flipped bits are never mistaken for one.
const (
	recordMark        = 0xc7
	recordHeaderBytes = 9
	maxPayload        = 2 * MaxBody // extras take as many bytes as a body, at most
)

type kind byte

// The kinds of records and their payloads. All but seal, synced and index begin with the message's number (uvarint) and
// the count of its records (1 byte).
const (
	kindState      kind = 'A' // the whole state of a message: accepted, or copied here by compaction
	kindSending    kind = 'S' // an attempt is about to be made
	kindOutcome    kind = 'O' // 1 byte: 1 if the attempt may have run
	kindCompletion kind = 'E' // d (dead) or b (bounced), and the advised retry-after (ms, uvarint); a completion notice is pending
	kindClosed     kind = 'C' // no work is left for the message
	kindIndex      kind = 'X' // number and count of each record since the last index or the start of the segment
	kindSeal       kind = 'Z' // the segment is complete
	kindSynced     kind = 'Y' // the offset (uvarint) before which all is synced: written before anything relies on it
)

func (k kind) isKnown() bool {
	switch k {
	case kindState, kindSending, kindOutcome, kindCompletion, kindClosed, kindIndex, kindSeal, kindSynced:
		return true
	}
	return false
}

// checksumSeed returns the CRC of nonce and offset, from which the checksum of a record is computed.
func checksumSeed(nonce uint32, offset int64) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], nonce)
	binary.LittleEndian.PutUint64(b[4:], uint64(offset))
	return crc32.Update(0, castagnoli, b[:])
}

// appendRecord appends a record that will be written at the given offset of a segment.
func appendRecord(buf []byte, nonce uint32, offset int64, k kind, payload []byte) []byte {
	n := len(payload)
	start := len(buf)
	buf = append(buf, recordMark, byte(k), byte(n), byte(n>>8), byte(n>>16), 0, 0, 0, 0)
	check := crc32.Update(checksumSeed(nonce, offset), castagnoli, buf[start+1:start+5])
	check = crc32.Update(check, castagnoli, payload)
	binary.LittleEndian.PutUint32(buf[start+5:], check)
	return append(buf, payload...)
}

// readRecord reads the record at the start of data, which is at the given offset of a segment. If repair is set, a
// single flipped bit is corrected, in data as well.
func readRecord(data []byte, nonce uint32, offset int64, repair bool) (k kind, payload []byte, corrected, ok bool) {
	if k, payload, ok = verifyRecord(data, nonce, offset); ok || !repair || len(data) < recordHeaderBytes {
		return k, payload, false, ok
	}
	// The bit is in the payload or in the checksum, since the header is plausible.
	if n, plausible := payloadLength(data); plausible && data[0] == recordMark && kind(data[1]).isKnown() {
		if at, bit, found := findFlippedBit(data[:recordHeaderBytes+n], nonce, offset); found {
			data[at] ^= bit
			if k, payload, ok = verifyRecord(data, nonce, offset); ok {
				return k, payload, true, true
			}
			data[at] ^= bit
		}
	}
	for i := range 5 {
		for bit := byte(1); bit != 0; bit <<= 1 {
			data[i] ^= bit
			if k, payload, ok = verifyRecord(data, nonce, offset); ok {
				return k, payload, true, true
			}
			data[i] ^= bit
		}
	}
	return 0, nil, false, false
}

func payloadLength(data []byte) (n int, plausible bool) {
	n = int(data[2]) | int(data[3])<<8 | int(data[4])<<16
	return n, n <= maxPayload && n <= len(data)-recordHeaderBytes
}

func verifyRecord(data []byte, nonce uint32, offset int64) (kind, []byte, bool) {
	if len(data) < recordHeaderBytes || data[0] != recordMark || !kind(data[1]).isKnown() {
		return 0, nil, false
	}
	n, plausible := payloadLength(data)
	if !plausible {
		return 0, nil, false
	}
	check := crc32.Update(checksumSeed(nonce, offset), castagnoli, data[1:5])
	check = crc32.Update(check, castagnoli, data[recordHeaderBytes:recordHeaderBytes+n])
	return kind(data[1]), data[recordHeaderBytes : recordHeaderBytes+n], check == binary.LittleEndian.Uint32(data[5:])
}

// findFlippedBit finds the one bit whose change makes a record valid. The difference between the checksum in the record
// and the computed one identifies it.
func findFlippedBit(record []byte, nonce uint32, offset int64) (at int, bit byte, found bool) {
	check := crc32.Update(checksumSeed(nonce, offset), castagnoli, record[1:5])
	check = crc32.Update(check, castagnoli, record[recordHeaderBytes:])
	diff := check ^ binary.LittleEndian.Uint32(record[5:])
	if diff != 0 && diff&(diff-1) == 0 { // in the checksum itself
		for i := range 4 {
			if b := byte(diff >> (8 * i)); b != 0 {
				return 5 + i, b, true
			}
		}
	}
	var effect [8]uint32 // what flipping each bit of a byte changes in the checksum, given the number of bytes after it
	for b := range effect {
		effect[b] = castagnoli[1<<b]
	}
	for i := len(record) - 1; i >= recordHeaderBytes; i-- {
		for b, e := range effect {
			if e == diff {
				return i, 1 << b, true
			}
			effect[b] = castagnoli[byte(e)] ^ e>>8
		}
	}
	return 0, 0, false
}
