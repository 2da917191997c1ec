// Package steadyclock numbers instants so that a number means the same instant to a later process on the same machine,
// even if the wall clock is set in between. Within a process the monotonic clock carries the numbering on, and across
// processes the time since the machine was booted.
package steadyclock

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// WallNow reads the wall clock, for the cases in which no other clock is available. Fault tests replace it.
var WallNow = time.Now

const (
	clockBoottime = 7 // CLOCK_BOOTTIME of Linux, which goes on while the machine is suspended
	bootIDFile    = "/proc/sys/kernel/random/boot_id"
)

// Uptime returns how long ago the machine was booted; ok is false if the system does not report it.
func Uptime() (since time.Duration, ok bool) {
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&now)), 0)
	return time.Duration(now.Nano()), errno == 0
}

// Clock maps instants to numbers. The zero Clock is not usable: New and Open return usable ones.
type Clock struct {
	anchor time.Time // an instant with a reading of the monotonic clock
	millis int64     // the number of anchor: what the wall clock showed then, or would have shown if it had not been set since
}

// New returns a clock that starts from the wall clock.
func New() Clock { return Clock{anchor: time.Now(), millis: WallNow().UnixMilli()} }

// Millis returns the number of an instant, in milliseconds.
func (c Clock) Millis(t time.Time) int64 { return c.millis + t.Sub(c.anchor).Milliseconds() }

// Time returns the instant that a number stands for.
func (c Clock) Time(millis int64) time.Time {
	return c.anchor.Add(time.Duration(millis-c.millis) * time.Millisecond)
}

// Open continues the clock that a file describes. If there is no file that was written since the machine was booted, the
// clock starts from the wall clock, and Open writes the file. The clock is usable even if Open returns an error, which
// means that the next process will start from the wall clock, too.
func Open(file string) (Clock, error) {
	clock := New()
	uptime, bootID, err := readBoot()
	if err != nil {
		return clock, err
	}
	if offset, isSame := readOffset(file, bootID); isSame {
		clock.millis = offset + uptime.Milliseconds()
		return clock, nil
	}
	return clock, clock.Save(file)
}

// Save writes the file by which a later process continues the clock.
func (c Clock) Save(file string) error {
	uptime, bootID, err := readBoot()
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "%s %d\n", bootID, c.Millis(time.Now())-uptime.Milliseconds())
	next := file + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// errNoUptime is the error on a system without the clock that Uptime reads.
var errNoUptime = errors.New("the system does not report how long ago the machine was booted")

// readBoot returns how long ago the machine was booted, and the ID of that boot.
func readBoot() (uptime time.Duration, id string, err error) {
	uptime, ok := Uptime()
	if !ok {
		return 0, "", errNoUptime
	}
	text, err := os.ReadFile(bootIDFile)
	return uptime, strings.TrimSpace(string(text)), err
}

// readOffset returns the clock's number for the time when the machine was booted, if the file was written since then.
func readOffset(file, bootID string) (offset int64, isSame bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	var id string
	if n, err := fmt.Sscanf(string(text), "%s %d\n", &id, &offset); err != nil || n != 2 {
		return 0, false
	}
	return offset, id == bootID
}

// WallStep returns by how much the wall clock has been set since an instant for which another process on this machine
// has read both the wall clock and the uptime. It returns 0 if either uptime is unknown.
func WallStep(wallThen time.Time, uptimeThen time.Duration) time.Duration {
	uptime, ok := Uptime()
	if !ok || uptimeThen <= 0 {
		return 0
	}
	return WallNow().Sub(wallThen.Round(0)) - (uptime - uptimeThen)
}
