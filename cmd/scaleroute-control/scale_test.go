package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/control"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
)

// The size of the planned fleet, for the measurements in docs/control-server.md.
const (
	planEntries    = 2_200_000
	planPartitions = 1 << 21
	planPart       = 970 // partitions of one forwarder: 2^21 x 3 / 6,800, rounded up with a margin
	scaleWatches   = 2000
	scaleChanges   = 500
	scaleParts     = 1000
)

// planDiscovery is a fake of the discovery service that streams planEntries entries, and changes of single entries or of all.
type planDiscovery struct {
	*httptest.Server
	index        atomic.Int64
	allChangedAt atomic.Int64 // the last index at which every entry changed
	unavailable  atomic.Bool
}

// changedBy returns the destination whose entry changes at an index.
func changedBy(index int64) int { return int(index*7919) % planEntries }

func (d *planDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	for limit := time.Now().Add(time.Duration(hold) * time.Millisecond); err == nil && d.index.Load() <= from && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	index := d.index.Load()
	to := bufio.NewWriterSize(w, 1<<20)
	defer to.Flush()
	fmt.Fprintf(to, `{"index":%d,"snapshot":%t,"endpoints":[`, index, err != nil)
	separator := ""
	entry := func(i int, weight float64) {
		fmt.Fprintf(to, `%s{"name":"endpoint-%07d","address":"10.%d.%d.%d:8080","zone":"zone-%02d","type":"std","group":%d,"status":"SERVING","weight":%g,"since_ms":0}`,
			separator, i, i>>16, i>>8&255, i&255, i%13, i, weight)
		separator = ","
	}
	if all := d.allChangedAt.Load(); err != nil || from < all {
		for i := range planEntries {
			entry(i, 1.5+float64(all))
		}
	} else {
		for i := from + 1; i <= index; i++ {
			entry(changedBy(i), float64(i))
		}
	}
	to.WriteString("]}")
}

// usage holds the processor time and memory that a process has used so far.
type usage struct {
	seconds      float64 // processor time
	memory, peak float64 // resident memory in MB
}

const clockTicks = 100 // per second, unit of the times in /proc/PID/stat

func (p *process) usage() (u usage) {
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	text, err := os.ReadFile(folder + "stat")
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.seconds = float64(user+system) / clockTicks
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "VmRSS:":
			u.memory, _ = strconv.ParseFloat(fields[1], 64)
			u.memory /= 1e3
		case "VmHWM:":
			u.peak, _ = strconv.ParseFloat(fields[1], 64)
			u.peak /= 1e3
		}
	}
	return u
}

// TestScale measures one real process with the 2.2 million entries of the planned fleet. It runs only if SCALEROUTE_SCALE is set, and asserts nothing
// about speed.
func TestScale(t *testing.T) {
	if os.Getenv("SCALEROUTE_SCALE") == "" {
		t.Skip("set SCALEROUTE_SCALE=1 to measure: it takes some minutes and a gigabyte")
	}
	program := filepath.Join(t.TempDir(), "scaleroute-control")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	d := &planDiscovery{}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.CloseClientConnections)
	d.index.Store(1)
	p := &process{t: t, address: freeAddress(t), program: program}
	p.args = []string{"--listen=" + p.address, "--name=a", "--upstream=" + d.Listener.Addr().String(), "--state=" + t.TempDir()}
	p.start()
	t.Cleanup(func() {
		p.command.Process.Kill()
		<-p.ended
	})
	m := &measurement{t: t, process: p, discovery: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: scaleWatches}}}
	m.load()
	m.registerScopes()
	m.partSnapshots()
	m.idleWatches()
	m.changes()
	m.everyEntry()
	m.memberCalls()
	m.wholeList()
	m.restart()
}

// measurement runs the steps of TestScale and logs one row for each.
type measurement struct {
	t         *testing.T
	process   *process
	discovery *planDiscovery
	client    *http.Client
	scopes    []string
}

// row runs a step and logs the resources it used, in total and divided by the number of operations in the step.
func (m *measurement) row(name string, times int, step func()) {
	m.t.Helper()
	before, statsBefore, began := m.process.usage(), m.process.stats(), time.Now()
	step()
	took := time.Since(began)
	after, now := m.process.usage(), m.process.stats()
	sent := float64(now.BytesSent - statsBefore.BytesSent)
	m.t.Logf("%-28s %8d times: %8.3f s of processor, %9.1f us each; %8.2f s wall; sent %8.1f kB, %7.0f B each; resident %4.0f MB, highest %4.0f MB",
		name, times, after.seconds-before.seconds, 1e6*(after.seconds-before.seconds)/float64(times), took.Seconds(), sent/1e3, sent/float64(times), after.memory, after.peak)
}

func (m *measurement) load() {
	m.row("load from upstream", planEntries, func() {
		m.process.await("the list", func(f control.Stats) bool { return f.Index == 1 })
	})
	m.row("write the snapshot", planEntries, func() {
		m.process.await("the list is persisted", func(f control.Stats) bool { return f.PersistedIndex == 1 })
	})
	if info, err := os.Stat(filepath.Join(strings.TrimPrefix(m.process.args[3], "--state="), "list")); err == nil {
		m.t.Logf("the list file has %.1f MB", float64(info.Size())/1e6)
	}
}

// registerScopes registers randomly drawn parts for scaleWatches forwarders.
func (m *measurement) registerScopes() {
	layout, random := ownership.Layout{Partitions: planPartitions, Replicas: 3}, rand.New(rand.NewPCG(1, 2))
	m.row("register a scope", scaleWatches, func() {
		for range scaleWatches {
			numbers := make([]uint32, planPart)
			for i := range numbers {
				numbers[i] = random.Uint32N(planPartitions)
			}
			set := ownership.NewSet(numbers...)
			body, _ := json.Marshal(api.Scope{Partitions: layout.Partitions, Set: set.String()})
			request, _ := http.NewRequest(http.MethodPut, "http://"+m.process.address+"/v1/scopes/"+layout.Digest(set), bytes.NewReader(body))
			m.send(request, http.StatusNoContent)
			m.scopes = append(m.scopes, layout.Digest(set))
		}
	})
}

