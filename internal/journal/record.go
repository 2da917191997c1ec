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
//	5  check    CRC-32C of the segment's nonce and the record's offset, of kind and length, and of the payload
//
// With nonce and offset in it no record checks anywhere but where it was written, whatever a body holds and
// whatever was in the file before. CRC-32C has a Hamming distance of 4 at these lengths: one bit flipped is
// put right, and two are never taken for one.
const (
	recordMark        = 0xc7
	recordHeaderBytes = 9
	maxPayload        = 2 * MaxBody // extras take as much as a body at most
)

type kind byte

// The kinds of records, and their payloads. Every one but seal, synced and index begins with the message's
// number (uvarint) and the count of its records (1 byte).
const (
	kindState   kind = 'A' // a message as it is: accepted, or moved here by compaction
	kindSending kind = 'S' // an attempt is about to be made
	kindOutcome kind = 'O' // 1 byte: 1 if it may have run
	kindEnd     kind = 'E' // d or b, and the wait advised (ms, uvarint); a final answer is owed
	kindClosed  kind = 'C' // nothing is owed any more
	kindIndex   kind = 'X' // number and count of each record since the last index or the segment's begin
	kindSeal    kind = 'Z' // the segment is complete
	kindSynced  kind = 'Y' // the offset (uvarint) before which all is synced: written before anyone relies on it
)

func (k kind) known() bool {
	switch k {
	case kindState, kindSending, kindOutcome, kindEnd, kindClosed, kindIndex, kindSeal, kindSynced:
		return true
	}
	return false
}

// checkSeed is what the check of a record begins with.
func checkSeed(nonce uint32, offset int64) uint32 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], nonce)
	binary.LittleEndian.PutUint64(b[4:], uint64(offset))
	return crc32.Update(0, castagnoli, b[:])
}

// appendRecord adds a record that will stand at an offset of a segment.
func appendRecord(buf []byte, nonce uint32, offset int64, k kind, payload []byte) []byte {
	n := len(payload)
	start := len(buf)
	buf = append(buf, recordMark, byte(k), byte(n), byte(n>>8), byte(n>>16), 0, 0, 0, 0)
	check := crc32.Update(checkSeed(nonce, offset), castagnoli, buf[start+1:start+5])
	check = crc32.Update(check, castagnoli, payload)
	binary.LittleEndian.PutUint32(buf[start+5:], check)
	return append(buf, payload...)
}

// readRecord reads the record at the start of text, which is at an offset. A record with one flipped bit is
// repaired, in text too, if repair is set.
func readRecord(text []byte, nonce uint32, offset int64, repair bool) (k kind, payload []byte, repaired, ok bool) {
	if k, payload, ok = checkRecord(text, nonce, offset); ok || !repair || len(text) < recordHeaderBytes {
		return k, payload, false, ok
	}
	// In the payload, or in the check: the header reads well.
	if n, plausible := payloadLength(text); plausible && text[0] == recordMark && kind(text[1]).known() {
		if at, bit, found := findFlippedBit(text[:recordHeaderBytes+n], nonce, offset); found {
			text[at] ^= bit
			if k, payload, ok = checkRecord(text, nonce, offset); ok {
				return k, payload, true, true
			}
			text[at] ^= bit
		}
	}
	for i := range 5 {
		for bit := byte(1); bit != 0; bit <<= 1 {
			text[i] ^= bit
			if k, payload, ok = checkRecord(text, nonce, offset); ok {
				return k, payload, true, true
			}
			text[i] ^= bit
		}
	}
	return 0, nil, false, false
}

func payloadLength(text []byte) (n int, plausible bool) {
	n = int(text[2]) | int(text[3])<<8 | int(text[4])<<16
	return n, n <= maxPayload && n <= len(text)-recordHeaderBytes
}

func checkRecord(text []byte, nonce uint32, offset int64) (kind, []byte, bool) {
	if len(text) < recordHeaderBytes || text[0] != recordMark || !kind(text[1]).known() {
		return 0, nil, false
	}
	n, plausible := payloadLength(text)
	if !plausible {
		return 0, nil, false
	}
	check := crc32.Update(checkSeed(nonce, offset), castagnoli, text[1:5])
	check = crc32.Update(check, castagnoli, text[recordHeaderBytes:recordHeaderBytes+n])
	return kind(text[1]), text[recordHeaderBytes : recordHeaderBytes+n], check == binary.LittleEndian.Uint32(text[5:])
}

// findFlippedBit finds the one bit that would make a record valid: the difference between the check in the
// record and the computed one tells which it is.
func findFlippedBit(record []byte, nonce uint32, offset int64) (at int, bit byte, found bool) {
	check := crc32.Update(checkSeed(nonce, offset), castagnoli, record[1:5])
	check = crc32.Update(check, castagnoli, record[recordHeaderBytes:])
	diff := check ^ binary.LittleEndian.Uint32(record[5:])
	if diff != 0 && diff&(diff-1) == 0 { // in the check itself
		for i := range 4 {
			if b := byte(diff >> (8 * i)); b != 0 {
				return 5 + i, b, true
			}
		}
	}
	var effect [8]uint32 // of each bit of a byte that so many follow
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
