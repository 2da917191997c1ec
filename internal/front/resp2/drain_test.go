package resp2

import (
	"fmt"
	"io"
	"testing"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// acceptAll accepts every message.
func acceptAll(*message.Message) engine.Answer { return engine.Answer{} }

// ping sends PING on a connection of its own and returns the reply.
func ping(t *testing.T, address string) string {
	t.Helper()
	conn, r := dial(t, address)
	defer conn.Close()
	fmt.Fprint(conn, resp("PING"))
	return line(t, r)
}

// TestDrainAndResumeAtEachStep checks that a drain closes idle connections and answers pending requests, and that Resume undoes it at each of its steps,
// also repeatedly.
func TestDrainAndResumeAtEachStep(t *testing.T) {
	finish, accepted := make(chan bool), make(chan bool)
	server, address := startServer(t, 100, acceptorFunc(func(m *message.Message) engine.Answer {
		if m.Class == "slow" {
			accepted <- true
			<-finish
		}
		return engine.Answer{}
	}))
	enqueue := resp("ENQUEUE", "k", "id", "c=note,d=1500,dest=3", "x")
	checkServing := func(step string) {
		t.Helper()
		conn, r := dial(t, address)
		for range 2 {
			if fmt.Fprint(conn, enqueue); line(t, r) != "+OK" {
				t.Errorf("%s: a message is not accepted", step)
			}
		}
		if got := ping(t, address); got != "+PONG" {
			t.Errorf("%s: PING got %q", step, got)
		}
	}
	for range 3 {
		_, idle := dial(t, address)
		must(t, server.Drain())
		must(t, server.Drain()) // the second call changes nothing
		if got := ping(t, address); got[0] != '-' {
			t.Errorf("PING got %q during a drain", got)
		}
		must(t, server.Resume()) // before any connection was closed
		checkServing("resumed at once")

		busyConn, busy := dial(t, address)
		fmt.Fprint(busyConn, resp("ENQUEUE", "k", "id", "c=slow,d=1500,dest=3", "x"))
		<-accepted
		must(t, server.Drain())
		server.drainIdle() // as after drainDetectTime
		if _, err := idle.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		lateConn, late := dial(t, address) // a client that has not seen PING refused yet is served once
		if fmt.Fprint(lateConn, enqueue); line(t, late) != "+OK" {
			t.Error("a late client's message is not accepted")
		}
		if _, err := late.ReadByte(); err != io.EOF {
			t.Errorf("a late client's connection stays open: %v", err)
		}
		_, silent := dial(t, address)
		if _, err := silent.ReadByte(); err != io.EOF {
			t.Errorf("a silent connection: %v", err)
		}
		finish <- true
		if got := line(t, busy); got != "+OK" {
			t.Errorf("the pending request got %q", got)
		}
		if _, err := busy.ReadByte(); err != io.EOF {
			t.Errorf("its connection stays open: %v", err)
		}
		must(t, server.Resume())
		checkServing("resumed at the end")

		stayConn, stay := dial(t, address)
		fmt.Fprint(stayConn, resp("ENQUEUE", "k", "id", "c=slow,d=1500,dest=3", "x"))
		<-accepted
		must(t, server.Drain())
		server.drainIdle()
		must(t, server.Resume()) // while a request is pending: its connection stays open
		finish <- true
		if got := line(t, stay); got != "+OK" {
			t.Errorf("the pending request got %q", got)
		}
		if fmt.Fprint(stayConn, enqueue); line(t, stay) != "+OK" {
			t.Error("its connection does not stay open")
		}
	}
	must(t, server.Drain())
	server.Close()
	if server.Drain() != ErrStopping || server.Resume() != ErrStopping {
		t.Error("a drain by an operator is accepted during a planned stop")
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
