package takeover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newConnPair returns the two ends of a connection.
func newConnPair(t testing.TB, network, address string) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if far, err = net.Dial(network, ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

func newUnixPair(t testing.TB) (a, b *net.UnixConn) {
	near, far := newConnPair(t, "unix", filepath.Join(t.TempDir(), "s"))
	return near.(*net.UnixConn), far.(*net.UnixConn)
}

// startSocket opens and serves a socket for an identity in a folder.
func startSocket(t *testing.T, dir string, id Identity) *Socket {
	t.Helper()
	s, err := Listen(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan bool)
	go func() {
		s.Serve(ctx)
		close(served)
	}()
	t.Cleanup(func() {
		cancel()
		s.Close()
		<-served
	})
	return s
}

// TestHandover: records arrive complete and in order, small and large ones, with and without connections, and the
// connections work in both processes.
func TestHandover(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s := startSocket(t, dir, id)
	var sent []Record
	var ends []net.Conn
	for i, size := range []int{0, 1, 100, 1 << 20, 7} {
		record := Record{Kind: fmt.Sprint("kind ", i), Data: bytes.Repeat([]byte{byte(i)}, size)}
		if i%2 == 0 {
			near, far := newConnPair(t, "tcp", "127.0.0.1:0")
			record.Conn = near
			ends = append(ends, far)
		}
		sent = append(sent, record)
	}
	sendResult := make(chan error, 1)
	go func() {
		sender := <-s.Requests()
		defer sender.Close()
		err := errors.Join(sender.Accept(), sender.Send(sent))
		adminAddr, owned := sender.AwaitOwnership(time.Minute)
		if adminAddr != "127.0.0.1:1" {
			t.Errorf("the admin API is at %q", adminAddr)
		}
		sendResult <- errors.Join(err, owned)
	}()
	receiver, err := RequestHandover(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	got, err := receiver.Receive()
	if err != nil || len(got) != len(sent) {
		t.Fatalf("%d records received, %v", len(got), err)
	}
	defer CloseConns(got)
	n := 0
	for i, record := range got {
		if record.Kind != sent[i].Kind || !bytes.Equal(record.Data, sent[i].Data) || (record.Conn != nil) != (sent[i].Conn != nil) {
			t.Errorf("record %d: %q, %d bytes, connection %v", i, record.Kind, len(record.Data), record.Conn)
		}
		if record.Conn == nil {
			continue
		}
		sent[i].Conn.Close() // the running process's copy
		fmt.Fprint(record.Conn, "hello")
		buf := make([]byte, 5)
		if _, err := io.ReadFull(ends[n], buf); err != nil || string(buf) != "hello" {
			t.Errorf("record %d: the far end reads %q, %v", i, buf, err)
		}
		n++
	}
	if err := receiver.ConfirmOwnership("127.0.0.1:1"); err != nil {
		t.Error(err)
	}
	if err := <-sendResult; err != nil {
		t.Error(err)
	}
}

// TestRequestRefused: a process of another version, folder or name gets the reason and what to do, and the request that
// follows is served.
func TestRequestRefused(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s := startSocket(t, dir, id)
	for _, c := range []struct {
		name string
		as   Identity
		want string
	}{
		{"another version", Identity{ProtocolVersion + 1, "n0", "1:2"}, "SIGTERM"},
		{"another folder", Identity{ProtocolVersion, "n0", "1:3"}, "folders TMPDIR of their own"},
		{"another name", Identity{ProtocolVersion, "n1", "1:2"}, "name another folder"},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The name of the socket differs for other folders; a process that connects nevertheless gets the reason.
			data, err := json.Marshal(c.as)
			if err != nil {
				t.Fatal(err)
			}
			var refused RefusedError
			if err := requestWith(t, dir, id, Record{Kind: kindRequest, Data: data}); !errors.As(err, &refused) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v", err)
			}
		})
	}
	for _, garbage := range []Record{{Kind: "what"}, {Kind: kindRequest, Data: []byte("{")}} {
		if err := requestWith(t, dir, id, garbage); err == nil {
			t.Errorf("the invalid request %q is not refused", garbage.Kind)
		}
	}
	if conn, err := dial(dir, id); err != nil {
		t.Error(err)
	} else { // another program, which closes the connection
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		conn.Close()
	}
	go func() {
		sender := <-s.Requests()
		sender.Accept()
		sender.Close()
	}()
	receiver, err := RequestHandover(dir, id)
	if err != nil {
		t.Fatalf("a valid request after invalid ones: %v", err)
	}
	receiver.Close()
	if _, err := RequestHandover(dir, Identity{ProtocolVersion, "n0", "1:3"}); !errors.Is(err, ErrNoProcess) {
		t.Errorf("a folder that no process serves: %v", err)
	}
}

