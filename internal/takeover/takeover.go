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

// Kinds of parcels that the two sides say to each other.
const (
	kindAsk     = "ask"
	kindComing  = "coming"
	kindRefused = "refused"
	kindLater   = "later"
	kindEnd     = "end"
	kindOwned   = "owned"
)

// StepReached is called at each named step of a hand-over. Tests end a process there.
var StepReached = func(step string) {}

// Identity says whose a process is. Two with the same are of one forwarder.
type Identity struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	Folder  string `json:"folder"` // device and inode of the folder that lasts
}

// NewIdentity makes the Identity of a process.
func NewIdentity(name, folder string) (Identity, error) {
	var s syscall.Stat_t
	if err := syscall.Stat(folder, &s); err != nil {
		return Identity{}, fmt.Errorf("%s: %w", folder, err)
	}
	return Identity{ProtocolVersion, name, fmt.Sprintf("%x:%x", s.Dev, s.Ino)}, nil
}

// refuses is why one process does not hand over to another; empty if it does.
func (i Identity) refuses(other Identity) string {
	switch {
	case other.Version != i.Version:
		return fmt.Sprintf("it speaks version %d of the hand-over and this process %d: end this one by SIGTERM and start the other after it", other.Version, i.Version)
	case other.Folder != i.Folder:
		return "its folder NODE_STATE is another forwarder's: give the two of them folders TMPDIR of their own"
	case other.Name != i.Name:
		return fmt.Sprintf("it is forwarder %q and this is %q, with one folder NODE_STATE: name another folder", other.Name, i.Name)
	}
	return ""
}

// name is that of the socket: another one for each folder that lasts.
func (i Identity) name() string { return "scaleroute-" + i.Folder + ".sock" }

// at calls do with an address of the socket that is short enough for any folder.
func (i Identity) at(dir string, do func(*net.UnixAddr) error) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return do(&net.UnixAddr{Net: "unix", Name: fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), i.name())})
}

// Socket is where the next process asks.
type Socket struct {
	ln   *net.UnixListener
	id   Identity
	asks chan *Sender
}

// Listen opens the socket in a folder. Whoever calls it owns the forwarder's lasting folder, so one that is there is nobody's any more.
func Listen(dir string, id Identity) (*Socket, error) {
	s := &Socket{id: id, asks: make(chan *Sender)}
	if err := os.Remove(filepath.Join(dir, id.name())); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	err := id.at(dir, func(a *net.UnixAddr) (err error) {
		if s.ln, err = net.ListenUnix("unix", a); err != nil {
			return err
		}
		s.ln.SetUnlinkOnClose(false) // by then the name may be the next one's
		return os.Chmod(filepath.Join(dir, id.name()), 0o600)
	})
	if err != nil {
		if s.ln != nil {
			s.ln.Close()
		}
		return nil, err
	}
	return s, nil
}

