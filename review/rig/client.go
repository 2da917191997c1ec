package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTime is how long a client waits for the answer to a request.
const answerTime = 400 * time.Millisecond

// client is one connection of a client.
type client struct {
	rec  *record
	conn net.Conn
	r    *bufio.Reader
}

func connect(rec *record, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, answerTime)
	if err != nil {
		return nil, err
	}
	return &client{rec, conn, bufio.NewReader(conn)}, nil
}

func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

func enqueue(id, class string, ms, dest int, body string) string {
	return command("ENQUEUE", "0000000000000000", id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, ms, dest), body)
}

// ask sends a request and returns the line that answers it.
func (c *client) ask(text string, wait time.Duration) (string, error) {
	c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return "", err
	}
	line, err := c.r.ReadString('\n')
	return strings.TrimSpace(line), err
}

// handIn hands a message in and records it.
func (c *client) handIn(who, id, class string, ms, dest int, body string) (string, error) {
	c.rec.add(who, "hands in %s: %s, %d ms, destination %d, %d bytes", id, class, ms, dest, len(body))
	answer, err := c.ask(enqueue(id, class, ms, dest, body), answerTime)
	c.rec.add(who, "%s is answered %q %v", id, answer, err)
	return answer, err
}
