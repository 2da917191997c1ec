package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/plugin"
)

const (
	firstBackoff         = 100 * time.Millisecond // delay before an ended process is started again; doubles with each attempt
	maxBackoff           = 10 * time.Second
	stableUptime         = 10 * time.Second // a process that ran longer resets the back-off to firstBackoff
	maxWaitersPerProcess = 1024             // calls that may wait, for each process of the pool
	logInterval          = time.Second      // at most one log entry per plug-in in this time
	maxKeptErrors        = 8
)

// pool holds the host processes of one plug-in and its status.
type pool struct {
	spec    plugin.Spec
	command []string
	created time.Time
	idle    chan *process
	alive   atomic.Int32
	waiters atomic.Int32
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	guard      *plugin.Guard
	status     Status
	lastLogged time.Time
	suppressed int
}

// Status holds the counters of a plug-in since it was loaded.
type Status struct {
	Name      string            `json:"name"`
	Digest    string            `json:"digest"`
	Circuit   string            `json:"circuit"` // closed or open
	Processes int               `json:"processes"`
	Calls     uint64            `json:"calls"`
	Changed   uint64            `json:"changed"`  // calls whose requested changes were applied
	Failed    uint64            `json:"failed"`   // errors of the code, of its processes, or results that break a rule
	Costly    uint64            `json:"costly"`   // failures by exceeding the steps, time or memory, or by ending the process
	Skipped   uint64            `json:"skipped"`  // not called: circuit open, CPU allowance used up, all processes busy
	Restarts  uint64            `json:"restarts"` // of host processes
	CPU       float64           `json:"cpu_seconds"`
	Steps     uint64            `json:"steps"`
	Counts    map[string]uint64 `json:"counts,omitempty"`
	Errors    []Failure         `json:"errors,omitempty"` // the last maxKeptErrors
}

// Failure is one error of a plug-in.
type Failure struct {
	At    time.Time    `json:"at"`
	Point plugin.Point `json:"point,omitempty"`
	ID    string       `json:"id,omitempty"`
	Error string       `json:"error"`
}

// openPool starts a pool. It returns as soon as the first process has compiled the code; the other processes start in the
// background.
func openPool(ctx context.Context, command []string, spec plugin.Spec) (*pool, error) {
	first, err := startProcess(command, &spec)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &pool{spec: spec, command: command, created: time.Now(), idle: make(chan *process, spec.Processes), cancel: cancel,
		guard: plugin.NewGuard(spec.Allowance), status: Status{Name: spec.Name, Digest: spec.Digest(), Counts: map[string]uint64{}}}
	p.alive.Add(1)
	p.idle <- first
	p.wg.Go(func() { p.supervise(ctx, first) })
	for range spec.Processes - 1 {
		p.wg.Go(func() { p.supervise(ctx, nil) })
	}
	return p, nil
}

// supervise keeps one process running, and restarts it with back-off, until ctx ends. current is a process that runs already, or
// nil.
func (p *pool) supervise(ctx context.Context, current *process) {
	for attempts := 0; ; attempts++ {
		began := time.Now()
		if current == nil {
			var err error
			if current, err = startProcess(p.command, &p.spec); err != nil {
				p.recordFailure(nil, fmt.Errorf("it can't be started: %w", err), false)
			} else {
				p.alive.Add(1)
				select { // blocks while an ended process still occupies the place, until a call or removeIdle takes it out
				case p.idle <- current:
				case <-ctx.Done():
					current.kill()
					return
				}
			}
		}
		if current != nil {
			select {
			case <-ctx.Done():
				current.kill()
				return
			case <-current.exited:
			}
			current.close()
			p.removeIdle(current)
			current = nil
			p.alive.Add(-1)
			p.mu.Lock()
			p.status.Restarts++
			p.mu.Unlock()
			if time.Since(began) > stableUptime {
				attempts = 0
			}
		}
		backoff := min(firstBackoff<<min(attempts, 10), maxBackoff)
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/4 + rand.N(backoff)):
		}
	}
}

// removeIdle removes an ended process from the idle ones, if it is among them, to free its place for the next process.
func (p *pool) removeIdle(dead *process) {
	for range cap(p.idle) {
		select {
		case other := <-p.idle:
			if other == dead {
				return
			}
			p.idle <- other
		default:
			return
		}
	}
}

// close ends the processes. No caller may use the pool any more.
func (p *pool) close() {
	p.cancel()
	p.wg.Wait()
}

var (
	errBusy = errors.New("all its processes are busy")
	errDown = errors.New("none of its processes is up")
)

// skipped is the error for a call that the guard did not admit.
type skipped struct{ verdict plugin.Verdict }

func (s skipped) Error() string { return s.verdict.String() }

