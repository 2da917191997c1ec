package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/door"
	"scaleroute/internal/journal"
	"scaleroute/internal/takeover"
)

const (
	folderWait   = 5 * time.Second        // at a start: until the folder that lasts is free
	folderPause  = 5 * time.Millisecond   // between two looks
	detachLimit  = 150 * time.Millisecond // for clients to take the answers in hand
	ownedLook    = time.Second            // how often an old process looks after the folder while it waits for the new one
	lingerAtMost = 20 * time.Second       // an old process stays for the operators for so long, or until SIGTERM
)

// inherit takes the clients' listening socket that the platform holds.
func (f *forwarder) inherit() error {
	file := os.NewFile(uintptr(f.c.SocketFD), "NODE_SOCKET_FD")
	ln, err := net.FileListener(file)
	if err != nil {
		return fmt.Errorf("NODE_SOCKET_FD: descriptor %d is no listening socket: have the platform open it, or leave the variable out (%w)", f.c.SocketFD, err)
	}
	file.Close()
	if f.inherited, err = newShared(ln); err != nil {
		return fmt.Errorf("NODE_SOCKET_FD: descriptor %d: %w", f.c.SocketFD, err)
	}
	f.id, err = takeover.NewIdentity(f.c.Name, f.c.StateDir)
	return err
}

// shared is a listening socket that others hold, too. That it does not block is a property that all of them share, and whoever starts the next process
// may end it (Go's os/exec does, for each file that a child inherits) until that one sets it again. An accept that blocks in the kernel heeds no deadline: a
// hand-over would wait for the next client, and the new process end after folderWait. So it is set before each accept.
type shared struct {
	net.Listener
	raw syscall.RawConn
}

func newShared(ln net.Listener) (net.Listener, error) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("it is a %T, which can't be accepted from: have the platform open a TCP socket that listens", ln)
	}
	raw, err := conn.SyscallConn()
	return shared{ln, raw}, err
}

// Accept waits for the next client, until the deadline.
func (s shared) Accept() (net.Conn, error) {
	var set error
	if err := s.raw.Control(func(fd uintptr) { set = syscall.SetNonblock(int(fd), true) }); err != nil {
		return nil, err
	}
	if set != nil {
		return nil, set
	}
	return s.Listener.Accept()
}

// SetDeadline bounds it.
func (s shared) SetDeadline(t time.Time) error {
	l, ok := s.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetDeadline(t)
}

// begin takes the folder that lasts: from the process that serves, if there is one, or as it is.
func (f *forwarder) begin() (j *journal.Journal, from *bundle, taker *takeover.Receiver, err error) {
	if f.inherited == nil {
		j, err = f.openJournal()
		return j, nil, nil, err
	}
	var taken time.Time
	for limit := time.Now().Add(folderWait); ; time.Sleep(folderPause) {
		if taker == nil {
			if from, taker, err = f.take(); err != nil {
				return nil, nil, nil, err
			}
			taken = time.Now()
		}
		j, err = f.openJournal()
		if err == nil || !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(limit) {
			return j, from, taker, err
		}
		if taker != nil && time.Since(taken) > ownedLook+folderPause { // the old one has taken its folder again
			slog.Warn("the process that served goes on: asking again")
			taker.Close()
			if from != nil {
				from.close()
			}
			from, taker = nil, nil
		}
	}
}

// take asks the process that serves, if there is one, to hand over. Without all that it has to leave, the journal alone is started from.
func (f *forwarder) take() (*bundle, *takeover.Receiver, error) {
	taker, err := takeover.RequestHandover(f.c.TempDir, f.id)
	var refused takeover.RefusedError
	switch {
	case errors.Is(err, takeover.ErrNoProcess), errors.Is(err, takeover.ErrRetryLater):
		return nil, nil, nil
	case errors.As(err, &refused):
		return nil, nil, err
	case err != nil:
		slog.Warn("asking to take over", "err", err)
		return nil, nil, nil
	}
	takeover.StepReached("new: asked")
	began := time.Now()
	parcels, err := taker.Receive()
	if err != nil {
		slog.Error("the process that served did not hand over whole: its journal alone is started from", "err", err)
		taker.Close()
		return nil, nil, nil
	}
	takeover.StepReached("new: received")
	from, err := unpack(parcels)
	if err != nil {
		slog.Error("what the process before left can't be read: its journal alone is started from", "err", err)
		takeover.CloseConns(parcels)
		return nil, taker, nil
	}
	slog.Info("taking over", "clients", len(from.clients), "calls", len(from.engine.Calls), "idle", len(from.idle), "after", time.Since(began))
	return from, taker, nil
}

// listenForNext has the next process ask here. Where that can't be it is logged: then the next one waits until this one has ended.
func (f *forwarder) listenForNext(ctx context.Context, all *sync.WaitGroup) <-chan *takeover.Sender {
	if f.inherited == nil {
		return nil
	}
	s, err := takeover.Listen(f.c.TempDir, f.id)
	if err != nil {
		slog.Warn("no process can take over from this one", "TMPDIR", f.c.TempDir, "err", err)
		return nil
	}
	context.AfterFunc(ctx, s.Close)
	all.Go(func() { s.Serve(ctx) })
	return s.Requests()
}

// give hands over to the next process, and stays until SIGTERM for the operators' sake once that one owns what was handed over. If it does
// not, the journal is returned: this process goes on with what it had.
func (f *forwarder) give(to *takeover.Sender, left *bundle) (*journal.Journal, error) {
	defer to.Close()
	takeover.StepReached("old: journal closed")
	parcels, err := left.parcels()
	if err == nil {
		err = to.Send(parcels)
	}
	takeover.StepReached("old: sent")
	at, why := "", err
	for limit := time.Now().Add(folderWait); ; time.Sleep(folderPause) {
		gone := err != nil
		if !gone {
			if at, err = to.AwaitOwnership(ownedLook); err == nil {
				break
			}
			why = err
			if gone = !errors.Is(err, os.ErrDeadlineExceeded); !gone { // it is slow
				err = nil
			}
		}
		j, locked := f.openJournal()
		if locked == nil { // and neither owns the folder nor can any more
			slog.Error("the next process did not take over; this one goes on: see that one's log, and start it again", "err", why)
			return j, nil
		}
		if !errors.Is(locked, syscall.EWOULDBLOCK) {
			return nil, locked
		}
		if gone && time.Now().After(limit) {
			slog.Warn("another process owns the folder, and did not say so", "err", err)
			break
		}
	}
	takeover.StepReached("old: owned")
	if at != "" {
		f.control.ForwardTo(door.NewClient(at))
	}
	left.close()
	slog.Info("handed over", "clients", len(left.clients), "calls", len(left.engine.Calls))
	select {
	case <-f.stop:
	case <-time.After(lingerAtMost):
	}
	return nil, nil
}
