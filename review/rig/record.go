package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, one line an event, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %-9s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}