func dial(dir string, id Identity) (conn *net.UnixConn, err error) {
	err = id.withSocketAddr(dir, func(a *net.UnixAddr) (err error) {
		conn, err = net.DialUnix("unix", nil, a)
		return err
	})
	return conn, err
}

// requestWith sends a record in place of the request, and returns the error that RequestHandover would.
func requestWith(t *testing.T, dir string, id Identity, record Record) error {
	t.Helper()
	conn, err := dial(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := send(conn, record); err != nil {
		t.Fatal(err)
	}
	got, err := receive(conn, time.Minute)
	if err == nil && got.Kind == kindRefused {
		return RefusedError(got.Data)
	}
	return err
}

// TestRetryLater: a process that is handing over tells the next one to try again, and one that has exited counts as
// none.
func TestRetryLater(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s, err := Listen(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan bool)
	go func() {
		s.Serve(ctx)
		close(served)
	}()
	answered := make(chan error)
	go func() {
		_, err := RequestHandover(dir, id) // no one receives from Requests
		answered <- err
	}()
	cancel()
	if err := <-answered; !errors.Is(err, ErrRetryLater) {
		t.Errorf("while the running process hands over: %v", err)
	}
	s.Close()
	<-served
	if _, err := RequestHandover(dir, id); !errors.Is(err, ErrNoProcess) {
		t.Errorf("after the running process has closed its socket: %v", err)
	}
	again, err := Listen(dir, id) // the socket's name is still there
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	if _, err := RequestHandover(filepath.Join(dir, "none"), id); !errors.Is(err, ErrNoProcess) {
		t.Errorf("a request in a folder that does not exist: %v", err)
	}
	if _, err := Listen(filepath.Join(dir, "none"), id); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a socket in a folder that does not exist: %v", err)
	}
}

// TestDamagedHandover: a handover that is cut off after any number of bytes, or of which any byte is corrupt, is an
// error with its place, and nothing of it is used.
func TestDamagedHandover(t *testing.T) {
	var data []byte // of a whole handover, without connections
	a, b := newUnixPair(t)
	go func() {
		sender := &Sender{a}
		sender.Send([]Record{{Kind: "engine", Data: []byte(`{"clock":1}`)}, {Kind: "list", Data: []byte("[]")}})
		a.CloseWrite()
	}()
	data, err := io.ReadAll(b)
	if err != nil {
		t.Fatal(err)
	}
	receiveBytes := func(data []byte) ([]Record, error) {
		a, b := newUnixPair(t)
		defer a.Close()
		defer b.Close()
		a.Write(data)
		a.Close()
		return (&Receiver{b}).Receive()
	}
	if list, err := receiveBytes(data); err != nil || len(list) != 2 {
		t.Fatalf("the whole handover: %v, %v", list, err)
	}
	for at := range data {
		if list, err := receiveBytes(data[:at]); err == nil || list != nil {
			t.Errorf("cut off at %d: %v", at, list)
		}
		corrupt := bytes.Clone(data)
		corrupt[at] ^= 0x40
		if list, err := receiveBytes(corrupt); err == nil || list != nil {
			t.Errorf("corrupt at %d: %v", at, list)
		} else if !strings.Contains(err.Error(), "receiving the handover: record ") {
			t.Errorf("corrupt at %d: the error names no place: %v", at, err)
		}
	}
}

// FuzzReceive: arbitrary bytes give an error, or a record that is no longer than they are.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0})
	f.Add(bytes.Repeat([]byte{0xff}, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := newUnixPair(t)
		a.Write(data)
		a.Close()
		if record, err := receive(b, time.Minute); err == nil && len(record.Kind)+len(record.Data) > len(data) {
			t.Errorf("%d bytes gave a record of %d", len(data), len(record.Kind)+len(record.Data))
		}
	})
}
