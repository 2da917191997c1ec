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

// pair is the two ends of a connection.
func pair(t testing.TB, network, address string) (near, far net.Conn) {
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

func unixPair(t testing.TB) (a, b *net.UnixConn) {
	near, far := pair(t, "unix", filepath.Join(t.TempDir(), "s"))
	return near.(*net.UnixConn), far.(*net.UnixConn)
}

// start opens a socket for an identity in a folder.
func start(t *testing.T, dir string, id Identity) *Socket {
	t.Helper()
	s, err := Listen(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		s.Serve(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		s.Close()
		<-ended
	})
	return s
}

// TestHandOver: parcels come in their order, small ones and large ones, with and without connections, which work in both processes.
func TestHandOver(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s := start(t, dir, id)
	var sent []Record
	var ends []net.Conn
	for i, size := range []int{0, 1, 100, 1 << 20, 7} {
		p := Record{Kind: fmt.Sprint("kind ", i), Data: bytes.Repeat([]byte{byte(i)}, size)}
		if i%2 == 0 {
			near, far := pair(t, "tcp", "127.0.0.1:0")
			p.Conn = near
			ends = append(ends, far)
		}
		sent = append(sent, p)
	}
	given := make(chan error, 1)
	go func() {
		g := <-s.Requests()
		defer g.Close()
		err := errors.Join(g.Accept(), g.Send(sent))
		door, owned := g.AwaitOwnership(time.Minute)
		if door != "127.0.0.1:1" {
			t.Errorf("its door is at %q", door)
		}
		given <- errors.Join(err, owned)
	}()
	taker, err := RequestHandover(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	defer taker.Close()
	got, err := taker.Receive()
	if err != nil || len(got) != len(sent) {
		t.Fatalf("%d parcels, %v", len(got), err)
	}
	defer CloseConns(got)
	n := 0
	for i, p := range got {
		if p.Kind != sent[i].Kind || !bytes.Equal(p.Data, sent[i].Data) || (p.Conn != nil) != (sent[i].Conn != nil) {
			t.Errorf("parcel %d: %q, %d bytes, %v", i, p.Kind, len(p.Data), p.Conn)
		}
		if p.Conn == nil {
			continue
		}
		sent[i].Conn.Close() // the old process's copy
		fmt.Fprint(p.Conn, "hello")
		buf := make([]byte, 5)
		if _, err := io.ReadFull(ends[n], buf); err != nil || string(buf) != "hello" {
			t.Errorf("parcel %d: the far end reads %q, %v", i, buf, err)
		}
		n++
	}
	if err := taker.ConfirmOwnership("127.0.0.1:1"); err != nil {
		t.Error(err)
	}
	if err := <-given; err != nil {
		t.Error(err)
	}
}

// TestRefused: whoever is of another version, folder or name is told why and what to do, and the next one is heard.
func TestRefused(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s := start(t, dir, id)
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
			// The name of the socket keeps other folders away; whoever comes all the same is told.
			text, err := json.Marshal(c.as)
			if err != nil {
				t.Fatal(err)
			}
			var refused RefusedError
			if err := askAs(t, dir, id, Record{Kind: kindAsk, Data: text}); !errors.As(err, &refused) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v", err)
			}
		})
	}
	for _, garbage := range []Record{{Kind: "what"}, {Kind: kindAsk, Data: []byte("{")}} {
		if err := askAs(t, dir, id, garbage); err == nil {
			t.Errorf("%q is answered", garbage.Kind)
		}
	}
	if conn, err := dial(dir, id); err != nil {
		t.Error(err)
	} else { // a stranger that hangs up
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		conn.Close()
	}
	go func() {
		g := <-s.Requests()
		g.Accept()
		g.Close()
	}()
	taker, err := RequestHandover(dir, id)
	if err != nil {
		t.Fatalf("after all that: %v", err)
	}
	taker.Close()
	if _, err := RequestHandover(dir, Identity{ProtocolVersion, "n0", "1:3"}); !errors.Is(err, ErrNoProcess) {
		t.Errorf("a folder that nobody serves: %v", err)
	}
}

