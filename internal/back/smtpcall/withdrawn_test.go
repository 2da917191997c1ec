package smtpcall

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// pausedServer is a mail server that holds back one reply until it is released, and records the commands that it receives.
type pausedServer struct {
	address string
	paused  chan bool // a value is sent when the reply is held back
	release chan bool // closed to send it

	mu       sync.Mutex
	commands []string
}

// startPausedServer starts a server that holds back its reply to a command, or its greeting for "".
func startPausedServer(t *testing.T, pauseAt string) *pausedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &pausedServer{address: ln.Addr().String(), paused: make(chan bool, 1), release: make(chan bool)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, pauseAt)
		}
	}()
	return s
}

func (s *pausedServer) serve(conn net.Conn, pauseAt string) {
	defer conn.Close()
	reply := func(command, text string) {
		if command == pauseAt {
			s.paused <- true
			<-s.release
		}
		fmt.Fprint(conn, text+"\r\n")
	}
	reply("", "220 ready")
	isData := false
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		command, _, _ := strings.Cut(lines.Text(), " ")
		switch {
		case isData && command == ".":
			isData = false
			reply("dot", "451 try again")
			continue
		case isData:
			continue
		}
		s.mu.Lock()
		s.commands = append(s.commands, command)
		s.mu.Unlock()
		if isData = command == "DATA"; isData {
			reply(command, "354 go on")
			continue
		}
		reply(command, "250 ok")
	}
}

func (s *pausedServer) count(command string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.commands {
		if c == command {
			n++
		}
	}
	return n
}

// endingsOfEndpoint are the ways in which an endpoint may stop being callable.
func endingsOfEndpoint(e engine.Endpoint) map[string]engine.List {
	gone, draining, moved, other, restarted := e, e, e, e, e
	gone.State, draining.State = decide.Gone, decide.Draining
	moved.Address = strings.Replace(e.Address, "127.0.0.1", "127.0.0.2", 1)
	other.Destination++
	restarted.StartedMS++
	list := map[string]engine.List{"missing from a snapshot": {Scope: decide.Snapshot}}
	for name, entry := range map[string]engine.Endpoint{"gone": gone, "draining": draining, "moved": moved, "other destination": other, "restarted": restarted} {
		list[name] = engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{entry}}
	}
	return list
}

// TestWithdrawnBeforeFirstByteOfMail: no transaction begins with an endpoint that was withdrawn while the call waited for its greeting, or for the reply
// to a command before the transaction.
func TestWithdrawnBeforeFirstByteOfMail(t *testing.T) {
	for _, pauseAt := range []string{"", "EHLO", "RSET"} {
		for name := range endingsOfEndpoint(engine.Endpoint{}) {
			t.Run(fmt.Sprintf("%s, %q", name, pauseAt), func(t *testing.T) {
				t.Parallel()
				s := startPausedServer(t, pauseAt)
				b := New(Config{Hostname: "forwarder.test", MaxIdle: 4, IdleTimeout: time.Minute, ConnectTimeout: time.Minute})
				e := engine.Endpoint{Target: decide.Target{ID: "m"}, Address: engine.MailAddress{HostPort: s.address, From: "a@a.test", To: "b@b.test"}.String()}
				b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{e}})
				ep := b.Endpoint("m")
				var withheld []string
				attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnWithheld: func(reason string) { withheld = append(withheld, reason) }}
				transactions := 0
				if pauseAt == "RSET" { // a transaction that failed leaves the connection to be reset
					if o := ep.Call(t.Context(), attempt); o.Result != decide.Overloaded {
						t.Fatalf("%+v", o)
					}
					transactions++
				}
				outcome := make(chan decide.Outcome, 1)
				go func() { outcome <- ep.Call(t.Context(), attempt) }()
				<-s.paused
				b.UpdateEndpoints(endingsOfEndpoint(e)[name])
				close(s.release)
				if o := <-outcome; o.Result != decide.NotSent || len(withheld) != 1 {
					t.Errorf("%+v, withheld %q", o, withheld)
				}
				if n := s.count("MAIL"); n != transactions {
					t.Errorf("%d transactions, want %d", n, transactions)
				}
			})
		}
	}
}
