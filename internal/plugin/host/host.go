// Package host is the process in which a plug-in runs: it reads requests from one pipe and writes results to another, one at a
// time, until the first is closed. Whatever the code does, it can crash only this process, which the forwarder then restarts.
package host

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/pipe"
	"scaleroute/internal/plugin/script"
)

// Exit statuses.
const (
	exitPipe = 1 // the forwarder has ended, or its frames can't be read
	exitHung = 3 // a call exceeded its time limit
)

const (
	headroom    = 24 << 20 // bytes of memory for the process itself, in addition to the plug-in's limit
	niceness    = 5
	heapDivisor = 2 // the soft limit of the garbage collector is the plug-in's memory limit divided by this
)

// Serve handles requests until in is closed. It sets resource limits on the whole process, and exits the process if a call takes
// too long.
func Serve(in io.Reader, out io.Writer) error {
	c := pipe.NewConn(bufio.NewReaderSize(in, 64<<10), out)
	var start pipe.StartRequest
	if _, err := c.Receive(&start, 0); err != nil {
		return fmt.Errorf("reading the start request: %w", err)
	}
	if err := confine(start.Memory); err != nil {
		return c.Send(pipe.StartResponse{Error: fmt.Sprintf("the process can't be bounded: %v", err)}, nil)
	}
	hardLimit := time.Duration(start.HardMS * float64(time.Millisecond))
	// Compile executes the top level of the file, which could hang as well.
	watchdog := time.AfterFunc(10*time.Second, func() { os.Exit(exitHung) })
	program, err := script.Compile(start.File, start.Source)
	watchdog.Stop()
	if err != nil {
		return c.Send(pipe.StartResponse{Error: err.Error()}, nil)
	}
	if err := c.Send(pipe.StartResponse{Points: program.Points()}, nil); err != nil {
		return err
	}
	for {
		q, err := c.ReceiveRequest()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		watchdog := time.AfterFunc(hardLimit, func() { os.Exit(exitHung) })
		before := cpuTime()
		r := program.Run(q, start.Steps)
		r.CPU = (cpuTime() - before).Microseconds()
		if len(r.Body) > start.Output {
			*r = plugin.Result{Error: fmt.Sprintf("%s: a body of %d bytes; at most %d", start.File, len(r.Body), start.Output), Costly: true, CPU: r.CPU, Steps: r.Steps}
		}
		watchdog.Stop()
		if err := c.SendResult(r); err != nil {
			return err
		}
	}
}

// Main runs Serve on standard input and output, and returns the exit status.
func Main() int {
	if err := Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaleroute-plugin-host:", err)
		return exitPipe
	}
	return 0
}

// confine limits the process: memory beyond what it has allocated so far, no writing of files, and a lower CPU priority.
func confine(memory int) error {
	debug.SetMemoryLimit(int64(memory) / heapDivisor)
	debug.SetTraceback("none")
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return err
	}
	var allocated uint64
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmData:"); ok {
			kB, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return err
			}
			allocated = kB << 10
		}
	}
	maxData := allocated + uint64(memory) + headroom
	const rlimitData = 2 // RLIMIT_DATA: since Linux 4.7 it counts private writable memory; address space that is only reserved does not count
	for resource, limit := range map[int]uint64{rlimitData: maxData, syscall.RLIMIT_CORE: 0, syscall.RLIMIT_FSIZE: 0} {
		if err := syscall.Setrlimit(resource, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			return fmt.Errorf("limit %d: %w", resource, err)
		}
	}
	return syscall.Setpriority(syscall.PRIO_PROCESS, 0, niceness)
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