func dial(dir string, id Identity) (conn *net.UnixConn, err error) {
	err = id.at(dir, func(a *net.UnixAddr) (err error) {
		conn, err = net.DialUnix("unix", nil, a)
		return err
	})
	return conn, err
}

// askAs sends a parcel in place of the one that asks, and returns what Ask would.
func askAs(t *testing.T, dir string, id Identity, p Record) error {
	t.Helper()
	conn, err := dial(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := send(conn, p); err != nil {
		t.Fatal(err)
	}
	got, err := receive(conn, time.Minute)
	if err == nil && got.Kind == kindRefused {
		return RefusedError(got.Data)
	}
	return err
}

// TestLater: a process that is handing over tells the next one to ask again, and one that has ended is nobody.
func TestLater(t *testing.T) {
	dir, id := t.TempDir(), Identity{ProtocolVersion, "n0", "1:2"}
	s, err := Listen(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		s.Serve(ctx)
		close(ended)
	}()
	answered := make(chan error)
	go func() {
		_, err := RequestHandover(dir, id) // nobody takes it from Asks
		answered <- err
	}()
	cancel()
	if err := <-answered; !errors.Is(err, ErrRetryLater) {
		t.Errorf("got %v", err)
	}
	s.Close()
	<-ended
	if _, err := RequestHandover(dir, id); !errors.Is(err, ErrNoProcess) {
		t.Errorf("got %v", err)
	}
	again, err := Listen(dir, id) // the name is there still
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	if _, err := RequestHandover(filepath.Join(dir, "none"), id); !errors.Is(err, ErrNoProcess) {
		t.Errorf("no folder: %v", err)
	}
	if _, err := Listen(filepath.Join(dir, "none"), id); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no folder to listen in: %v", err)
	}
}

// TestCutShort: a hand-over that ends after any number of bytes, or in which any byte is spoilt, is an error, and nothing of it is kept.
func TestCutShort(t *testing.T) {
	var text []byte // of a whole hand-over, without connections
	a, b := unixPair(t)
	go func() {
		g := &Sender{a}
		g.Send([]Record{{Kind: "engine", Data: []byte(`{"clock":1}`)}, {Kind: "list", Data: []byte("[]")}})
		a.CloseWrite()
	}()
	text, err := io.ReadAll(b)
	if err != nil {
		t.Fatal(err)
	}
	receiveText := func(text []byte) ([]Record, error) {
		a, b := unixPair(t)
		defer a.Close()
		defer b.Close()
		a.Write(text)
		a.Close()
		return (&Receiver{b}).Receive()
	}
	if list, err := receiveText(text); err != nil || len(list) != 2 {
		t.Fatalf("whole: %v, %v", list, err)
	}
	for at := range text {
		if list, err := receiveText(text[:at]); err == nil || list != nil {
			t.Errorf("cut at %d: %v", at, list)
		}
		spoilt := bytes.Clone(text)
		spoilt[at] ^= 0x40
		if list, err := receiveText(spoilt); err == nil || list != nil {
			t.Errorf("spoilt at %d: %v", at, list)
		} else if !strings.Contains(err.Error(), "parcel") {
			t.Errorf("spoilt at %d: the error names no place: %v", at, err)
		}
	}
}

// FuzzReceive: whatever comes, it is an error or a parcel of what came.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0})
	f.Add(bytes.Repeat([]byte{0xff}, 40))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, b := unixPair(t)
		a.Write(text)
		a.Close()
		if p, err := receive(b, time.Minute); err == nil && len(p.Kind)+len(p.Data) > len(text) {
			t.Errorf("%d bytes made %d", len(text), len(p.Kind)+len(p.Data))
		}
	})
}
