// Package fence keeps a process that slept from acting on what it knew before: stopped by a signal, frozen with its machine, or starved of its core.
// While it runs, its loop renews a lease; whoever is about to write the first byte of a call checks that. A lease that has run out closes
// the fence until what the process knows was confirmed.
package fence

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// MinLease is the shortest lease: below it a busy machine is taken for one that slept.
const MinLease = 50 * time.Millisecond

// Fence is one process's. Its methods may be called from any goroutine.
type Fence struct {
	lease  time.Duration
	now    func() time.Duration
	beat   atomic.Int64 // when the lease was renewed
	closed atomic.Bool

	mu    sync.Mutex // for closing and opening
	epoch uint64     // number of the newest sleep
	slept time.Duration
}

// New makes one that is open, with a lease from Least on.
func New(lease time.Duration) *Fence { return newFence(lease, sinceBoot) }

func newFence(lease time.Duration, now func() time.Duration) *Fence {
	f := &Fence{lease: max(lease, MinLease), now: now}
	f.beat.Store(int64(now()))
	return f
}

// sinceBoot goes on while the process is stopped and while the machine is suspended, and nobody sets it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // of an old kernel: it stands still while the machine is suspended
	}
	return time.Duration(t.Nano())
}

// RenewInterval is how often the lease is to be renewed.
func (f *Fence) RenewInterval() time.Duration { return f.lease / 4 }

// CheckHook is called first in each Check: tests stop the process there. nil for everybody else.
var CheckHook func()

// Check tells whether a call may begin. It is asked right before the first byte.
func (f *Fence) Check() bool {
	if CheckHook != nil {
		CheckHook()
	}
	if f.closed.Load() {
		return false
	}
	if f.gap() <= f.lease {
		return !f.closed.Load() // looked at again: whoever has just renewed a lease that had run out closed the fence first
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	return !f.closed.Load()
}

func (f *Fence) gap() time.Duration { return f.now() - time.Duration(f.beat.Load()) }

// look closes the fence if the process slept, also where it is closed by an earlier sleep.
func (f *Fence) look() {
	if gap := f.gap(); gap > f.lease {
		f.epoch, f.slept = f.epoch+1, gap
		f.closed.Store(true) // before the lease counts as renewed
		f.beat.Store(int64(f.now()))
	}
}

// Renew renews the lease; if that had run out, the fence is closed. It returns the number of the sleep that the fence is closed by, 0 while it is
// open, and how long that was.
func (f *Fence) Renew() (epoch uint64, slept time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.look(); !f.closed.Load() {
		f.beat.Store(int64(f.now()))
		return 0, 0
	}
	f.beat.Store(int64(f.now()))
	return f.epoch, f.slept
}

// Closed tells whether it is.
func (f *Fence) Closed() bool { return f.closed.Load() }

// Open opens it after the sleep of this number; not if there was another one since.
func (f *Fence) Open(epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.look(); !f.closed.Load() || epoch != f.epoch {
		return false
	}
	f.closed.Store(false)
	return true
}
