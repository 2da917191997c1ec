package door

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/membership"
)

// forwarder stands in for what the door asks.
type forwarder struct{ told chan string }

var errNotReady = errors.New("starting")

func (f forwarder) say(what string, err error) error {
	f.told <- what
	return err
}

func (f forwarder) Ready() error                        { return f.say("ready?", errNotReady) }
func (f forwarder) Stats() any                          { return map[string]int{"relayed": 7} }
func (f forwarder) DrainClients(context.Context) error  { return f.say("away", nil) }
func (f forwarder) ResumeClients(context.Context) error { return f.say("again", nil) }
func (f forwarder) EnableEndpoint(id string) error      { return f.say("back "+id, nil) }
func (f forwarder) DisableEndpoint(id string) error {
	if id == "nobody" {
		return f.say("out "+id, membership.ErrNeverListed)
	}
	return f.say("out "+id, nil)
}

func open(t *testing.T) (address string, told chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told = make(chan string, 1000)
	d := New(forwarder{told})
	go d.Serve(ln)
	t.Cleanup(d.Close)
	return ln.Addr().String(), told
}

// call sends text on a connection of its own, and returns the answer's status, head and body.
func call(t *testing.T, address, text string) (int, http.Header, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	go io.WriteString(conn, text)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Errorf("%.60q: the connection goes on", text)
	}
	return r.StatusCode, r.Header, string(body)
}

// TestCalls: each call of operators', and what is none.
func TestCalls(t *testing.T) {
	address, told := open(t)
	long := strings.Repeat("x", 70000)
	for _, c := range []struct {
		call   string // method and path, and what follows
		status int
		told   string
		body   string // part of it
		allow  string
	}{
		{"GET /healthcheck", 503, "ready?", "starting", ""},
		{"GET /stats", 200, "", `{"relayed":7}`, ""},
		{"PUT /targets/s-1/maint", 200, "out s-1", "ok", ""},
		{"PUT /targets/s%2F1%20b/maint", 200, "out s/1 b", "ok", ""},
		{"PUT /targets/nobody/maint", 404, "out nobody", "ever listed", ""},
		{"PUT /targets/s-1/ready", 200, "back s-1", "ok", ""},
		{"PUT /healthcheck/fail", 200, "away", "ok", ""},
		{"PUT /healthcheck/ok", 200, "again", "ok", ""},
		{"POST /healthcheck/ok", 405, "", "", "PUT"},
		{"PUT /stats", 405, "", "", "GET, HEAD"},
		{"GET /targets/s-1/maint", 405, "", "", "PUT"},
		{"PUT /targets//maint", 404, "", "", ""},
		{"PUT /targets/s-1/away", 404, "", "", ""},
		{"GET /", 404, "", "", ""},
		{"PUT /targets/" + strings.Repeat("x", 300) + "/maint", 400, "", "256 bytes", ""},
		{"PUT /healthcheck/fail\nContent-Length: 3\n\nabc", 200, "away", "ok", ""},
		{"PUT /healthcheck/fail\nContent-Length: 70000\n\n" + long, 413, "", "no body", ""},
		{"PUT /healthcheck/fail\nTransfer-Encoding: chunked\n\n11170\r\n" + long + "\r\n0\r\n\r\n", 413, "", "no body", ""},
		{"GET /stats\nX-Long: " + long, 431, "", "", ""},
		{"NOT\x00HTTP", 400, "", "", ""},
	} {
		line, rest, _ := strings.Cut(c.call, "\n")
		text := line + " HTTP/1.1\r\nHost: door\r\n"
		if rest == "" {
			text += "\r\n"
		} else {
			head, body, ends := strings.Cut(rest, "\n\n")
			text += head + "\r\n\r\n"
			if ends {
				text += body
			}
		}
		status, head, body := call(t, address, text)
		if status != c.status || !strings.Contains(body, c.body) || head.Get("Allow") != c.allow {
			t.Errorf("%.60q: %d %q, Allow %q", c.call, status, body, head.Get("Allow"))
		}
		got := ""
		select {
		case got = <-told:
		default:
		}
		if got != c.told {
			t.Errorf("%.60q: told %q, want %q", c.call, got, c.told)
		}
	}
}

// TestSilentCallers: 200 callers that say nothing, or half a call, keep nobody out, and there are few of them at once.
func TestSilentCallers(t *testing.T) {
	address, _ := open(t)
	var silent []net.Conn
	for i := range 200 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 1 {
			io.WriteString(conn, "GET /stats HTTP/1.1\r\nHost")
		}
		silent = append(silent, conn)
	}
	if status, _, _ := call(t, address, "GET /stats HTTP/1.1\r\nHost: door\r\n\r\n"); status != 200 {
		t.Errorf("a caller among silent ones: %d", status)
	}
	for _, conn := range silent[:200-mostConns-1] { // shed, long before their time is up
		conn.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a silent caller is answered")
		}
	}
}

// FuzzDoor: whatever comes, the next caller is served.
func FuzzDoor(f *testing.F) {
	f.Add("GET /stats HTTP/1.1\r\n\r\n")
	f.Add("PUT /targets/%zz/maint HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("PUT /healthcheck/ok HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n")
	f.Add("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		address, _ := open(t)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, text)
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(time.Minute))
		io.Copy(io.Discard, conn)
		conn.Close()
		if status, _, _ := call(t, address, fmt.Sprintf("GET /stats HTTP/1.1\r\nHost: %s\r\n\r\n", address)); status != 200 {
			t.Errorf("after %q: %d", text, status)
		}
	})
}
