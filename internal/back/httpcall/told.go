package httpcall

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"
)

// waitHeader is where a 429 says how long to wait, in milliseconds.
const waitHeader = "X-RateLimit-Wait-Ms"

// toldWait is the wait that the answer to a call tells. It counts from when the answer is written, and holds every other call there: so it is
// heeded as soon as its line has come, though the rest of the answer may be spoilt, late or never come.
type toldWait struct {
	tell func(time.Duration) // nil: nobody listens
	wait time.Duration
	at   time.Time // when it was read; zero: none was
	over bool      // no more is looked for in this answer
}

// look looks for it in what has come of an answer so far.
func (t *toldWait) look(record []byte) {
	if t.over || len(record) == 0 {
		return
	}
	status, head := firstLine(record)
	if status == "" {
		return
	}
	if t.over = status != "429"; t.over {
		return
	}
	for {
		line, rest, whole := bytes.Cut(head, []byte("\n"))
		if !whole {
			return
		}
		if head = rest; len(bytes.TrimSpace(line)) == 0 { // the head ends
			t.over = true
			return
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte(waitHeader)) {
			continue
		}
		t.over = true
		if wait, ok := parseWait(string(bytes.TrimSpace(value))); ok {
			if t.wait, t.at = wait, time.Now(); t.tell != nil {
				t.tell(wait)
			}
		}
		return
	}
}

// left is what is left of it.
func (t *toldWait) left() time.Duration {
	if t.at.IsZero() {
		return 0
	}
	return max(0, t.wait-time.Since(t.at))
}

// waitIn is the wait that the head of a 429 tells.
func waitIn(h http.Header) (time.Duration, bool) { return parseWait(h.Get(waitHeader)) }

func parseWait(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= 1e9) {
		return 0, false
	}
	return time.Duration(math.Ceil(ms)) * time.Millisecond, true
}
