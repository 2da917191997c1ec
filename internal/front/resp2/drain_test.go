package resp2

import (
	"fmt"
	"io"
	"testing"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

func takesAll(*message.Message) engine.Answer { return engine.Answer{} }

// ping asks on a connection of its own.
func ping(t *testing.T, address string) string {
	t.Helper()
	conn, r := dial(t, address)
	defer conn.Close()
	fmt.Fprint(conn, resp("PING"))
	return line(t, r)
}

// TestDrainTakenBack: a drain ends idle connections, answers what is in hand, and can be taken back at each of its steps, again and again.
func TestDrainTakenBack(t *testing.T) {
	hold, taken := make(chan bool), make(chan bool)
	c, address := startClients(t, 100, taker(func(m *message.Message) engine.Answer {
		if m.Class == "slow" {
			taken <- true
			<-hold
		}
		return engine.Answer{}
	}))
	enqueue := resp("ENQUEUE", "k", "id", "c=note,d=1500,dest=3", "x")
	serves := func(step string) {
		t.Helper()
		conn, r := dial(t, address)
		for range 2 {
			if fmt.Fprint(conn, enqueue); line(t, r) != "+OK" {
				t.Errorf("%s: not served", step)
			}
		}
		if got := ping(t, address); got != "+PONG" {
			t.Errorf("%s: PING got %q", step, got)
		}
	}
	for range 3 {
		_, early := dial(t, address)
		must(t, c.Drain())
		must(t, c.Drain()) // twice is once
		if got := ping(t, address); got[0] != '-' {
			t.Errorf("PING got %q in a drain", got)
		}
		must(t, c.Resume()) // before anything was closed
		serves("taken back at once")

		busyConn, busy := dial(t, address)
		fmt.Fprint(busyConn, resp("ENQUEUE", "k", "id", "c=slow,d=1500,dest=3", "x"))
		<-taken
		must(t, c.Drain())
		c.drainIdle() // its time has come
		if _, err := early.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		lateConn, late := dial(t, address) // whoever has not seen PING's no yet is served once
		if fmt.Fprint(lateConn, enqueue); line(t, late) != "+OK" {
			t.Error("a late client is not served")
		}
		if _, err := late.ReadByte(); err != io.EOF {
			t.Errorf("a late client's connection goes on: %v", err)
		}
		_, silent := dial(t, address)
		if _, err := silent.ReadByte(); err != io.EOF {
			t.Errorf("one that says nothing: %v", err)
		}
		hold <- true
		if got := line(t, busy); got != "+OK" {
			t.Errorf("the request in hand got %q", got)
		}
		if _, err := busy.ReadByte(); err != io.EOF {
			t.Errorf("its connection goes on: %v", err)
		}
		must(t, c.Resume())
		serves("taken back at the end")

		stayConn, stay := dial(t, address)
		fmt.Fprint(stayConn, resp("ENQUEUE", "k", "id", "c=slow,d=1500,dest=3", "x"))
		<-taken
		must(t, c.Drain())
		c.drainIdle()
		must(t, c.Resume()) // while a request is in hand: its connection may stay
		hold <- true
		if got := line(t, stay); got != "+OK" {
			t.Errorf("the request in hand got %q", got)
		}
		if fmt.Fprint(stayConn, enqueue); line(t, stay) != "+OK" {
			t.Error("its connection does not go on")
		}
	}
	must(t, c.Drain())
	c.Close()
	if c.Drain() != ErrStopping || c.Resume() != ErrStopping {
		t.Error("a drain by hand in a planned stop is said yes to")
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
