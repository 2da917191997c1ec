// Package steplog writes what passes between an engine and its decision module as lines of text, and counts over the
// logs of a whole fleet: what is harmless in one forwarder shows only there.
//
// A line is [Mark], a word and key=value pairs. Whatever stands before the mark in a log (the time, most likely, as
// seconds) is its time where it is a number.
package steplog

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"scaleroute/internal/decide"
)

// Mark stands before each line's own text.
const Mark = "step:"

// Writer writes the lines. It may be used by one goroutine at a time.
type Writer struct {
	out   *bufio.Writer
	dests map[string]int // of each target that a list has named
	msgs  map[string]*told
	begun bool
}

// told is what is known of a message that is held.
type told struct{ dest, tries int }

// NewWriter makes a Writer. What can't be written is lost: a log must not stop what it is of.
func NewWriter(to io.Writer) *Writer {
	return &Writer{out: bufio.NewWriter(to), dests: map[string]int{}, msgs: map[string]*told{}}
}

// Step writes what was told to a module and what it decided.
func (w *Writer) Step(now time.Duration, events []decide.Event, actions []decide.Action) {
	if !w.begun {
		w.begun = true
		w.line("start", "at=%d", now.Milliseconds())
	}
	for _, e := range events {
		switch e := e.(type) {
		case decide.TargetList:
			for _, t := range e.Targets {
				w.dests[t.ID] = t.Destination
			}
			w.line("list", "scope=%d n=%d", e.Scope, len(e.Targets))
		case decide.Message:
			w.msgs[e.ID] = &told{e.Destination, e.Attempts}
			w.line("take", "dest=%d class=%q id=%q left=%d recovered=%t attempts=%d open=%t ran=%t", e.Destination, e.Class, e.ID, e.TimeLeft.Milliseconds(), e.Recovered,
				e.Attempts, e.HasOpenAttempt, e.MayHaveRun)
		case decide.Outcome:
			w.line("outcome", "dest=%d target=%q id=%q result=%s took=%d wait=%d left=%.2f rate=%.2f", w.dests[e.Target], e.Target, e.Message,
				resultName(e.Result), e.Latency.Milliseconds(), e.RetryAfter.Milliseconds(), e.Allowance.Remaining, e.Allowance.Rate)
			if e.NoAnswerNeeded {
				delete(w.msgs, e.Message)
			}
		case decide.Withdrawn:
			w.line("withdrawn", "id=%q", e.Message)
			delete(w.msgs, e.Message)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Send:
			try := 0
			if m := w.msgs[a.Message]; m != nil {
				try = m.tries
				m.tries++
			}
			w.line("send", "dest=%d target=%q id=%q try=%d timeout=%d", w.dests[a.Target], a.Target, a.Message, try, a.Timeout.Milliseconds())
		case decide.Refuse:
			w.end("refuse", a.Message, a.RetryAfter)
		case decide.Fail:
			w.end("fail", a.Message, 0)
		case decide.CloseIdle:
			w.line("close", "dest=%d target=%q", w.dests[a.Target], a.Target)
		}
	}
	w.out.Flush()
}

func (w *Writer) end(how, id string, wait time.Duration) {
	dest := -1
	if m := w.msgs[id]; m != nil {
		dest = m.dest
		delete(w.msgs, id)
	}
	w.line(how, "dest=%d id=%q wait=%d", dest, id, wait.Milliseconds())
}

func (w *Writer) line(word, format string, args ...any) {
	fmt.Fprintf(w.out, "%s %s ", Mark, word)
	fmt.Fprintf(w.out, format+"\n", args...)
}

var resultNames = [...]string{decide.Succeeded: "done", decide.Errored: "errored", decide.Overloaded: "full", decide.TimedOut: "timedout",
	decide.ConnectFailed: "connect", decide.Reset: "reset", decide.Cancelled: "cancelled", decide.NotSent: "notsent", decide.Rejected: "rejected"}

func resultName(r decide.Result) string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return fmt.Sprintf("result-%d", r)
}
