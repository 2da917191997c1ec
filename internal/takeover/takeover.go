package takeover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Kinds of the records that the protocol itself uses.
const (
	kindRequest    = "ask"
	kindAccepted   = "coming"
	kindRefused    = "refused"
	kindRetryLater = "later"
	kindEnd        = "end"
	kindOwned      = "owned"
)

// StepReached is called at each named step of a handover. Tests end a process there.
var StepReached = func(step string) {}

// Identity identifies the forwarder to which a process belongs. Two processes of one forwarder have equal identities.
type Identity struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Folder  string `json:"folder"` // device and inode of the forwarder's state folder
}

// NewIdentity returns the identity of a process from its forwarder's name and state folder.
func NewIdentity(name, folder string) (Identity, error) {
	var s syscall.Stat_t
	if err := syscall.Stat(folder, &s); err != nil {
		return Identity{}, fmt.Errorf("%s: %w", folder, err)
	}
	return Identity{ProtocolVersion, name, fmt.Sprintf("%x:%x", s.Dev, s.Ino)}, nil
}

// refusalReason returns why a running process with this identity does not hand over to the other one; empty if it does.
func (i Identity) refusalReason(other Identity) string {
	switch {
	case other.Version != i.Version:
		return fmt.Sprintf("the new process uses version %d of the handover and the running one version %d: stop the running process with SIGTERM, and start the new one after it", other.Version, i.Version)
	case other.Folder != i.Folder:
		return "the folder NODE_STATE of the new process belongs to another forwarder: give the two forwarders folders TMPDIR of their own"
	case other.Name != i.Name:
		return fmt.Sprintf("the new process is forwarder %q and the running one is %q, with the same folder NODE_STATE: name another folder for one of them", other.Name, i.Name)
	}
	return ""
}

// socketName returns the name of the socket, which differs for each state folder.
func (i Identity) socketName() string { return "scaleroute-" + i.Folder + ".sock" }

// withSocketAddr calls do with an address of the socket that is short enough for a Unix socket, however long the path of
// the folder is.
func (i Identity) withSocketAddr(dir string, do func(*net.UnixAddr) error) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return do(&net.UnixAddr{Net: "unix", Name: fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), i.socketName())})
}

// Socket is where the next process requests the handover.
type Socket struct {
	ln       *net.UnixListener
	id       Identity
	requests chan *Sender
}

// Listen opens the socket in a folder. The caller owns the forwarder's state folder, so no running process uses a socket
// that is left there, and it is replaced.
func Listen(dir string, id Identity) (*Socket, error) {
	s := &Socket{id: id, requests: make(chan *Sender)}
	if err := os.Remove(filepath.Join(dir, id.socketName())); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	err := id.withSocketAddr(dir, func(a *net.UnixAddr) (err error) {
		if s.ln, err = net.ListenUnix("unix", a); err != nil {
			return err
		}
		s.ln.SetUnlinkOnClose(false) // by then the name may belong to the next process
		return os.Chmod(filepath.Join(dir, id.socketName()), 0o600)
	})
	if err != nil {
		if s.ln != nil {
			s.ln.Close()
		}
		return nil, err
	}
	return s, nil
}

// Serve handles requests for a handover until Close.
func (s *Socket) Serve(ctx context.Context) {
	for {
		conn, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			slog.Warn("accepting a connection for a handover request", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		if err := s.handleRequest(ctx, conn); err != nil {
			slog.Error("a handover request is refused", "err", err)
			conn.Close()
		}
	}
}

// handleRequest reads the request, and passes it on to the forwarder or refuses it.
func (s *Socket) handleRequest(ctx context.Context, conn *net.UnixConn) error {
	if err := checkSameUser(conn); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	record, err := receive(conn, stepTimeout)
	stop()
	if err != nil {
		return err
	}
	var other Identity
	if record.Kind != kindRequest || json.Unmarshal(record.Data, &other) != nil {
		return fmt.Errorf("%w: received %q instead of %q", errCorruptFrame, record.Kind, kindRequest)
	}
	reason := s.id.refusalReason(other)
	if reason == "" {
		select {
		case s.requests <- &Sender{conn}:
			return nil
		case <-ctx.Done(): // this process already hands over, or stops
		}
		send(conn, Record{Kind: kindRetryLater})
		conn.Close()
		return nil
	}
	send(conn, Record{Kind: kindRefused, Data: []byte(reason)})
	return errors.New(reason)
}

// Requests returns the channel of the processes whose requests are valid.
func (s *Socket) Requests() <-chan *Sender { return s.requests }

// Close closes the socket and leaves its name in the folder.
func (s *Socket) Close() { s.ln.Close() }

// checkSameUser returns an error if the peer runs as another user: write access to the folder alone is not enough.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		cred, optErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if optErr != nil {
		return optErr
	}
	if int(cred.Uid) != os.Geteuid() {
		return fmt.Errorf("the peer is process %d of user %d, and this process runs as user %d: run both as the same user", cred.Pid, cred.Uid, os.Geteuid())
	}
	return nil
}

