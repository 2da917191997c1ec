// Package fence keeps a process that was suspended from acting on outdated state: for instance stopped by a signal, frozen with its machine, or starved of CPU time.
// While the process runs, its main loop renews a lease. The lease is checked right before the first byte of each call. An expired lease closes the fence until the
// state of the process has been confirmed again.
package fence

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// MinLease is the shortest lease. With a shorter one, a process on a busy machine would count as suspended.
const MinLease = 50 * time.Millisecond

// Fence is the fence of one process. Its methods may be called from any goroutine.
type Fence struct {
	lease   time.Duration
	now     func() time.Duration
	renewed atomic.Int64 // when the lease was renewed
	closed  atomic.Bool

	mu    sync.Mutex    // held while the fence is closed or opened
	epoch uint64        // number of the latest suspension
	pause time.Duration // its length: the time since the last renewal when the expiry was detected
}

// New returns an open fence. A lease below MinLease is raised to it.
func New(lease time.Duration) *Fence { return newFence(lease, bootTime) }

func newFence(lease time.Duration, now func() time.Duration) *Fence {
	f := &Fence{lease: max(lease, MinLease), now: now}
	f.renewed.Store(int64(now()))
	return f
}

// bootTime returns a clock that continues while the process is stopped and while the machine is suspended, and that can't be set.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // for old kernels: this clock stops while the machine is suspended
	}
	return time.Duration(t.Nano())
}

// RenewInterval returns the interval at which the lease is to be renewed.
func (f *Fence) RenewInterval() time.Duration { return f.lease / 4 }

// CheckHook is called at the start of each Check. Tests use it to stop the process there; it is nil otherwise.
var CheckHook func()

// Check reports whether a call may begin. It is to be called right before the first byte is written.
func (f *Fence) Check() bool {
	if CheckHook != nil {
		CheckHook()
	}
	if f.closed.Load() {
		return false
	}
	if f.sinceRenewal() <= f.lease {
		return !f.closed.Load() // checked again: an expired lease may just have been renewed, which closes the fence before it renews
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeIfExpired()
	return !f.closed.Load()
}

// sinceRenewal returns the time since the last renewal.
func (f *Fence) sinceRenewal() time.Duration { return f.now() - time.Duration(f.renewed.Load()) }

// closeIfExpired closes the fence if the lease has expired. A fence that is still closed from an earlier suspension is closed again under a new number.
func (f *Fence) closeIfExpired() {
	if pause := f.sinceRenewal(); pause > f.lease {
		f.epoch, f.pause = f.epoch+1, pause
		f.closed.Store(true) // before the lease counts as renewed
		f.renewed.Store(int64(f.now()))
	}
}

// Renew renews the lease. If the lease had expired, the fence is closed first. Renew returns the number and the length of the suspension because of which the fence is
// closed, or 0 if the fence is open.
func (f *Fence) Renew() (epoch uint64, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeIfExpired(); !f.closed.Load() {
		f.renewed.Store(int64(f.now()))
		return 0, 0
	}
	f.renewed.Store(int64(f.now()))
	return f.epoch, f.pause
}

// Closed reports whether the fence is closed.
func (f *Fence) Closed() bool { return f.closed.Load() }

// Open opens the fence after the suspension with this number, unless another suspension followed. It reports whether the fence was opened.
func (f *Fence) Open(epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeIfExpired(); !f.closed.Load() || epoch != f.epoch {
		return false
	}
	f.closed.Store(false)
	return true
}
