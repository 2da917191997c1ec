// Package faults makes system calls of a process fail as a file says, for tests and the soak. The daemon is not built with it.
//
// The file has a fault a line, and may change at any time:
//
//	disk write=EIO sync=ENOSPC@0.5
//	accept ECONNABORTED@0.3
//	connect EADDRNOTAVAIL@0.3
//	clock +3600s
//
// A share behind @ is that of the calls that fail; without one all do.
package faults

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Short is the error name of a write of which half is carried out before the disk is full.
const Short = "short"

// DiskOperations are the operations of a file system that can fail.
var DiskOperations = []string{"write", "sync", "allocate", "rename", "remove", "open"}

// errnos are the errors that a file may name.
var errnos = map[string]syscall.Errno{
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EROFS": syscall.EROFS, Short: syscall.ENOSPC,
	"ECONNABORTED": syscall.ECONNABORTED, "EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS, "EPROTO": syscall.EPROTO,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "ETIMEDOUT": syscall.ETIMEDOUT, "EHOSTUNREACH": syscall.EHOSTUNREACH,
}

// failure is how an operation fails.
type failure struct {
	errno   syscall.Errno
	isShort bool
	share   float64
}

// state is what the file says at one time.
type state struct {
	failures map[string]failure // by operation; those of a disk as "disk write"
	clock    time.Duration
}

// Plan follows the file of one process.
type Plan struct {
	path string

	mu       sync.Mutex
	rng      *rand.Rand
	modified time.Time
	size     int64
	state    state
}

// NewPlan follows a file, which need not exist yet. The seed draws which calls fail where a share does.
func NewPlan(path string, seed uint64) *Plan {
	return &Plan{path: path, rng: rand.New(rand.NewPCG(seed, 0xfa))}
}

// current returns what the file says now. The plan is locked.
func (p *Plan) current() *state {
	info, err := os.Stat(p.path)
	if err != nil {
		p.state, p.modified = state{}, time.Time{}
		return &p.state
	}
	if info.ModTime().Equal(p.modified) && info.Size() == p.size {
		return &p.state
	}
	text, err := os.ReadFile(p.path)
	if err != nil {
		return &p.state
	}
	parsed, err := parse(string(text))
	if err != nil {
		panic(fmt.Sprintf("%s: %v", p.path, err)) // a mistake of the test's
	}
	p.state, p.modified, p.size = parsed, info.ModTime(), info.Size()
	return &p.state
}

// parse reads the text of a file.
func parse(text string) (state, error) {
	parsed := state{failures: map[string]failure{}}
	for number, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := parsed.add(words[0], words[1:]); err != nil {
			return state{}, fmt.Errorf("line %d: %w", number+1, err)
		}
	}
	return parsed, nil
}

// add adds a line of the file.
func (s *state) add(kind string, words []string) (err error) {
	for _, word := range words {
		operation, value := kind, word
		switch kind {
		case "clock":
			s.clock, err = time.ParseDuration(word)
			if err != nil {
				return err
			}
			continue
		case "disk":
			name, cause, found := strings.Cut(word, "=")
			if !found {
				return fmt.Errorf("%q: write an operation and an error, as write=EIO", word)
			}
			operation, value = "disk "+name, cause
		case "accept", "connect":
		default:
			return fmt.Errorf("%q is no kind of fault", kind)
		}
		if s.failures[operation], err = parseFailure(value); err != nil {
			return err
		}
	}
	return nil
}

func parseFailure(text string) (failure, error) {
	name, share, hasShare := strings.Cut(text, "@")
	errno, known := errnos[name]
	if !known {
		return failure{}, fmt.Errorf("%q is no error known here", name)
	}
	f := failure{errno: errno, isShort: name == Short, share: 1}
	if !hasShare {
		return f, nil
	}
	var err error
	f.share, err = strconv.ParseFloat(share, 64)
	return f, err
}

// draw returns how an operation is to fail now; ok is false if it is to be carried out.
func (p *Plan) draw(operation string) (f failure, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok = p.current().failures[operation]
	return f, ok && p.rng.Float64() < f.share
}

// Fails returns the error with which an operation is to fail now, or nil.
func (p *Plan) Fails(operation string) error {
	if f, fails := p.draw(operation); fails {
		return f.errno
	}
	return nil
}

// ClockStep is by how much the wall clock is wrong now.
func (p *Plan) ClockStep() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current().clock
}
