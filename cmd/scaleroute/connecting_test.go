package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/standin"
)

// The restarts while connections come up late.
const (
	connectTimeoutMS = 20000 // longer than a planned stop
	untriedMessages  = 16
)

// connectingEnv is a test environment whose one endpoint accepts no connection until open is called.
type connectingEnv struct {
	*testEnv
	stalled *standin.StalledListener
}

func newConnectingEnv(t *testing.T) *connectingEnv {
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	stalled, err := standin.Stall("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stalled.Close)
	w.connectTimeoutMS = connectTimeoutMS
	w.args = []string{"-log-steps"}
	w.endpoints = fmt.Sprintf(`{"name":"s1","address":%q,"zone":"a","type":"std","group":7,"status":"SERVING","weight":50}`, stalled.Address())
	return &connectingEnv{w, stalled}
}

// open has the endpoint accept connections.
func (w *connectingEnv) open() {
	w.t.Helper()
	ln, err := w.stalled.Open()
	if err != nil {
		w.t.Fatal(err)
	}
	go http.Serve(ln, w.target.Config.Handler)
}

// enqueueUntried submits messages and returns once a call has begun, and the journal has what the process recorded before that call.
func (w *connectingEnv) enqueueUntried(p *process, classes ...string) (ids []string) {
	w.t.Helper()
	c := p.connect()
	for n := range untriedMessages {
		id := fmt.Sprint("untried", n)
		c.mustEnqueue(id, classes[n%len(classes)], 200000)
		ids = append(ids, id)
	}
	return append(ids, p.awaitCallBegun())
}

// awaitCallBegun waits until a call has begun, and the journal has what the process recorded before that call. It returns the id of a message that it submits.
func (p *process) awaitCallBegun() (id string) {
	p.t.Helper()
	p.awaitLog("step: send ")
	id = fmt.Sprint("later", p.cmd.Process.Pid)
	p.connect().mustEnqueue(id, "unsafe", 200000) // accepted in a later step than that of the call
	return id
}

// mustAllBeCalledOnce waits until each message has been sent once, and none has a notice.
func (w *connectingEnv) mustAllBeCalledOnce(ids []string) {
	w.t.Helper()
	missing := map[string]bool{}
	for _, id := range ids {
		missing[id] = true
	}
	for limit := time.After(testTimeout); len(missing) > 0; {
		select {
		case id := <-w.called:
			delete(missing, id)
		case n := <-w.notices:
			w.t.Fatalf("notice %q, and %d messages were never sent", n, len(missing))
		case <-limit:
			w.t.Fatalf("%d messages were never sent", len(missing))
		}
	}
	for _, id := range ids {
		if n := w.callCount(id); n != 1 {
			w.t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// end signals a process and waits for its end.
func (p *process) end(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
	p.cmd.Wait()
}

// TestRestartWhileConnecting: messages whose connection had not come up when the process ended were ended as dead by the next one, though no byte of them
// had been written.
func TestRestartWhileConnecting(t *testing.T) {
	group := filepath.Join(t.TempDir(), "group.json")
	if err := os.WriteFile(group, []byte(`{"format":1,"journal":{"durability":"group"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name           string
		connectTimeout int // in milliseconds
		args           []string
		signals        []syscall.Signal
	}{
		{"SIGKILL", connectTimeoutMS, nil, []syscall.Signal{syscall.SIGKILL}},
		{"SIGTERM", connectTimeoutMS, nil, []syscall.Signal{syscall.SIGTERM}},
		{"SIGTERM and connect time-outs", defaultConnectTimeoutMS, nil, []syscall.Signal{syscall.SIGTERM}},
		{"SIGKILL twice", connectTimeoutMS, nil, []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL}},
		{"SIGKILL with group commit", connectTimeoutMS, []string{"-operators", group}, []syscall.Signal{syscall.SIGKILL}},
		{"SIGTERM with group commit", connectTimeoutMS, []string{"-operators", group}, []syscall.Signal{syscall.SIGTERM}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newConnectingEnv(t)
			w.args, w.connectTimeoutMS = append(w.args, c.args...), c.connectTimeout
			p := w.start()
			ids := w.enqueueUntried(p, "unsafe", "harmless")
			for n, signal := range c.signals {
				if n > 0 {
					ids = append(ids, p.awaitCallBegun())
				}
				p.end(signal)
				if n == len(c.signals)-1 {
					w.open()
				}
				p = w.start()
			}
			w.mustAllBeCalledOnce(ids)
		})
	}
}

// TestUpgradeWhileConnecting: messages whose connection has not come up when another process takes over are sent by that process, or by the one after it
// if it is killed.
func TestUpgradeWhileConnecting(t *testing.T) {
	w := newConnectingEnv(t)
	w.holdClientSocket()
	p := w.start()
	ids := w.enqueueUntried(p, "unsafe")
	next := w.start()
	ids = append(ids, next.awaitCallBegun())
	next.end(syscall.SIGKILL)
	w.open()
	w.start()
	w.mustAllBeCalledOnce(ids)
}

// TestKilledDuringMailDialogue: mail whose server had not asked for the message yet when the process was killed was ended as dead by the next one.
func TestKilledDuringMailDialogue(t *testing.T) {
	for _, stage := range []standin.MailStage{standin.MailGreeting, standin.MailFrom, standin.MailData} {
		t.Run(string(stage), func(t *testing.T) {
			t.Parallel()
			var isSilent atomic.Bool
			isSilent.Store(true)
			reached := make(chan bool, untriedMessages)
			server, err := standin.NewMail(nil, func(s standin.MailStage, _ string) *standin.MailDo {
				if s != stage || !isSilent.Load() {
					return nil
				}
				reached <- true
				return &standin.MailDo{Silent: true}
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			path := filepath.Join(t.TempDir(), "operators.json")
			text := fmt.Sprintf(`{"format":1,"journal":{"durability":"process"},"pools":[{"name":"p","destination":8,"sender":"petitions@a.test","recipient":"office@b.test","endpoints":[{"name":"m","address":%q,"protocol":"smtp"}]}]}`, server.Address())
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			w.args = []string{"-operators", path}
			p := w.start()
			if got := p.connect().enqueueTo("letter", "unsafe", 8); got != "+OK" {
				t.Fatal(got)
			}
			<-reached
			p.end(syscall.SIGKILL)
			isSilent.Store(false)
			w.start()
			for limit := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				if times, _ := server.Ran("letter"); times == 1 {
					return
				}
				select {
				case n := <-w.notices:
					t.Fatalf("notice %q, and the mail was never sent", n)
				default:
				}
				if time.Now().After(limit) {
					t.Fatal("the mail was never sent")
				}
			}
		})
	}
}

// holdClientSocket has the platform hold the clients' listening socket, so that one process can take over from another.
func (w *testEnv) holdClientSocket() {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer ln.Close()
	if w.clientSocket, err = ln.(*net.TCPListener).File(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.clientSocket.Close() })
	w.env = append(w.env, "TMPDIR="+w.t.TempDir())
}

// defaultConnectTimeoutMS is the connect time-out of the configuration.
const defaultConnectTimeoutMS = 1500

func (w *testEnv) configuredConnectTimeoutMS() int {
	return cmp.Or(w.connectTimeoutMS, defaultConnectTimeoutMS)
}