func (m *measurement) get(path string) []byte {
	request, _ := http.NewRequest(http.MethodGet, "http://"+m.process.address+path, nil)
	return m.send(request, http.StatusOK)
}

func (m *measurement) send(request *http.Request, status int) []byte {
	response, err := m.client.Do(request)
	if err != nil {
		m.t.Error(err)
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status {
		m.t.Errorf("status %d, %v", response.StatusCode, err)
	}
	return body
}

func (m *measurement) partSnapshots() {
	m.row("snapshot of a part, gzip", scaleParts, func() {
		for i := range scaleParts {
			m.get("/v1/servers?scope=" + m.scopes[i])
		}
	})
	m.row("look-up of one destination", scaleParts, func() {
		for i := range scaleParts {
			m.get("/v1/servers?destinations=" + ownership.NewSet(uint32(i)).String())
		}
	})
}

// watchAll sends a held request for each scope, repeats that for the given number of rounds, and waits for the last response.
func (m *measurement) watchAll(rounds, holdMS int) {
	var waiting sync.WaitGroup
	for _, scope := range m.scopes {
		waiting.Go(func() {
			for range rounds {
				m.get(fmt.Sprintf("/v1/servers?scope=%s&from=%d&hold_ms=%d", scope, m.discovery.index.Load(), holdMS))
			}
		})
	}
	waiting.Wait()
}

func (m *measurement) idleWatches() {
	m.watchAll(1, 1000) // establishes the connections
	m.row("watch without a change", 5*scaleWatches, func() { m.watchAll(5, 4000) })
}

// changes changes single entries while all scopes are watched. The cost of the changes is the measured cost minus that of the same watches without
// changes.
func (m *measurement) changes() {
	var watching sync.WaitGroup
	watching.Go(func() { m.watchAll(1, 20_000) })
	m.process.await("all requests are held", func(f control.Stats) bool { return f.Watchers == scaleWatches })
	m.row("change of an entry", scaleChanges, func() {
		for range scaleChanges {
			m.discovery.index.Add(1)
			time.Sleep(10 * time.Millisecond)
		}
		m.process.await("the last change", func(f control.Stats) bool { return f.Index == m.discovery.index.Load() })
	})
	m.t.Logf("%d watches were woken by %d changes", m.process.stats().WakeUps, scaleChanges)
	watching.Wait()
}

// everyEntry changes all entries while all scopes are watched, and waits until the last response has been received.
func (m *measurement) everyEntry() {
	var watching sync.WaitGroup
	watching.Go(func() { m.watchAll(1, 60_000) })
	m.process.await("all requests are held", func(f control.Stats) bool { return f.Watchers == scaleWatches })
	m.row("change of every entry", scaleWatches, func() {
		next := m.discovery.index.Load() + 1
		m.discovery.allChangedAt.Store(next)
		m.discovery.index.Store(next)
		watching.Wait()
	})
	m.row("its snapshot", planEntries, func() {
		m.process.await("the snapshot is persisted", func(f control.Stats) bool { return f.PersistedIndex == m.discovery.index.Load() })
	})
}

// memberCalls makes all forwarders join, and then one of them leave while the others wait for a change.
func (m *measurement) memberCalls() {
	name := func(i int) string { return fmt.Sprintf("name=forwarder-%04d&zone=zone-%02d", i, i%13) }
	m.row("first call of a member", scaleWatches, func() {
		for i := range scaleWatches {
			m.get("/v1/members?" + name(i))
		}
	})
	m.process.await("all are members", func(f control.Stats) bool { return f.Members == scaleWatches })
	var last api.Members
	m.row("snapshot of 2,000 members", scaleParts, func() {
		for range scaleParts {
			if err := json.Unmarshal(m.get("/v1/members?"+name(0)), &last); err != nil {
				m.t.Fatal(err)
			}
		}
	})
	before := m.process.stats().Requests
	var watching sync.WaitGroup
	for i := range scaleWatches - 1 {
		watching.Go(func() {
			m.get(fmt.Sprintf("/v1/members?%s&epoch=%s&from=%d&hold_ms=9000", name(i), last.Epoch, last.Index))
		})
	}
	m.process.await("all requests are held", func(f control.Stats) bool { return f.Requests >= before+scaleWatches-1 })
	m.row("one member leaves, for each", scaleWatches-1, func() {
		request, _ := http.NewRequest(http.MethodGet, "http://"+m.process.address+"/v1/members?leave=1&"+name(scaleWatches-1), nil)
		m.send(request, http.StatusNoContent)
		watching.Wait()
	})
}

func (m *measurement) wholeList() {
	m.row("whole list, gzip", planEntries, func() { m.get("/v1/servers") })
}

// restart stops the process and starts it again with the same state folder while discovery is unavailable.
func (m *measurement) restart() {
	began := time.Now()
	m.process.command.Process.Signal(syscall.SIGTERM)
	<-m.process.ended
	m.t.Logf("exited %.2f s after SIGTERM", time.Since(began).Seconds())
	m.discovery.unavailable.Store(true)
	began = time.Now()
	m.process.start()
	for {
		if _, _, err := m.process.get("/v1/servers?destinations=AQ"); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	after := m.process.usage()
	m.t.Logf("served the stored list %.2f s after its start, with %.2f s of processor time, %.0f MB resident", time.Since(began).Seconds(), after.seconds, after.memory)
}
