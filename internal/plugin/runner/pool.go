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
	firstBackoff = 100 * time.Millisecond // before a process that ended is started again; doubles
	mostBackoff  = 10 * time.Second
	longLife     = 10 * time.Second // of a process: the next one is started as if it were the first
	waitersEach  = 1024             // for one process
	logEvery     = time.Second      // lines on failures of one plug-in
	keptErrors   = 8
)

// pool is the processes of one plug-in.
type pool struct {
	spec    plugin.Spec
	command []string
	began   time.Time
	idle    chan *process
	alive   atomic.Int32
	waiters atomic.Int32
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	guard  *plugin.Guard
	status Status
	logged time.Time
	unsaid int
}

// Status is what a plug-in has done since it was loaded.
type Status struct {
	Name      string            `json:"name"`
	Digest    string            `json:"digest"`
	Circuit   string            `json:"circuit"` // closed or open
	Processes int               `json:"processes"`
	Calls     uint64            `json:"calls"`
	Changed   uint64            `json:"changed"`  // something was asked for and let through
	Failed    uint64            `json:"failed"`   // errors of the code, or something asked for that must not be
	Costly    uint64            `json:"costly"`   // steps, time or memory used up
	Skipped   uint64            `json:"skipped"`  // not asked: circuit open, CPU spent, too many waiting
	Restarts  uint64            `json:"restarts"` // of processes
	CPU       float64           `json:"cpu_seconds"`
	Steps     uint64            `json:"steps"`
	Counts    map[string]uint64 `json:"counts,omitempty"`
	Errors    []Failure         `json:"errors,omitempty"` // the last ones
}

// Failure is one error of a plug-in.
type Failure struct {
	At    time.Time    `json:"at"`
	Point plugin.Point `json:"point,omitempty"`
	ID    string       `json:"id,omitempty"`
	Error string       `json:"error"`
}

// open starts a pool. It is there when the first process says that the code is well; the others follow.
func open(ctx context.Context, command []string, spec plugin.Spec) (*pool, error) {
	first, err := start(command, &spec)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &pool{spec: spec, command: command, began: time.Now(), idle: make(chan *process, spec.Processes), cancel: cancel,
		guard: plugin.NewGuard(spec.Allowance), status: Status{Name: spec.Name, Digest: spec.Digest(), Counts: map[string]uint64{}}}
	p.alive.Add(1)
	p.idle <- first
	p.wg.Go(func() { p.keep(ctx, first) })
	for range spec.Processes - 1 {
		p.wg.Go(func() { p.keep(ctx, nil) })
	}
	return p, nil
}

// keep keeps one process there, until ctx ends; the first may be there already.
func (p *pool) keep(ctx context.Context, now *process) {
	for tries := 0; ; tries++ {
		began := time.Now()
		if now == nil {
			var err error
			if now, err = start(p.command, &p.spec); err != nil {
				p.fail(nil, fmt.Errorf("it can't be started: %w", err), false)
			} else {
				p.alive.Add(1)
				select { // one that has ended may still be in its place, until somebody takes it
				case p.idle <- now:
				case <-ctx.Done():
					now.kill()
					return
				}
			}
		}
		if now != nil {
			select {
			case <-ctx.Done():
				now.kill()
				return
			case <-now.gone:
			}
			now.close()
			p.takeOut(now)
			now = nil
			p.alive.Add(-1)
			p.mu.Lock()
			p.status.Restarts++
			p.mu.Unlock()
			if time.Since(began) > longLife {
				tries = 0
			}
		}
		most := min(firstBackoff<<min(tries, 10), mostBackoff)
		select {
		case <-ctx.Done():
			return
		case <-time.After(most/4 + rand.N(most)):
		}
	}
}

