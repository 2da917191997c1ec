package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"scaleroute/internal/decide"
)

// Writer writes the replies to batches.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<16)} }

// WriteAction writes one action of a forwarder instance as a line.
func (w *Writer) WriteAction(instance string, action decide.Action) error {
	var verb string
	var pairs [3][2]string
	switch a := action.(type) {
	case decide.Send:
		verb = "SEND"
		pairs = [3][2]string{{"Tid", a.Message}, {"Target", a.Target}, {"MaxWait", formatMillis(a.Timeout)}}
	case decide.Refuse:
		verb = "BOUNCE"
		pairs = [3][2]string{{"Tid", a.Message}, {"Pause", formatMillis(a.RetryAfter)}}
	case decide.Fail:
		verb = "ERROR"
		pairs = [3][2]string{{"Tid", a.Message}}
	case decide.Cancel:
		verb = "CANCEL"
		pairs = [3][2]string{{"Tid", a.Message}, {"Try", strconv.Itoa(a.Attempt)}}
	case decide.CloseIdle:
		verb = "CLOSE_IDLE"
		pairs = [3][2]string{{"Target", a.Target}}
	case decide.Subscribe:
		verb = "LISTEN"
		pairs = [3][2]string{{"On", "1"}}
	case decide.Wake:
		verb = "DEFER" // rounded up to whole microseconds, so that the forwarder does not wake early
		pairs = [3][2]string{{"Mark", "wake"}, {"FromNow", formatMillis(a.After + time.Microsecond - 1)}}
	default:
		return fmt.Errorf("the protocol has no line for an action of type %T", action)
	}
	w.out.WriteString(verb)
	w.pair("ForwarderId", instance)
	for _, p := range pairs {
		if p[0] != "" {
			w.pair(p[0], p[1])
		}
	}
	return w.out.WriteByte('\n')
}

// EndBatch writes the last line of the reply to a batch and flushes the reply.
func (w *Writer) EndBatch(turn string) error {
	fmt.Fprintf(w.out, "END turn=%s\n", turn)
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("writing the reply to batch %s: %w", turn, err)
	}
	return nil
}

// pair writes a space and name=value.
func (w *Writer) pair(name, value string) {
	w.out.WriteByte(' ')
	w.out.WriteString(name)
	w.out.WriteByte('=')
	w.out.WriteString(value)
}

// formatMillis formats a duration as milliseconds with up to three decimals.
func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}