// Serve tells processes that ask from others, until Close.
func (s *Socket) Serve(ctx context.Context) {
	for {
		conn, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			slog.Warn("a process that asks to take over", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		if err := s.greet(ctx, conn); err != nil {
			slog.Error("a process that asks to take over is refused", "err", err)
			conn.Close()
		}
	}
}

// greet hears who asks, and has the forwarder know of it.
func (s *Socket) greet(ctx context.Context, conn *net.UnixConn) error {
	if err := sameUser(conn); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	p, err := receive(conn, stepTime)
	stop()
	if err != nil {
		return err
	}
	var other Identity
	if p.Kind != kindAsk || json.Unmarshal(p.Data, &other) != nil {
		return fmt.Errorf("%w: %q where %q should come", errDamaged, p.Kind, kindAsk)
	}
	why := s.id.refuses(other)
	if why == "" {
		select {
		case s.asks <- &Sender{conn}:
			return nil
		case <-ctx.Done(): // it hands over, or ends
		}
		send(conn, Record{Kind: kindLater})
		conn.Close()
		return nil
	}
	send(conn, Record{Kind: kindRefused, Data: []byte(why)})
	return errors.New(why)
}

// Requests is where those that may take over come.
func (s *Socket) Requests() <-chan *Sender { return s.asks }

// Close ends the socket, and leaves its name.
func (s *Socket) Close() { s.ln.Close() }

// sameUser refuses a peer that runs as another user: who may write to the folder is not enough.
func sameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var got error
	if err := raw.Control(func(fd uintptr) {
		cred, got = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if got != nil {
		return got
	}
	if int(cred.Uid) != os.Geteuid() {
		return fmt.Errorf("a stranger: process %d of user %d, and this is user %d's: run both as one user", cred.Pid, cred.Uid, os.Geteuid())
	}
	return nil
}

// Sender is the old process's end of a hand-over.
type Sender struct{ conn *net.UnixConn }

// Accept tells the new process that it may wait for the parcels.
func (g *Sender) Accept() error { return send(g.conn, Record{Kind: kindComing}) }

// Send sends all parcels.
func (g *Sender) Send(list []Record) error {
	for i, p := range list {
		if i == len(list)/2 {
			StepReached("old: sent half")
		}
		if err := send(g.conn, p); err != nil {
			return err
		}
	}
	return send(g.conn, Record{Kind: kindEnd})
}

// AwaitOwnership waits until the new process says that it owns what was sent, and returns where its operators' door is. An error means that it has
// ended, or said nothing for so long.
func (g *Sender) AwaitOwnership(limit time.Duration) (door string, err error) {
	p, err := receive(g.conn, limit)
	if err == nil && p.Kind != kindOwned {
		err = fmt.Errorf("%w: %q where %q should come", errDamaged, p.Kind, kindOwned)
	}
	return string(p.Data), err
}

// Close ends the old process's end.
func (g *Sender) Close() { g.conn.Close() }

// ErrNoProcess says that there is no process to take over from.
var ErrNoProcess = errors.New("no process to take over from")

// ErrRetryLater says that the process that serves is just ending, or handing over to another: ask again.
var ErrRetryLater = errors.New("the process that serves is handing over or ending")

// RefusedError is why the old process does not hand over, and what to do.
type RefusedError string

func (r RefusedError) Error() string {
	return "the process that serves does not hand over: " + string(r)
}

// Receiver is the new process's end of a hand-over.
type Receiver struct{ conn *net.UnixConn }

// RequestHandover asks the process that serves to hand over.
func RequestHandover(dir string, id Identity) (*Receiver, error) {
	var conn *net.UnixConn
	err := id.at(dir, func(a *net.UnixAddr) (err error) {
		conn, err = net.DialUnix("unix", nil, a)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoProcess
	}
	if err != nil {
		return nil, err
	}
	t := &Receiver{conn}
	if err := t.ask(id); err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}

func (t *Receiver) ask(id Identity) error {
	if err := sameUser(t.conn); err != nil {
		return err
	}
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	var p Record
	if err = send(t.conn, Record{Kind: kindAsk, Data: text}); err == nil {
		p, err = receive(t.conn, 2*stepTime)
	}
	switch {
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return ErrRetryLater // it ended, or its socket did, before it had heard this
	case err != nil:
		return fmt.Errorf("asking to take over: %w", err)
	case p.Kind == kindLater:
		return ErrRetryLater
	case p.Kind == kindRefused:
		return RefusedError(p.Data)
	case p.Kind != kindComing:
		return fmt.Errorf("%w: %q where %q should come", errDamaged, p.Kind, kindComing)
	}
	return nil
}

// Receive takes all parcels. With an error it has closed those that had come: the old process goes on with its own.
func (t *Receiver) Receive() (list []Record, err error) {
	total := 0
	for {
		p, err := receive(t.conn, 3*stepTime)
		if total += len(p.Data); err == nil && (total > mostTotal || len(list) > mostCount) {
			err = fmt.Errorf("more than %d bytes or %d parcels", mostTotal, mostCount)
		}
		if err != nil {
			CloseConns(append(list, p))
			return nil, fmt.Errorf("taking over: parcel %d: %w", len(list)+1, err)
		}
		if p.Kind == kindEnd {
			return list, nil
		}
		list = append(list, p)
	}
}

// ConfirmOwnership says that this process owns what came, and where its operators' door is; empty if it has none.
func (t *Receiver) ConfirmOwnership(door string) error {
	return send(t.conn, Record{Kind: kindOwned, Data: []byte(door)})
}

// Close ends the new process's end.
func (t *Receiver) Close() { t.conn.Close() }

// CloseConns closes the connections of parcels.
func CloseConns(list []Record) {
	for _, p := range list {
		if p.Conn != nil {
			p.Conn.Close()
		}
	}
}
