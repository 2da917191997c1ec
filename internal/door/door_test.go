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

// fakeForwarder sends the name of each method that is called on it, with its argument, to calls.
type fakeForwarder struct{ calls chan string }

var errNotReady = errors.New("starting")

func (f fakeForwarder) record(what string, err error) error {
	f.calls <- what
	return err
}

func (f fakeForwarder) Ready() error                        { return f.record("ready", errNotReady) }
func (f fakeForwarder) Stats() any                          { return map[string]int{"relayed": 7} }
func (f fakeForwarder) DrainClients(context.Context) error  { return f.record("drain", nil) }
func (f fakeForwarder) ResumeClients(context.Context) error { return f.record("resume", nil) }
func (f fakeForwarder) EnableEndpoint(id string) error      { return f.record("enable "+id, nil) }
func (f fakeForwarder) DisableEndpoint(id string) error {
	if id == "unknown" {
		return f.record("disable "+id, membership.ErrNeverListed)
	}
	return f.record("disable "+id, nil)
}

func startServer(t *testing.T) (address string, calls chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan string, 1000)
	s := New(fakeForwarder{calls})
	go s.Serve(ln)
	t.Cleanup(s.Close)
	return ln.Addr().String(), calls
}

// roundTrip sends text on a new connection and returns the response's status, header and body.
func roundTrip(t *testing.T, address, text string) (int, http.Header, string) {
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
		t.Errorf("%.60q: the server did not close the connection", text)
	}
	return r.StatusCode, r.Header, string(body)
}

// TestRoutes sends a request to each route of the admin API, and requests that match none or are malformed.
func TestRoutes(t *testing.T) {
	address, calls := startServer(t)
	long := strings.Repeat("x", 70000)
	for _, c := range []struct {
		request string // method and path, then more header lines and a body
		status  int
		call    string
		body    string // part of it
		allow   string
	}{
		{"GET /healthcheck", 503, "ready", "starting", ""},
		{"GET /stats", 200, "", `{"relayed":7}`, ""},
		{"PUT /targets/s-1/maint", 200, "disable s-1", "ok", ""},
		{"PUT /targets/s%2F1%20b/maint", 200, "disable s/1 b", "ok", ""},
		{"PUT /targets/unknown/maint", 404, "disable unknown", "ever listed", ""},
		{"PUT /targets/s-1/ready", 200, "enable s-1", "ok", ""},
		{"PUT /healthcheck/fail", 200, "drain", "ok", ""},
		{"PUT /healthcheck/ok", 200, "resume", "ok", ""},
		{"POST /healthcheck/ok", 405, "", "", "PUT"},
		{"PUT /stats", 405, "", "", "GET, HEAD"},
		{"GET /targets/s-1/maint", 405, "", "", "PUT"},
		{"PUT /targets//maint", 404, "", "", ""},
		{"PUT /targets/s-1/away", 404, "", "", ""},
		{"GET /", 404, "", "", ""},
		{"PUT /targets/" + strings.Repeat("x", 300) + "/maint", 400, "", "256 bytes", ""},
		{"PUT /healthcheck/fail\nContent-Length: 3\n\nabc", 200, "drain", "ok", ""},
		{"PUT /healthcheck/fail\nContent-Length: 70000\n\n" + long, 413, "", "no body", ""},
		{"PUT /healthcheck/fail\nTransfer-Encoding: chunked\n\n11170\r\n" + long + "\r\n0\r\n\r\n", 413, "", "no body", ""},
		{"GET /stats\nX-Long: " + long, 431, "", "", ""},
		{"NOT\x00HTTP", 400, "", "", ""},
	} {
		line, rest, _ := strings.Cut(c.request, "\n")
		text := line + " HTTP/1.1\r\nHost: door\r\n"
		if rest == "" {
			text += "\r\n"
		} else {
			header, body, hasBody := strings.Cut(rest, "\n\n")
			text += header + "\r\n\r\n"
			if hasBody {
				text += body
			}
		}
		status, header, body := roundTrip(t, address, text)
		if status != c.status || !strings.Contains(body, c.body) || header.Get("Allow") != c.allow {
			t.Errorf("%.60q: %d %q, Allow %q", c.request, status, body, header.Get("Allow"))
		}
		got := ""
		select {
		case got = <-calls:
		default:
		}
		if got != c.call {
			t.Errorf("%.60q: the forwarder's method called is %q, want %q", c.request, got, c.call)
		}
	}
}

// TestSilentConnections opens 200 connections that send nothing or half a request. They must not keep another client from being served, and the
// server must close all but maxConns of them.
func TestSilentConnections(t *testing.T) {
	address, _ := startServer(t)
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
	if status, _, _ := roundTrip(t, address, "GET /stats HTTP/1.1\r\nHost: door\r\n\r\n"); status != 200 {
		t.Errorf("a request beside silent connections got status %d", status)
	}
	for _, conn := range silent[:200-maxConns-1] { // the server has closed them long before readTimeout is over
		conn.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the server sent something on a silent connection")
		}
	}
}

// FuzzDoor checks that the server answers the next request, whatever the one before was.
func FuzzDoor(f *testing.F) {
	f.Add("GET /stats HTTP/1.1\r\n\r\n")
	f.Add("PUT /targets/%zz/maint HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("PUT /healthcheck/ok HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n")
	f.Add("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		address, _ := startServer(t)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, text)
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(time.Minute))
		io.Copy(io.Discard, conn)
		conn.Close()
		if status, _, _ := roundTrip(t, address, fmt.Sprintf("GET /stats HTTP/1.1\r\nHost: %s\r\n\r\n", address)); status != 200 {
			t.Errorf("status of the request after %q: %d", text, status)
		}
	})
}
