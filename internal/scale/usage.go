package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process uses, as the kernel counts it.
type Usage struct {
	Resident int64         `json:"resident_bytes"`
	Peak     int64         `json:"peak_bytes"`
	CPU      time.Duration `json:"cpu_ns"`
}

// usageOf reads it. Processor time is that of the threads that run, to the nanosecond.
func usageOf(pid int) (u Usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64) // not a number in other lines
		switch name {
		case "VmRSS":
			u.Resident = kilobytes << 10
		case "VmHWM":
			u.Peak = kilobytes << 10
		}
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return u, err
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ran, _ := strconv.ParseInt(first, 10, 64)
		u.CPU += time.Duration(ran)
	}
	return u, nil
}
