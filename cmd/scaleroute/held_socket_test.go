package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// TestRequestThatWaitedOnHeldSocketHasLessTime: a request that waited on the clients' socket while no process ran is not accepted for its whole time.
func TestRequestThatWaitedOnHeldSocketHasLessTime(t *testing.T) {
	u := newUpgradeEnv(t)
	p := u.start()
	p.kill()
	c := p.connect() // the platform holds the socket, which takes connections on
	if _, err := io.WriteString(c.conn, enqueueRequest("queued-350", fmt.Sprintf("c=unsafe,d=350,dest=%d", destServing), "x")); err != nil {
		t.Fatal(err)
	}
	u.start()
	answer, err := c.r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if strings.HasPrefix(answer, "+OK") {
		t.Error("a request of 350 ms was accepted, though its client may have waited for 400 ms")
	}
	if got := c.enqueueTo("after", "unsafe", destServing); got != "+OK" {
		t.Errorf("the next request on the connection: %q", got)
	}
	u.awaitCall("after")
	if n := u.callCount("queued-350"); n > 0 {
		t.Errorf("the request that waited was sent %d times", n)
	}
}
