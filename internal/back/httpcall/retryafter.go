package httpcall

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"
)

// retryAfterHeader is the header of a 429 that holds the retry-after time in milliseconds.
const retryAfterHeader = "X-RateLimit-Wait-Ms"

// retryAfterParser finds the retry-after time in the response to a call while the response is still being received. The time runs from when
// the endpoint wrote the response and applies to all calls there, so it is reported as soon as its header line is complete, although the rest
// of the response may be malformed, late or never come.
type retryAfterParser struct {
	notify     func(time.Duration) // called with the time; may be nil
	delay      time.Duration
	receivedAt time.Time // when the delay was read; zero: no delay yet
	done       bool      // the rest of this response is not searched
}

// parse looks for the retry-after time in the bytes received of a response so far.
func (p *retryAfterParser) parse(received []byte) {
	if p.done || len(received) == 0 {
		return
	}
	status, header := parseStatusLine(received)
	if status == "" {
		return
	}
	if p.done = status != "429"; p.done {
		return
	}
	for {
		line, rest, complete := bytes.Cut(header, []byte("\n"))
		if !complete {
			return
		}
		if header = rest; len(bytes.TrimSpace(line)) == 0 { // end of the header
			p.done = true
			return
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte(retryAfterHeader)) {
			continue
		}
		p.done = true
		if delay, ok := parseRetryAfter(string(bytes.TrimSpace(value))); ok {
			if p.delay, p.receivedAt = delay, time.Now(); p.notify != nil {
				p.notify(delay)
			}
		}
		return
	}
}

// remaining returns how much of the retry-after time is left, or 0.
func (p *retryAfterParser) remaining() time.Duration {
	if p.receivedAt.IsZero() {
		return 0
	}
	return max(0, p.delay-time.Since(p.receivedAt))
}

// retryAfterOf returns the retry-after time in the header of a 429.
func retryAfterOf(h http.Header) (time.Duration, bool) {
	return parseRetryAfter(h.Get(retryAfterHeader))
}

func parseRetryAfter(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= 1e9) {
		return 0, false
	}
	return time.Duration(math.Ceil(ms)) * time.Millisecond, true
}
