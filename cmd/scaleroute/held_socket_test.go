package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestRequestThatWaitedOnHeldSocketHasLessTime: a request that waited on the clients' socket while no process ran has as much less time; one that comes after
// the start has all of it.
func TestRequestThatWaitedOnHeldSocketHasLessTime(t *testing.T) {
	const limit = 300 * time.Millisecond
	u := newUpgradeEnv(t)
	p := u.start()
	p.kill()
	c := p.connect() // the platform holds the socket, which takes connections on
	written := time.Now()
	if _, err := io.WriteString(c.conn, enqueueRequest("queued", fmt.Sprintf("c=unsafe,d=%d,dest=%d", limit.Milliseconds(), destServing), "x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(written.Add(limit))) // until its time is up
	next := u.start()
	answer, err := c.r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if strings.HasPrefix(answer, "+OK") {
		t.Errorf("a request of %v was accepted %v after it was written", limit, time.Since(written))
	}
	fresh := next.connect()
	fresh.mustEnqueue("fresh", "unsafe", int(limit.Milliseconds()))
	u.awaitCall("fresh")
	if n := u.callCount("queued"); n > 0 {
		t.Errorf("the request that waited was sent %d times", n)
	}
}
