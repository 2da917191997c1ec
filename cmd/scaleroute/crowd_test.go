package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/standin"
)

const (
	crowdSize     = 950
	crowdMemoryMB = 192 // the memory limit of the test's processes
	usualRequests = 200 // of the client beside, one each usualInterval
	usualInterval = 10 * time.Millisecond
	floodBatch    = 64 << 10 // bytes that a flooding client writes at once
	shortFields   = 12_000   // in one request
)

// buildDaemon builds the program as it is deployed: the race detector, which the test binary may have, needs several times the memory.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scaleroute")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return path
}

// peakMemoryMB returns the largest memory that a process has had.
func peakMemoryMB(t *testing.T, p *process) (megabytes int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes := 0
	fmt.Sscan(rest, &kilobytes)
	return kilobytes >> 10
}

// serveUsualClient sends messages at a usual rate, over one connection as long as that stays open, and checks that each is answered in time. A request
// that crosses the end of its connection is sent once more on a new one, as the protocol has it.
func serveUsualClient(t *testing.T, p *process, c *client) {
	t.Helper()
	longest, late, reconnects := time.Duration(0), 0, 0
	for i := range usualRequests {
		began := time.Now()
		id := fmt.Sprint("usual-", i)
		send := func() string {
			return c.tryDo("ENQUEUE", "0", id, fmt.Sprintf("c=harmless,d=200000,dest=%d", formerDest), "x")
		}
		got := send()
		if got == "" {
			reconnects++
			c = p.connect()
			got = send()
		}
		if got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("%s: %q", id, got)
		}
		took := time.Since(began)
		if longest = max(longest, took); took > standin.AnswerTime {
			late++
		}
		time.Sleep(time.Until(began.Add(usualInterval)))
	}
	if late > 0 {
		t.Errorf("a usual client had %d of %d answers after %v, the last %v", late, usualRequests, standin.AnswerTime, longest)
	}
	if reconnects > 0 {
		t.Errorf("the connection of a client that is being served ended %d times", reconnects)
	}
	t.Logf("longest answer %v", longest)
}

// enqueueRequest encodes an ENQUEUE.
func enqueueRequest(id, fields, body string) string {
	return fmt.Sprintf("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(fields), fields, len(body), body)
}

// TestFloodingClientDelaysNoOther: a client that sends small or malformed requests at full speed, under ever new names, delays no other client's answers
// and does not make the process exceed its memory.
func TestFloodingClientDelaysNoOther(t *testing.T) {
	program := buildDaemon(t)
	for name, request := range map[string]func(i int) string{
		"PING":             func(int) string { return "*1\r\n$4\r\nPING\r\n" },
		"unknown commands": func(i int) string { return fmt.Sprintf("*1\r\n$10\r\nC%09d\r\n", i) },
		"new classes": func(i int) string {
			return enqueueRequest(fmt.Sprintf("class-%09d", i), fmt.Sprintf("c=class%09d,d=8000,dest=%d", i, formerDest), "x")
		},
		"new destinations": func(i int) string {
			return enqueueRequest(fmt.Sprintf("dest-%09d", i), fmt.Sprintf("c=harmless,d=8000,dest=%d", 1000+i), "x")
		},
		"new ids":    func(i int) string { return enqueueRequest(fmt.Sprintf("id-%09d", i), "c=unsafe,d=8000,dest=7", "x") },
		"bad fields": func(i int) string { return enqueueRequest(fmt.Sprintf("bad-%09d", i), "c,d,dest", "") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			w.program = program
			p := w.start()
			flood, usual := p.connect(), p.connect()
			stop := make(chan bool)
			var both sync.WaitGroup
			both.Go(func() { io.Copy(io.Discard, flood.conn) })
			both.Go(func() {
				var batch bytes.Buffer
				for i := 0; ; {
					select {
					case <-stop:
						flood.conn.Close()
						return
					default:
					}
					for batch.Reset(); batch.Len() < floodBatch; i++ {
						batch.WriteString(request(i))
					}
					if _, err := flood.conn.Write(batch.Bytes()); err != nil {
						return
					}
				}
			})
			serveUsualClient(t, p, usual)
			close(stop)
			both.Wait()
			checkMemory(t, p)
		})
	}
}

func checkMemory(t *testing.T, p *process) {
	t.Helper()
	peak := peakMemoryMB(t, p)
	if peak > crowdMemoryMB {
		t.Errorf("peak memory %d MB, limit %d", peak, crowdMemoryMB)
	}
	t.Logf("peak memory %d MB", peak)
}

// TestSlowCrowdDelaysNoOther: hundreds of clients that write slowly, stop half way through a large request or send very many short fields delay no other
// client's answers and do not make the process exceed its memory.
func TestSlowCrowdDelaysNoOther(t *testing.T) {
	program := buildDaemon(t)
	large := enqueueRequest("large", "c=harmless,d=8000,dest=7", strings.Repeat("x", 60<<10))
	fields := enqueueRequest("fields", "c=harmless,d=8000,dest=7"+strings.Repeat(",a=b", shortFields), "x")
	for name, write := range map[string]func(conn net.Conn, stop <-chan bool){
		"half of a large request": func(conn net.Conn, _ <-chan bool) { io.WriteString(conn, large[:len(large)/2]) },
		"many short fields":       func(conn net.Conn, _ <-chan bool) { io.WriteString(conn, fields) },
		"most of many fields":     func(conn net.Conn, _ <-chan bool) { io.WriteString(conn, fields[:len(fields)-2]) },
		"slowly": func(conn net.Conn, stop <-chan bool) {
			for i := range large {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if _, err := conn.Write([]byte(large[i : i+1])); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			w.program = program
			p := w.start()
			usual := p.connect()
			usual.mustEnqueue("first", "harmless", 200000) // a connection without a request is ended soon
			stop := make(chan bool)
			var crowd sync.WaitGroup
			for range crowdSize {
				crowd.Go(func() {
					conn, err := net.Dial("tcp", p.address)
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					write(conn, stop)
					<-stop
				})
			}
			serveUsualClient(t, p, usual)
			close(stop)
			crowd.Wait()
			checkMemory(t, p)
		})
	}
}