// Sender is the running process's side of a handover.
type Sender struct{ conn *net.UnixConn }

// Accept tells the new process that it may wait for the records.
func (s *Sender) Accept() error { return send(s.conn, Record{Kind: kindAccepted}) }

// Send sends all records.
func (s *Sender) Send(list []Record) error {
	for i, record := range list {
		if i == len(list)/2 {
			StepReached("old: sent half")
		}
		if err := send(s.conn, record); err != nil {
			return err
		}
	}
	return send(s.conn, Record{Kind: kindEnd})
}

// AwaitOwnership waits until the new process confirms that it owns what was sent, and returns the address of its admin
// API. An error means that the new process has exited, or has not confirmed in the given time.
func (s *Sender) AwaitOwnership(limit time.Duration) (adminAddr string, err error) {
	record, err := receive(s.conn, limit)
	if err == nil && record.Kind != kindOwned {
		err = fmt.Errorf("%w: received %q instead of %q", errCorruptFrame, record.Kind, kindOwned)
	}
	return string(record.Data), err
}

// Close closes the connection to the new process.
func (s *Sender) Close() { s.conn.Close() }

// ErrNoProcess says that there is no running process to take over from.
var ErrNoProcess = errors.New("no running process to take over from")

// ErrRetryLater says that the running process is stopping or already handing over to another one: the caller requests
// the handover again.
var ErrRetryLater = errors.New("the running process is handing over or stopping")

// RefusedError says why the running process does not hand over, and what an operator can do about it.
type RefusedError string

func (r RefusedError) Error() string {
	return "the running process does not hand over: " + string(r)
}

// Receiver is the new process's side of a handover.
type Receiver struct{ conn *net.UnixConn }

// RequestHandover requests a handover from the running process.
func RequestHandover(dir string, id Identity) (*Receiver, error) {
	var conn *net.UnixConn
	err := id.withSocketAddr(dir, func(a *net.UnixAddr) (err error) {
		conn, err = net.DialUnix("unix", nil, a)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoProcess
	}
	if err != nil {
		return nil, err
	}
	r := &Receiver{conn}
	if err := r.request(id); err != nil {
		conn.Close()
		return nil, err
	}
	return r, nil
}

func (r *Receiver) request(id Identity) error {
	if err := checkSameUser(r.conn); err != nil {
		return err
	}
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	var reply Record
	if err = send(r.conn, Record{Kind: kindRequest, Data: data}); err == nil {
		reply, err = receive(r.conn, 2*stepTimeout)
	}
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrRetryLater // the running process or its socket was closed before it read the request
	case err != nil:
		return fmt.Errorf("requesting the handover: %w", err)
	case reply.Kind == kindRetryLater:
		return ErrRetryLater
	case reply.Kind == kindRefused:
		return RefusedError(reply.Data)
	case reply.Kind != kindAccepted:
		return fmt.Errorf("%w: received %q instead of %q", errCorruptFrame, reply.Kind, kindAccepted)
	}
	return nil
}

// Receive receives all records. If it returns an error it has closed the connections received so far, and the running
// process continues with its own.
func (r *Receiver) Receive() (list []Record, err error) {
	total := 0
	for {
		record, err := receive(r.conn, 3*stepTimeout)
		if total += len(record.Data); err == nil && (total > maxTotalBytes || len(list) > maxRecords) {
			err = fmt.Errorf("more than %d bytes or %d records", maxTotalBytes, maxRecords)
		}
		if err != nil {
			CloseConns(append(list, record))
			return nil, fmt.Errorf("receiving the handover: record %d: %w", len(list)+1, err)
		}
		if record.Kind == kindEnd {
			return list, nil
		}
		list = append(list, record)
	}
}

// ConfirmOwnership tells the running process that this one owns what it received, and the address of its admin API;
// empty if it has none.
func (r *Receiver) ConfirmOwnership(adminAddr string) error {
	return send(r.conn, Record{Kind: kindOwned, Data: []byte(adminAddr)})
}

// Close closes the connection to the running process.
func (r *Receiver) Close() { r.conn.Close() }

// CloseConns closes the connections of records.
func CloseConns(list []Record) {
	for _, record := range list {
		if record.Conn != nil {
			record.Conn.Close()
		}
	}
}