// takeOut takes a process that has ended out of the idle ones, if it is among them: its place is for the next.
func (p *pool) takeOut(dead *process) {
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

// close ends the processes. Nobody asks any more.
func (p *pool) close() {
	p.cancel()
	p.wg.Wait()
}

var (
	errBusy = errors.New("all its processes are busy")
	errDown = errors.New("none of its processes is up")
)

// skipped says that a plug-in was not asked.
type skipped struct{ why plugin.Verdict }

func (s skipped) Error() string { return s.why.String() }

// ask asks the plug-in and has use let its wish through, or not: an error from there counts as the plug-in's. Every error means
// that nothing was changed.
func (p *pool) ask(q *plugin.Request, use func(*plugin.Result) error) error {
	began := time.Now()
	p.mu.Lock()
	verdict, ticket := p.guard.Admit(began.Sub(p.began))
	p.mu.Unlock()
	if verdict != plugin.Run {
		p.note(func(s *Status) { s.Skipped++ })
		return skipped{verdict}
	}
	r, held, err := p.exchange(q)
	cpu, costly := held, false
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
	was := p.guard.IsCircuitOpen()
	p.guard.Done(ticket, time.Since(p.began), cpu, costly, rand.Float64())
	is := p.guard.IsCircuitOpen()
	p.mu.Unlock()
	if was != is {
		slog.Warn("a plug-in's circuit", "plugin", p.spec.Name, "open", is, "err", err)
	}
	if err == errBusy {
		p.note(func(s *Status) { s.Skipped++ })
		return err
	}
	if err == nil && r.Error != "" {
		err = errors.New(plugin.SanitizeLine(r.Error, 1000))
	}
	changed := false
	if err == nil {
		if changed = r.RequestsChange(); changed {
			err = use(r)
		}
	}
	p.note(func(s *Status) {
		s.Calls++
		s.CPU += cpu.Seconds()
		if r != nil {
			s.Steps += r.Steps
			for name, n := range r.Counts {
				if _, there := s.Counts[name]; n > 0 && (there || len(s.Counts) < plugin.MaxCounters) {
					s.Counts[plugin.SanitizeLine(name, plugin.MaxFieldName)] += uint64(n)
				}
			}
		}
		if changed && err == nil {
			s.Changed++
		}
	})
	if r != nil && len(r.Lines) > 0 {
		p.say(q, r.Lines)
	}
	if err != nil {
		p.fail(q, err, costly)
	}
	return err
}

// exchange makes one call, and tells how long it held a process.
func (p *pool) exchange(q *plugin.Request) (r *plugin.Result, held time.Duration, err error) {
	if p.waiters.Add(1) > int32(p.spec.Processes*waitersEach) {
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
		var to *process
		select {
		case to = <-p.idle:
		case <-timer.C:
			return nil, 0, errBusy
		}
		select {
		case <-to.gone: // its keeper does the rest
			continue
		default:
		}
		// It has all its time from now on: to wait was not its doing, and it would be killed for that.
		from := time.Now()
		r, err = to.ask(q, p.spec.Time, p.spec.Output)
		held = time.Since(from)
		if err != nil {
			to.cmd.Process.Kill() // its keeper starts another
			return nil, held, explain(&p.spec, err)
		}
		p.idle <- to
		return r, held, nil
	}
}

// explain says what an error of a process means.
func explain(s *plugin.Spec, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("no answer within %v", s.Time)
	}
	return fmt.Errorf("its process ended, as one does that takes more than %d MiB of memory: %w", s.Memory>>20, err)
}

func (p *pool) note(f func(*Status)) {
	p.mu.Lock()
	f(&p.status)
	p.mu.Unlock()
}

// fail notes an error, and logs it if none was logged of late.
func (p *pool) fail(q *plugin.Request, err error, costly bool) {
	f := Failure{At: time.Now(), Error: err.Error()}
	if q != nil {
		f.Point, f.ID = q.Point, q.ID
	}
	p.mu.Lock()
	if costly {
		p.status.Costly++
	}
	p.status.Failed++
	if p.status.Errors = append(p.status.Errors, f); len(p.status.Errors) > keptErrors {
		p.status.Errors = slices.Delete(p.status.Errors, 0, 1)
	}
	p.mu.Unlock()
	p.limited(func(unsaid int) {
		slog.Warn("a plug-in failed", "plugin", p.spec.Name, "point", f.Point, "id", f.ID, "err", f.Error, "unsaid", unsaid)
	})
}

// say logs what the code wants said.
func (p *pool) say(q *plugin.Request, lines []string) {
	p.limited(func(unsaid int) {
		for _, line := range lines[:min(len(lines), plugin.MaxLogLines)] {
			slog.Info("a plug-in says", "plugin", p.spec.Name, "point", q.Point, "id", q.ID, "text", plugin.SanitizeLine(line, plugin.MaxLogLine), "unsaid", unsaid)
		}
	})
}

// limited keeps what one plug-in has logged to once in logEvery.
func (p *pool) limited(log func(unsaid int)) {
	p.mu.Lock()
	now := time.Now()
	if now.Sub(p.logged) < logEvery {
		p.unsaid++
		p.mu.Unlock()
		return
	}
	unsaid := p.unsaid
	p.logged, p.unsaid = now, 0
	p.mu.Unlock()
	log(unsaid)
}

// Status is a copy.
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
