package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"scaleroute/internal/operations"
)

// completedEnv is a test environment with one delivered and one failed message of a class that must not run twice.
type completedEnv struct {
	*upgradeEnv
	probes int
}

const (
	deliveredID = "delivered"
	failedID    = "failed" // its endpoint answered 500: it may have run
)

func newCompletedEnv(t *testing.T) *completedEnv {
	u := newUpgradeEnv(t)
	answer := u.answer
	u.answer = func(rw http.ResponseWriter, id string) {
		switch id {
		case failedID:
			rw.WriteHeader(http.StatusInternalServerError)
		default:
			answer(rw, id)
		}
	}
	return &completedEnv{upgradeEnv: u}
}

// completeBoth hands both messages in and waits until they are completed.
func (w *completedEnv) completeBoth(p *process) {
	w.t.Helper()
	c := p.connect()
	c.mustEnqueue(deliveredID, "unsafe", 200000)
	c.mustEnqueue(failedID, "unsafe", 200000)
	w.awaitValue(w.notices, failedID+" dead")
	w.awaitCall(deliveredID)
	p.awaitStats("both messages are not completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
}

// checkRepeated hands both messages in again and checks that neither is sent again.
func (w *completedEnv) checkRepeated(p *process, when, class string) {
	w.t.Helper()
	c := p.connect()
	if got := c.enqueueTo(deliveredID, class, destServing); got != "+OK" {
		w.t.Errorf("%s: the delivered message is answered %q", when, got)
	}
	if got := c.enqueueTo(failedID, class, destServing); !strings.HasPrefix(got, "-ERR") {
		w.t.Errorf("%s: the failed message is answered %q", when, got)
	}
	w.checkCalls(p, c, when)
}

// checkCalls waits until a message that is handed in now is delivered, and checks that each of both was sent once.
func (w *completedEnv) checkCalls(p *process, c *client, when string) {
	w.t.Helper()
	w.probes++
	probe := fmt.Sprint("probe-", w.probes)
	c.mustEnqueue(probe, "unsafe", 200000)
	w.awaitCall(probe)
	p.awaitStats("not all messages are completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	for _, id := range []string{deliveredID, failedID} {
		if n := w.callCount(id); n != 1 {
			w.t.Fatalf("%s: the %s message was sent %d times", when, id, n)
		}
	}
}

// TestCompletedIDIsNotSentAgain guards against a second effect of a message that must not run twice and whose id is handed in again once it
// is completed: by any client, in any class, and after each kind of restart.
func TestCompletedIDIsNotSentAgain(t *testing.T) {
	w := newCompletedEnv(t)
	p := w.start()
	w.completeBoth(p)
	w.checkRepeated(p, "at once", "unsafe")
	w.checkRepeated(p, "in another class", "harmless")
	p.kill()
	p = w.start()
	w.checkRepeated(p, "after SIGKILL", "unsafe")
	p.kill()
	p = w.start()
	w.checkRepeated(p, "after the second SIGKILL", "unsafe")
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	p = w.start()
	w.checkRepeated(p, "after SIGTERM", "unsafe")
	next := w.start()
	p.awaitLog("handed over")
	w.checkRepeated(next, "after a hot restart", "unsafe")
	next.kill()
	w.checkRepeated(w.start(), "after a hot restart and SIGKILL", "harmless")
}

// TestOpenIDInSlowRequest guards against a second effect of a message whose id comes again in a request that was begun while it was open and
// ends after its delivery (review case 2).
func TestOpenIDInSlowRequest(t *testing.T) {
	w := newCompletedEnv(t)
	p := w.start()
	usual, slow := p.connect(), p.connect()
	const id = "out-1" // its call is answered once the test releases it
	usual.mustEnqueue(id, "unsafe", 200000)
	w.awaitCall(id)
	body := "body of " + id
	request := fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$24\r\nc=unsafe,d=200000,dest=7\r\n$%d\r\n%s\r\n", len(id), id, len(body), body)
	fmt.Fprint(slow.conn, request[:len(request)-6])
	w.releaseCalls()
	p.awaitStats("the message is not delivered", func(s operations.Stats) bool { return s.OpenRequests == 0 && s.Fulfilled["unsafe"] == 1 })
	fmt.Fprint(slow.conn, request[len(request)-6:])
	if got, err := slow.r.ReadString('\n'); got != "+OK\r\n" {
		t.Errorf("the slow request is answered %q, %v", got, err)
	}
	usual.mustEnqueue("probe", "unsafe", 200000)
	w.awaitCall("probe")
	p.awaitStats("not all messages are completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	if n := w.callCount(id); n != 1 {
		t.Errorf("the message was sent %d times", n)
	}
}

// TestIDThatNeverRanMayComeAgain guards against refusing a message that can still be delivered: one under the id of a message that was returned
// without having run.
func TestIDThatNeverRanMayComeAgain(t *testing.T) {
	w := newCompletedEnv(t)
	p := w.start()
	c := p.connect()
	full := true
	answer := w.answer
	w.answer = func(rw http.ResponseWriter, id string) {
		w.mu.Lock()
		isFull := full
		w.mu.Unlock()
		if isFull {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer(rw, id)
	}
	const id = "returned"
	c.mustEnqueue(id, "unsafe", 400)
	for got := ""; !strings.HasPrefix(got, id); {
		got = <-w.notices
	}
	p.awaitStats("the message is not completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	w.mu.Lock()
	full = false
	calls := w.calls[id]
	w.mu.Unlock()
	for c.enqueueTo(id, "unsafe", destServing) != "+OK" { // refused as long as the destination counts as full
	}
	p.awaitStats("the message is not delivered", func(s operations.Stats) bool { return s.OpenRequests == 0 && s.Fulfilled["unsafe"] == 1 })
	if n := w.callCount(id); n != calls+1 {
		t.Errorf("%d calls, want %d", n, calls+1)
	}
}
