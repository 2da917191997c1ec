// Package host is the process in which a plug-in runs: it reads questions from one pipe and writes answers to another, one at a
// time, until the first is closed. Whatever the code does, it can end no other process than this one, which the forwarder
// starts anew.
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
	exitPipe = 1 // the forwarder is gone, or what it wrote can't be read
	exitHung = 3 // a call took too long
)

const (
	headroom  = 24 << 20 // bytes of memory beside what a plug-in may use
	niceness  = 5
	heapShare = 2 // the collector works harder from this part of the memory on
)

// Serve serves until in is closed. It bounds its whole process, and ends it if a call takes too long.
func Serve(in io.Reader, out io.Writer) error {
	c := pipe.NewConn(bufio.NewReaderSize(in, 64<<10), out)
	var start pipe.StartRequest
	if _, err := c.Receive(&start, 0); err != nil {
		return fmt.Errorf("reading what to run: %w", err)
	}
	if err := confine(start.Memory); err != nil {
		return c.Send(pipe.StartResponse{Error: fmt.Sprintf("the process can't be bounded: %v", err)}, nil)
	}
	hard := time.Duration(start.HardMS * float64(time.Millisecond))
	// Compiling runs the top level, which could hang as well.
	watch := time.AfterFunc(10*time.Second, func() { os.Exit(exitHung) })
	program, err := script.Compile(start.File, start.Source)
	watch.Stop()
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
		watch := time.AfterFunc(hard, func() { os.Exit(exitHung) })
		before := cpu()
		r := program.Run(q, start.Steps)
		r.CPU = (cpu() - before).Microseconds()
		if len(r.Body) > start.Output {
			*r = plugin.Result{Error: fmt.Sprintf("%s: a body of %d bytes; at most %d", start.File, len(r.Body), start.Output), Costly: true, CPU: r.CPU, Steps: r.Steps}
		}
		watch.Stop()
		if err := c.SendResult(r); err != nil {
			return err
		}
	}
}

// Main serves on standard input and output, and returns the exit status.
func Main() int {
	if err := Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "scaleroute-plugin-host:", err)
		return exitPipe
	}
	return 0
}

// confine bounds what the process may take: memory beyond what it has now, no files, and the processor behind others.
func confine(memory int) error {
	debug.SetMemoryLimit(int64(memory) / heapShare)
	debug.SetTraceback("none")
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return err
	}
	var has uint64
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmData:"); ok {
			kB, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return err
			}
			has = kB << 10
		}
	}
	most := has + uint64(memory) + headroom
	const rlimitData = 2 // RLIMIT_DATA: private writable memory, since Linux 4.7; address space that is only reserved is no matter
	for what, most := range map[int]uint64{rlimitData: most, syscall.RLIMIT_CORE: 0, syscall.RLIMIT_FSIZE: 0} {
		if err := syscall.Setrlimit(what, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
			return fmt.Errorf("limit %d: %w", what, err)
		}
	}
	return syscall.Setpriority(syscall.PRIO_PROCESS, 0, niceness)
}

// cpu is what the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
