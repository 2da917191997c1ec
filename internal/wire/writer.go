package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"scaleroute/internal/decide"
)

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<16)} }

// WriteAction writes one action of an instance.
func (w *Writer) WriteAction(instance string, action decide.Action) error {
	var verb string
	var parts [3][2]string
	switch a := action.(type) {
	case decide.Send:
		verb = "SEND"
		parts = [3][2]string{{"Tid", a.Message}, {"Target", a.Target}, {"MaxWait", millis(a.Timeout)}}
	case decide.Refuse:
		verb = "BOUNCE"
		parts = [3][2]string{{"Tid", a.Message}, {"Pause", millis(a.RetryAfter)}}
	case decide.Fail:
		verb = "ERROR"
		parts = [3][2]string{{"Tid", a.Message}}
	case decide.Cancel:
		verb = "CANCEL"
		parts = [3][2]string{{"Tid", a.Message}, {"Try", strconv.Itoa(a.Attempt)}}
	case decide.CloseIdle:
		verb = "CLOSE_IDLE"
		parts = [3][2]string{{"Target", a.Target}}
	case decide.Subscribe:
		verb = "LISTEN"
		parts = [3][2]string{{"On", "1"}}
	case decide.Wake:
		verb = "DEFER" // the wire counts in microseconds: not before its time
		parts = [3][2]string{{"Mark", "wake"}, {"FromNow", millis(a.After + time.Microsecond - 1)}}
	default:
		return fmt.Errorf("no way to write an action of type %T", action)
	}
	w.out.WriteString(verb)
	w.pair("ForwarderId", instance)
	for _, p := range parts {
		if p[0] != "" {
			w.pair(p[0], p[1])
		}
	}
	return w.out.WriteByte('\n')
}

// EndBatch closes the reply to a batch and flushes it.
func (w *Writer) EndBatch(turn string) error {
	fmt.Fprintf(w.out, "END turn=%s\n", turn)
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("writing the reply to batch %s: %w", turn, err)
	}
	return nil
}

func (w *Writer) pair(name, value string) {
	w.out.WriteByte(' ')
	w.out.WriteString(name)
	w.out.WriteByte('=')
	w.out.WriteString(value)
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}
