// Package steplog writes the events and actions that an engine and its decision module exchange as lines of text (the
// step log), and counts them over the logs of a whole fleet, where effects show that are harmless in a single forwarder.
//
// A line is [Mark], a word and key=value pairs. If the text before the mark begins with a number, as in a log with
// timestamps in seconds, that number is the line's time.
package steplog

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"scaleroute/internal/decide"
)

// Mark precedes the text of each line.
const Mark = "step:"

// Writer writes a step log. It must not be used by several goroutines at a time.
type Writer struct {
	out          *bufio.Writer
	destinations map[string]int // by endpoint, for all endpoints of the lists so far
	messages     map[string]*messageState
	started      bool // the start line has been written
}

// messageState is what the Writer knows about a queued message.
type messageState struct{ destination, attempts int }

// NewWriter returns a Writer. Lines that can't be written are lost, since a failing log must not stop the forwarder.
func NewWriter(to io.Writer) *Writer {
	return &Writer{out: bufio.NewWriter(to), destinations: map[string]int{}, messages: map[string]*messageState{}}
}

// Step writes the events that the decision module received in one step and the actions that it returned.
func (w *Writer) Step(now time.Duration, events []decide.Event, actions []decide.Action) {
	if !w.started {
		w.started = true
		w.writeLine("start", "at=%d", now.Milliseconds())
	}
	for _, e := range events {
		switch e := e.(type) {
		case decide.TargetList:
			for _, t := range e.Targets {
				w.destinations[t.ID] = t.Destination
			}
			w.writeLine("list", "scope=%d n=%d", e.Scope, len(e.Targets))
		case decide.Message:
			w.messages[e.ID] = &messageState{e.Destination, e.Attempts}
			w.writeLine("take", "dest=%d class=%q id=%q left=%d recovered=%t attempts=%d open=%t ran=%t", e.Destination, e.Class, e.ID, e.TimeLeft.Milliseconds(), e.Recovered,
				e.Attempts, e.HasOpenAttempt, e.MayHaveRun)
		case decide.Outcome:
			w.writeLine("outcome", "dest=%d target=%q id=%q result=%s took=%d wait=%d left=%.2f rate=%.2f", w.destinations[e.Target], e.Target, e.Message,
				resultName(e.Result), e.Latency.Milliseconds(), e.RetryAfter.Milliseconds(), e.Allowance.Remaining, e.Allowance.Rate)
			if e.NoAnswerNeeded {
				delete(w.messages, e.Message)
			}
		case decide.Withdrawn:
			w.writeLine("withdrawn", "id=%q", e.Message)
			delete(w.messages, e.Message)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Send:
			attempt := 0
			if m := w.messages[a.Message]; m != nil {
				attempt = m.attempts
				m.attempts++
			}
			w.writeLine("send", "dest=%d target=%q id=%q try=%d timeout=%d", w.destinations[a.Target], a.Target, a.Message, attempt, a.Timeout.Milliseconds())
		case decide.Refuse:
			w.writeCompletion("refuse", a.Message, a.RetryAfter)
		case decide.Fail:
			w.writeCompletion("fail", a.Message, 0)
		case decide.CloseIdle:
			w.writeLine("close", "dest=%d target=%q", w.destinations[a.Target], a.Target)
		}
	}
	w.out.Flush()
}

// writeCompletion writes the line of a message that was refused or has failed, and forgets the message.
func (w *Writer) writeCompletion(word, id string, wait time.Duration) {
	destination := -1
	if m := w.messages[id]; m != nil {
		destination = m.destination
		delete(w.messages, id)
	}
	w.writeLine(word, "dest=%d id=%q wait=%d", destination, id, wait.Milliseconds())
}

// writeLine writes the mark, a word and the formatted key=value pairs.
func (w *Writer) writeLine(word, format string, args ...any) {
	fmt.Fprintf(w.out, "%s %s ", Mark, word)
	fmt.Fprintf(w.out, format+"\n", args...)
}

// resultNames are the words for results. They are part of the format.
var resultNames = [...]string{decide.Succeeded: "done", decide.Errored: "errored", decide.Overloaded: "full", decide.TimedOut: "timedout",
	decide.ConnectFailed: "connect", decide.Reset: "reset", decide.Cancelled: "cancelled", decide.NotSent: "notsent", decide.Rejected: "rejected"}

func resultName(r decide.Result) string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return fmt.Sprintf("result-%d", r)
}
