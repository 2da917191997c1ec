// Package takeover lets one process of a forwarder hand over to the next one, on one machine: connections and data over a Unix socket. It
// knows no forwarder: what is handed over are parcels. docs/operations-design.md has the whole way.
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

// ProtocolVersion is that of what the two processes say to each other, and of what the parcels hold.
const ProtocolVersion = 1

const (
	mostData  = 64 << 20 // bytes of one parcel
	mostKind  = 64
	mostTotal = 512 << 20 // bytes of all parcels
	mostCount = 1 << 20   // parcels
	headBytes = 15
	stepTime  = time.Second // for one step of the other side
)

// Record is one thing that is handed over.
type Record struct {
	Kind string
	Data []byte
	Conn net.Conn // goes along if it is not nil: it is open in both processes then
}

// errDamaged says that a frame is not as it was sent.
var errDamaged = errors.New("a frame that is damaged")

// send writes one frame: a head that the connection goes along with, the kind, the data.
//
//	connections (1 byte: 0 or 1), length of the kind (2), length of the data (4), checksum of both (4), checksum of all that (4)
func send(to *net.UnixConn, p Record) error {
	if len(p.Data) > mostData || len(p.Kind) > mostKind {
		return fmt.Errorf("%d bytes of %q: more than %d can't be handed over", len(p.Data), p.Kind, mostData)
	}
	var head [headBytes]byte
	sum := crc32.Update(crc32.ChecksumIEEE([]byte(p.Kind)), crc32.IEEETable, p.Data)
	binary.LittleEndian.PutUint16(head[1:], uint16(len(p.Kind)))
	binary.LittleEndian.PutUint32(head[3:], uint32(len(p.Data)))
	binary.LittleEndian.PutUint32(head[7:], sum)
	write := func(rights []byte) error {
		binary.LittleEndian.PutUint32(head[11:], crc32.ChecksumIEEE(head[:11]))
		n, _, err := to.WriteMsgUnix(head[:], rights, nil)
		if err == nil && n < len(head) {
			_, err = to.Write(head[n:])
		}
		return err
	}
	if err := to.SetWriteDeadline(time.Now().Add(stepTime)); err != nil {
		return err
	}
	if p.Conn == nil {
		if err := write(nil); err != nil {
			return err
		}
	} else {
		raw, ok := p.Conn.(syscall.Conn)
		if !ok {
			return fmt.Errorf("%T is no connection that can be handed over", p.Conn)
		}
		rc, err := raw.SyscallConn()
		if err != nil {
			return err
		}
		head[0] = 1
		var sent error
		if err := rc.Control(func(fd uintptr) { sent = write(syscall.UnixRights(int(fd))) }); err != nil {
			return err
		}
		if sent != nil {
			return sent
		}
	}
	// No write is empty: once the last byte is read the other side may end, and its end is no failure of this.
	for _, part := range [][]byte{[]byte(p.Kind), p.Data} {
		if len(part) == 0 {
			continue
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// receive reads one frame, and waits for it to begin for so long.
func receive(from *net.UnixConn, limit time.Duration) (p Record, err error) {
	if err := from.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return p, err
	}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	var head [headBytes]byte
	for got := 0; got < len(head); {
		rights := make([]byte, syscall.CmsgSpace(4*4))
		n, oob, _, _, err := from.ReadMsgUnix(head[got:], rights)
		if err != nil {
			return p, err
		}
		files = append(files, filesOf(rights[:oob])...)
		if n == 0 {
			return p, io.ErrUnexpectedEOF
		}
		got += n
	}
	kind, data := int(binary.LittleEndian.Uint16(head[1:])), int(binary.LittleEndian.Uint32(head[3:]))
	if crc32.ChecksumIEEE(head[:11]) != binary.LittleEndian.Uint32(head[11:]) || kind > mostKind || data > mostData || int(head[0]) != len(files) || len(files) > 1 {
		return p, fmt.Errorf("%w: its head", errDamaged)
	}
	from.SetReadDeadline(time.Now().Add(stepTime))
	text := make([]byte, kind+data)
	if _, err := io.ReadFull(from, text); err != nil {
		return p, err
	}
	if crc32.ChecksumIEEE(text) != binary.LittleEndian.Uint32(head[7:]) {
		return p, fmt.Errorf("%w: %d bytes of %q", errDamaged, data, text[:kind])
	}
	p.Kind, p.Data = string(text[:kind]), text[kind:]
	if len(files) == 1 {
		if p.Conn, err = net.FileConn(files[0]); err != nil {
			return p, fmt.Errorf("a connection that was handed over: %w", err)
		}
	}
	return p, nil
}

// filesOf takes the descriptors out of a control message.
func filesOf(rights []byte) (files []*os.File) {
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
