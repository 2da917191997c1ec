package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

// Faults of processes and their clients: series of signals, upgrades, and crowds of clients that never end a request.

const (
	signalGap     = 300 * time.Millisecond // in a series
	crowdSize     = 450                    // more than a process serves
	crowdBytes    = 32 << 10               // of a request that is never ended
	slowWritePace = 20 * time.Millisecond
	oldProcessEnd = 5 * time.Second // for a process that has handed over
)

// What the clients of a crowd do.
const (
	crowdHalf   = "half"   // stop in the middle of a large request
	crowdSlow   = "slow"   // write a byte at a time
	crowdFields = "fields" // send very many short fields
	crowdSilent = "silent" // send nothing
)

// endInOrder sends SIGTERM, with more signals after it where they come in a series, and returns when the platform may kill the process at the earliest.
func endInOrder(ctx context.Context, p *fleet.Process, isSeries bool) error {
	kill := time.Now().Add(killAfterTerm)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if !isSeries {
			break
		}
		time.Sleep(signalGap)
		p.Signal(signal) // to a process that may have ended by then
	}
	time.Sleep(time.Until(kill))
	return ctx.Err()
}

// upgrade starts a process beside the one that runs, which hands over to it.
func (r *run) upgrade(ctx context.Context, node int) error {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	n := r.rig.Nodes[node]
	old := n.Process()
	r.checkAlive(n, old)
	if old == nil {
		return nil
	}
	next, err := n.Next()
	if err != nil {
		return err
	}
	if err := n.Take(next); err != nil {
		r.addBroken("%s did not take over: %v", n.Name, err)
		return nil
	}
	r.rig.Note(n.Name, "upgraded", "")
	return old.End(oldProcessEnd)
}

// crowd has more clients connect to a node than it serves, which never end a request, beside the usual ones.
func (r *run) crowd(ctx context.Context, f Fault) {
	process := r.rig.Nodes[f.Node].Process()
	if process == nil { // it is being restarted
		return
	}
	address := process.Address()
	ctx, cancel := context.WithTimeout(ctx, f.Lasts)
	defer cancel()
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return // the process may be away
			}
			defer conn.Close()
			writeWithoutEnd(ctx, conn, f.How)
			<-ctx.Done()
		})
	}
	clients.Wait()
}

// writeWithoutEnd writes a part of a request.
func writeWithoutEnd(ctx context.Context, conn net.Conn, how string) {
	conn.SetWriteDeadline(time.Now().Add(maxLast))
	usualFields := "c=" + standin.Safe + ",d=9000,dest=0"
	switch how {
	case crowdHalf:
		io.WriteString(conn, unendedRequest(usualFields)+strings.Repeat("x", crowdBytes))
	case crowdFields:
		io.WriteString(conn, unendedRequest(usualFields+strings.Repeat(",a=b", crowdBytes/len(",a=b"))))
	case crowdSlow:
		request := unendedRequest(usualFields)
		for i := range request {
			if _, err := io.WriteString(conn, request[i:i+1]); err != nil || ctx.Err() != nil {
				return
			}
			sleep(ctx, slowWritePace)
		}
	}
}

// unendedRequest returns a request up to its body, which is larger than what is sent of it.
func unendedRequest(fields string) string {
	return fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$7\r\nunended\r\n$%d\r\n%s\r\n$%d\r\n", len(fields), fields, 2*crowdBytes)
}
