// Package steadyclock gives instants a number that means the same to a later process on the same machine, whatever is done to the wall
// clock meanwhile: within a process it is carried by the monotonic clock, across processes by the time since the machine's boot.
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

// WallNow reads the wall clock where it alone is to be had. Fault tests replace it.
var WallNow = time.Now

const (
	clockBoottime = 7 // CLOCK_BOOTTIME of Linux: it goes on while the machine sleeps
	bootIDFile    = "/proc/sys/kernel/random/boot_id"
)

// Uptime returns how long ago the machine was booted; ok is false where the system does not say.
func Uptime() (since time.Duration, ok bool) {
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&now)), 0)
	return time.Duration(now.Nano()), errno == 0
}

// Clock maps instants to numbers. The zero Clock is of no use: see New and Open.
type Clock struct {
	anchor time.Time // by the monotonic clock
	millis int64     // its number: what the wall clock said then, or would have said had nobody set it since
}

// New makes a clock that starts from the wall clock.
func New() Clock { return Clock{anchor: time.Now(), millis: WallNow().UnixMilli()} }

// Millis returns the number of an instant, in milliseconds.
func (c Clock) Millis(t time.Time) int64 { return c.millis + t.Sub(c.anchor).Milliseconds() }

// Time returns the instant of a number.
func (c Clock) Time(millis int64) time.Time {
	return c.anchor.Add(time.Duration(millis-c.millis) * time.Millisecond)
}

// Open goes on with the clock that a file describes. Without a file of this boot of the machine it starts from the wall clock, and the file is
// written. The clock is good whatever the error, which says that the next process will start from the wall clock, too.
func Open(file string) (Clock, error) {
	clock := New()
	uptime, bootID, err := boot()
	if err != nil {
		return clock, err
	}
	if offset, isSame := readOffset(file, bootID); isSame {
		clock.millis = offset + uptime.Milliseconds()
		return clock, nil
	}
	return clock, clock.Save(file)
}

// Save writes the file by which a later process goes on with the clock.
func (c Clock) Save(file string) error {
	uptime, bootID, err := boot()
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

// errNoUptime is the error of a system without the clock that Uptime reads.
var errNoUptime = errors.New("the machine does not say how long ago it was booted")

// boot returns how long ago the machine was booted, and the name of that boot.
func boot() (uptime time.Duration, id string, err error) {
	uptime, ok := Uptime()
	if !ok {
		return 0, "", errNoUptime
	}
	text, err := os.ReadFile(bootIDFile)
	return uptime, strings.TrimSpace(string(text)), err
}

// readOffset returns the clock's number at the boot of the machine, if a file has it for this boot.
func readOffset(file, bootID string) (millis int64, isSame bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	var id string
	if n, err := fmt.Sscanf(string(text), "%s %d\n", &id, &millis); err != nil || n != 2 {
		return 0, false
	}
	return millis, id == bootID
}

// WallStep returns by how much the wall clock was set between an instant of another process on this machine, told by both its clocks, and now.
func WallStep(wallThen time.Time, uptimeThen time.Duration) time.Duration {
	uptime, ok := Uptime()
	if !ok || uptimeThen <= 0 {
		return 0
	}
	return WallNow().Sub(wallThen.Round(0)) - (uptime - uptimeThen)
}
