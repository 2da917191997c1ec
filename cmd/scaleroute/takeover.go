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
	stateLockTimeout      = 5 * time.Second        // at a start, for the lock of the state folder
	stateLockInterval     = 5 * time.Millisecond   // between two attempts to lock it
	detachTimeout         = 150 * time.Millisecond // for clients to read the replies that are being written
	ownershipPollInterval = time.Second            // how often an old process tries to lock the state folder while it waits for the new one
	maxLinger             = 20 * time.Second       // how long an old process forwards operators' requests, unless SIGTERM comes before
)

// inheritSocket opens the clients' listening socket that the platform passes on.
func (f *forwarder) inheritSocket() error {
	file := os.NewFile(uintptr(f.config.SocketFD), "NODE_SOCKET_FD")
	ln, err := net.FileListener(file)
	if err != nil {
		return fmt.Errorf("NODE_SOCKET_FD: descriptor %d is not a listening socket: have the platform open it, or unset the variable (%w)", f.config.SocketFD, err)
	}
	file.Close()
	if f.inherited, err = newSharedListener(ln); err != nil {
		return fmt.Errorf("NODE_SOCKET_FD: descriptor %d: %w", f.config.SocketFD, err)
	}
	f.identity, err = takeover.NewIdentity(f.config.Name, f.config.StateDir)
	return err
}

// sharedListener is a listening socket that other processes hold, too. Non-blocking mode is a property that all holders share, and a process that starts the
// next one may switch it off (Go's os/exec does, for each file that a child inherits) until the next one switches it on again. An accept that blocks in the
// kernel ignores the deadline: a handover would wait for the next client, and the new process would end after stateLockTimeout. Accept therefore sets
// non-blocking mode each time.
type sharedListener struct {
	net.Listener
	raw syscall.RawConn
}

func newSharedListener(ln net.Listener) (net.Listener, error) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T does not accept connections: have the platform open a listening TCP socket", ln)
	}
	raw, err := conn.SyscallConn()
	return sharedListener{ln, raw}, err
}

// Accept waits for the next client, until the deadline.
func (s sharedListener) Accept() (net.Conn, error) {
	var nonblockErr error // of the system call itself
	if err := s.raw.Control(func(fd uintptr) { nonblockErr = syscall.SetNonblock(int(fd), true) }); err != nil {
		return nil, err
	}
	if nonblockErr != nil {
		return nil, nonblockErr
	}
	return s.Listener.Accept()
}

// SetDeadline sets the deadline of Accept.
func (s sharedListener) SetDeadline(t time.Time) error {
	l, ok := s.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetDeadline(t)
}

// acquireState opens the journal in the state folder. If another process serves, it first requests the handover from that one.
func (f *forwarder) acquireState() (j *journal.Journal, previous *handoverState, receiver *takeover.Receiver, err error) {
	if f.inherited == nil {
		j, err = f.openJournal()
		return j, nil, nil, err
	}
	var receivedAt time.Time
	for limit := time.Now().Add(stateLockTimeout); ; time.Sleep(stateLockInterval) {
		if receiver == nil {
			if previous, receiver, err = f.requestHandover(); err != nil {
				return nil, nil, nil, err
			}
			receivedAt = time.Now()
		}
		j, err = f.openJournal()
		if err == nil || !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(limit) {
			return j, previous, receiver, err
		}
		if receiver != nil && time.Since(receivedAt) > ownershipPollInterval+stateLockInterval { // the old process has locked its folder again
			slog.Warn("the old process serves again: requesting the handover once more")
			receiver.Close()
			if previous != nil {
				previous.closeConns()
			}
			previous, receiver = nil, nil
		}
	}
}

// requestHandover requests the handover from the process that serves, if there is one. It returns a nil state if the state does not arrive complete: then this
// process starts from the journal alone.
func (f *forwarder) requestHandover() (*handoverState, *takeover.Receiver, error) {
	receiver, err := takeover.RequestHandover(f.config.TempDir, f.identity)
	var refused takeover.RefusedError
	switch {
	case errors.Is(err, takeover.ErrNoProcess), errors.Is(err, takeover.ErrRetryLater):
		return nil, nil, nil
	case errors.As(err, &refused):
		return nil, nil, err
	case err != nil:
		slog.Warn("requesting the handover failed", "err", err)
		return nil, nil, nil
	}
	takeover.StepReached("new: asked")
	started := time.Now()
	records, err := receiver.Receive()
	if err != nil {
		slog.Error("the old process did not hand over whole: starting from its journal alone", "err", err)
		receiver.Close()
		return nil, nil, nil
	}
	takeover.StepReached("new: received")
	previous, err := decodeHandover(records)
	if err != nil {
		slog.Error("the handover state can't be read: starting from the journal alone", "err", err)
		takeover.CloseConns(records)
		return nil, receiver, nil
	}
	slog.Info("taking over", "clients", len(previous.clients), "calls", len(previous.engine.Calls), "idle", len(previous.idle), "after", time.Since(started))
	return previous, receiver, nil
}

// listenForNext listens for the handover request of the next process. If it can't listen it logs that, and the next process waits until this one has ended.
func (f *forwarder) listenForNext(ctx context.Context, all *sync.WaitGroup) <-chan *takeover.Sender {
	if f.inherited == nil {
		return nil
	}
	listener, err := takeover.Listen(f.config.TempDir, f.identity)
	if err != nil {
		slog.Warn("no process can take over from this one", "TMPDIR", f.config.TempDir, "err", err)
		return nil
	}
	context.AfterFunc(ctx, listener.Close)
	all.Go(func() { listener.Serve(ctx) })
	return listener.Requests()
}

// handOver sends the state to the next process. Once that process owns it, this one goes on forwarding operators' requests until SIGTERM, for maxLinger at
// most. If the next process does not take ownership, handOver returns the journal, opened again, and this process continues with the state that it had.
func (f *forwarder) handOver(sender *takeover.Sender, saved *handoverState) (*journal.Journal, error) {
	defer sender.Close()
	takeover.StepReached("old: journal closed")
	records, err := saved.records()
	if err == nil {
		err = sender.Send(records)
	}
	takeover.StepReached("old: sent")
	nextAddress, reason := "", err
	for limit := time.Now().Add(stateLockTimeout); ; time.Sleep(stateLockInterval) {
		exited := err != nil
		if !exited {
			if nextAddress, err = sender.AwaitOwnership(ownershipPollInterval); err == nil {
				break
			}
			reason = err
			if exited = !errors.Is(err, os.ErrDeadlineExceeded); !exited { // the next process is only slow
				err = nil
			}
		}
		j, lockErr := f.openJournal()
		if lockErr == nil { // the next process does not own the folder, and can't take it any more
			slog.Error("the next process did not take over; this one continues: see the log of the next one, and start it again", "err", reason)
			return j, nil
		}
		if !errors.Is(lockErr, syscall.EWOULDBLOCK) {
			return nil, lockErr
		}
		if exited && time.Now().After(limit) {
			slog.Warn("another process owns the state folder and has not confirmed it", "err", err)
			break
		}
	}
	takeover.StepReached("old: owned")
	if nextAddress != "" {
		f.control.ForwardTo(door.NewClient(nextAddress))
	}
	saved.closeConns()
	slog.Info("handed over", "clients", len(saved.clients), "calls", len(saved.engine.Calls))
	select {
	case <-f.stop:
	case <-time.After(maxLinger):
	}
	return nil, nil
}
