package smtpcall

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"scaleroute/internal/decide"
)

// Bounds of a reply (RFC 5321, section 4.5.3.1.5 asks for lines of 512 bytes).
const (
	mostLine  = 2048
	mostLines = 100
)

// reply is what a server said to one command.
type reply struct {
	code  int
	lines []string // what stands behind the code
}

// replyError says what was wrong with one; the connection is of no use any more. Its first line may have been whole.
type replyError struct {
	first int // the code of the first line, if that was whole
	err   error
}

func (e *replyError) Error() string { return e.err.Error() }
func (e *replyError) Unwrap() error { return e.err }

var errNoReply = errors.New("no SMTP reply")

// readReply reads one reply of one or more lines. Bounded in lines and their length, in time by the connection's deadline.
func readReply(r *bufio.Reader) (*reply, error) {
	p := &reply{}
	for n := 0; ; n++ {
		if n == mostLines {
			return nil, &replyError{p.code, fmt.Errorf("%w: more than %d lines", errNoReply, mostLines)}
		}
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, &replyError{p.code, err}
		}
		code, last, text, ok := parseLine(string(line))
		if !ok || n > 0 && code != p.code {
			return nil, &replyError{p.code, fmt.Errorf("%w: %.80q", errNoReply, line)}
		}
		p.code = code
		p.lines = append(p.lines, text)
		if last {
			return p, nil
		}
	}
}

// parseLine reads a line of a reply (RFC 5321, section 4.2). A line feed alone ends it, too: Postfix and others take that.
func parseLine(line string) (code int, last bool, text string, ok bool) {
	line, whole := strings.CutSuffix(line, "\n")
	line = strings.TrimSuffix(line, "\r")
	if !whole || len(line) < 3 || line[0] < '2' || line[0] > '5' || line[1] < '0' || line[1] > '9' || line[2] < '0' || line[2] > '9' {
		return 0, false, "", false
	}
	code = int(line[0]-'0')*100 + int(line[1]-'0')*10 + int(line[2]-'0')
	switch {
	case len(line) == 3: // without text
		return code, true, "", true
	case line[3] == ' ', line[3] == '-':
		return code, line[3] == ' ', line[4:], true
	}
	return 0, false, "", false
}

// stage is how far a transaction has come when a reply is due.
type stage int

const (
	greeting stage = iota
	hello
	mail
	rcpt
	data
	dot // the last byte of the message has been written
)

// meaning is the table of what a reply says, as docs/smtp.md has it. ok: the transaction goes on, or at the dot the message is delivered.
func meaning(s stage, code int) (result decide.Result, ok bool) {
	class := code / 100
	switch {
	case s == dot && class == 2:
		return decide.Succeeded, true
	case s == data && code == 354, s < data && class == 2:
		return decide.Succeeded, true
	case class == 4: // not now: the message was not taken (RFC 5321, section 4.2.1)
		return decide.Overloaded, false
	case class == 5 && s >= mail: // not this message, ever
		return decide.Rejected, false
	case class == 5: // the server serves nobody, or not us
		return decide.Overloaded, false
	case s == dot: // 3xx: what it did is not known
		return decide.Errored, false
	}
	return decide.ConnectFailed, false // noise before the message: it never ran
}
