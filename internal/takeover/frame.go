// Package takeover implements the handover between two processes of one forwarder on the same machine: the running
// process sends its connections and data to its successor over a Unix socket. The package knows nothing of forwarders:
// it transfers handover records. docs/operations-design.md describes the whole procedure.
package takeover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ProtocolVersion is the version of the protocol between the two processes, and of the contents of the records.
const ProtocolVersion = 1

const (
	maxRecordBytes   = 64 << 20 // bytes of one record
	maxKindBytes     = 64
	maxTotalBytes    = 512 << 20 // bytes of all records
	maxRecords       = 1 << 20   // number of records
	frameHeaderBytes = 15
	stepTimeout      = time.Second // limit for one step of the peer
)

// Record is one item that is handed over.
type Record struct {
	Kind string
	Data []byte
	Conn net.Conn // sent along if it is not nil; it is then open in both processes
}

// errCorruptFrame is the error of a frame that does not arrive as it was sent.
var errCorruptFrame = errors.New("the frame is corrupt")

// send writes one frame: a header, with which the connection is sent, the kind, and the data. The header:
//
//	connections (1 byte: 0 or 1), length of the kind (2), length of the data (4), checksum of kind and data (4), checksum of all that (4)
func send(to *net.UnixConn, record Record) error {
	if len(record.Data) > maxRecordBytes || len(record.Kind) > maxKindBytes {
		return fmt.Errorf("%d bytes of %q: one record can hand over at most %d bytes", len(record.Data), record.Kind, maxRecordBytes)
	}
	var header [frameHeaderBytes]byte
	sum := crc32.Update(crc32.ChecksumIEEE([]byte(record.Kind)), crc32.IEEETable, record.Data)
	binary.LittleEndian.PutUint16(header[1:], uint16(len(record.Kind)))
	binary.LittleEndian.PutUint32(header[3:], uint32(len(record.Data)))
	binary.LittleEndian.PutUint32(header[7:], sum)
	write := func(rights []byte) error {
		binary.LittleEndian.PutUint32(header[11:], crc32.ChecksumIEEE(header[:11]))
		n, _, err := to.WriteMsgUnix(header[:], rights, nil)
		if err == nil && n < len(header) {
			_, err = to.Write(header[n:])
		}
		return err
	}
	if err := to.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	if record.Conn == nil {
		if err := write(nil); err != nil {
			return err
		}
	} else {
		raw, ok := record.Conn.(syscall.Conn)
		if !ok {
			return fmt.Errorf("a connection of type %T can't be handed over", record.Conn)
		}
		rc, err := raw.SyscallConn()
		if err != nil {
			return err
		}
		header[0] = 1
		var sent error
		if err := rc.Control(func(fd uintptr) { sent = write(syscall.UnixRights(int(fd))) }); err != nil {
			return err
		}
		if sent != nil {
			return sent
		}
	}
	// No write is empty: the peer may exit as soon as it has read the last byte, which must not count as a failure here.
	for _, part := range [][]byte{[]byte(record.Kind), record.Data} {
		if len(part) == 0 {
			continue
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// receive reads one frame, and waits at most for the given time until it begins.
func receive(from *net.UnixConn, limit time.Duration) (record Record, err error) {
	if err := from.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return record, err
	}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	var header [frameHeaderBytes]byte
	for got := 0; got < len(header); {
		rights := make([]byte, syscall.CmsgSpace(4*4))
		n, oob, _, _, err := from.ReadMsgUnix(header[got:], rights)
		if err != nil {
			return record, err
		}
		files = append(files, filesFromRights(rights[:oob])...)
		if n == 0 {
			return record, io.ErrUnexpectedEOF
		}
		got += n
	}
	kindBytes, dataBytes := int(binary.LittleEndian.Uint16(header[1:])), int(binary.LittleEndian.Uint32(header[3:]))
	if crc32.ChecksumIEEE(header[:11]) != binary.LittleEndian.Uint32(header[11:]) || kindBytes > maxKindBytes || dataBytes > maxRecordBytes || int(header[0]) != len(files) || len(files) > 1 {
		return record, fmt.Errorf("%w: its header is invalid", errCorruptFrame)
	}
	from.SetReadDeadline(time.Now().Add(stepTimeout))
	payload := make([]byte, kindBytes+dataBytes)
	if _, err := io.ReadFull(from, payload); err != nil {
		return record, err
	}
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(header[7:]) {
		return record, fmt.Errorf("%w: the checksum of %d bytes of %q does not match", errCorruptFrame, dataBytes, payload[:kindBytes])
	}
	record.Kind, record.Data = string(payload[:kindBytes]), payload[kindBytes:]
	if len(files) == 1 {
		if record.Conn, err = net.FileConn(files[0]); err != nil {
			return record, fmt.Errorf("opening a connection that was handed over: %w", err)
		}
	}
	return record, nil
}

// filesFromRights returns the file descriptors of a control message as files.
func filesFromRights(rights []byte) (files []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files
}