// call calls the plug-in, and apply if the result requests a change. apply returns an error if the result breaks a rule, which
// counts as a failure of the plug-in. After any error nothing has been changed.
func (p *pool) call(q *plugin.Request, apply func(*plugin.Result) error) error {
	began := time.Now()
	p.mu.Lock()
	verdict, ticket := p.guard.Admit(began.Sub(p.created))
	p.mu.Unlock()
	if verdict != plugin.Run {
		p.updateStatus(func(s *Status) { s.Skipped++ })
		return skipped{verdict}
	}
	r, occupied, err := p.callProcess(q)
	cpu, costly := occupied, false
	switch {
	case err == errBusy:
		cpu, costly = 0, ticket.IsProbe()
	case err != nil:
		costly = true
	default:
		cpu = time.Duration(max(0, r.CPU)) * time.Microsecond
		costly = r.Error != "" && r.Costly
	}
	p.mu.Lock()
	wasOpen := p.guard.IsCircuitOpen()
	p.guard.Done(ticket, time.Since(p.created), cpu, costly, rand.Float64())
	isOpen := p.guard.IsCircuitOpen()
	p.mu.Unlock()
	if wasOpen != isOpen {
		slog.Warn("plug-in circuit breaker changed state", "plugin", p.spec.Name, "open", isOpen, "err", err)
	}
	if err == errBusy {
		p.updateStatus(func(s *Status) { s.Skipped++ })
		return err
	}
	if err == nil && r.Error != "" {
		err = errors.New(plugin.SanitizeLine(r.Error, 1000))
	}
	changed := false
	if err == nil {
		if changed = r.RequestsChange(); changed {
			err = apply(r)
		}
	}
	p.updateStatus(func(s *Status) {
		s.Calls++
		s.CPU += cpu.Seconds()
		if r != nil {
			s.Steps += r.Steps
			for name, n := range r.Counts {
				if _, exists := s.Counts[name]; n > 0 && (exists || len(s.Counts) < plugin.MaxCounters) {
					s.Counts[plugin.SanitizeLine(name, plugin.MaxFieldName)] += uint64(n)
				}
			}
		}
		if changed && err == nil {
			s.Changed++
		}
	})
	if r != nil && len(r.Lines) > 0 {
		p.logLines(q, r.Lines)
	}
	if err != nil {
		p.recordFailure(q, err, costly)
	}
	return err
}

// callProcess makes one call in an idle process, and returns for how long it occupied the process.
func (p *pool) callProcess(q *plugin.Request) (r *plugin.Result, occupied time.Duration, err error) {
	if p.waiters.Add(1) > int32(p.spec.Processes*maxWaitersPerProcess) {
		p.waiters.Add(-1)
		return nil, 0, errBusy
	}
	defer p.waiters.Add(-1)
	timer := time.NewTimer(p.spec.Time)
	defer timer.Stop()
	for {
		if p.alive.Load() == 0 {
			return nil, 0, errDown
		}
		var idle *process
		select {
		case idle = <-p.idle:
		case <-timer.C:
			return nil, 0, errBusy
		}
		select {
		case <-idle.exited: // its supervisor replaces it
			continue
		default:
		}
		// The call gets its full time limit from here on. If the wait for the process counted, the process would be killed for it.
		began := time.Now()
		r, err = idle.call(q, p.spec.Time, p.spec.Output)
		occupied = time.Since(began)
		if err != nil {
			idle.cmd.Process.Kill() // its supervisor starts another
			return nil, occupied, explainProcessError(&p.spec, err)
		}
		p.idle <- idle
		return r, occupied, nil
	}
}

// explainProcessError turns an error of talking to a process into one that says what the plug-in did.
func explainProcessError(s *plugin.Spec, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("no answer within %v", s.Time)
	}
	return fmt.Errorf("its process ended, as one does that takes more than %d MiB of memory: %w", s.Memory>>20, err)
}

func (p *pool) updateStatus(f func(*Status)) {
	p.mu.Lock()
	f(&p.status)
	p.mu.Unlock()
}

// recordFailure adds an error to the status, and logs it unless the rate limit suppresses it.
func (p *pool) recordFailure(q *plugin.Request, err error, costly bool) {
	f := Failure{At: time.Now(), Error: err.Error()}
	if q != nil {
		f.Point, f.ID = q.Point, q.ID
	}
	p.mu.Lock()
	if costly {
		p.status.Costly++
	}
	p.status.Failed++
	if p.status.Errors = append(p.status.Errors, f); len(p.status.Errors) > maxKeptErrors {
		p.status.Errors = slices.Delete(p.status.Errors, 0, 1)
	}
	p.mu.Unlock()
	p.rateLimitLog(func(suppressed int) {
		slog.Warn("plug-in failed", "plugin", p.spec.Name, "point", f.Point, "id", f.ID, "err", f.Error, "unsaid", suppressed)
	})
}

// logLines logs the lines that the code has passed to log().
func (p *pool) logLines(q *plugin.Request, lines []string) {
	p.rateLimitLog(func(suppressed int) {
		for _, line := range lines[:min(len(lines), plugin.MaxLogLines)] {
			slog.Info("plug-in log line", "plugin", p.spec.Name, "point", q.Point, "id", q.ID, "text", plugin.SanitizeLine(line, plugin.MaxLogLine), "unsaid", suppressed)
		}
	})
}

// rateLimitLog calls log at most once per logInterval, with the number of entries suppressed since the last one.
func (p *pool) rateLimitLog(log func(suppressed int)) {
	p.mu.Lock()
	now := time.Now()
	if now.Sub(p.lastLogged) < logInterval {
		p.suppressed++
		p.mu.Unlock()
		return
	}
	suppressed := p.suppressed
	p.lastLogged, p.suppressed = now, 0
	p.mu.Unlock()
	log(suppressed)
}

// snapshot returns a copy of the status.
func (p *pool) snapshot() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.status
	s.Circuit = "closed"
	if p.guard.IsCircuitOpen() {
		s.Circuit = "open"
	}
	s.Processes = int(p.alive.Load())
	s.Errors = slices.Clone(s.Errors)
	s.Counts = make(map[string]uint64, len(p.status.Counts))
	for name, n := range p.status.Counts {
		s.Counts[name] = n
	}
	return s
}
