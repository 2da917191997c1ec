package smtpcall

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"scaleroute/internal/decide"
)

// Limits for a reply. RFC 5321, section 4.5.3.1.5, limits a line to 512 bytes.
const (
	maxLineBytes  = 2048
	maxReplyLines = 100
)

// reply is a server's reply to one command.
type reply struct {
	code  int
	lines []string // the text after the code
}

// replyError describes a malformed or incomplete reply, after which the connection can't be used. The first line of the reply may have
// been valid.
type replyError struct {
	firstCode int // the code of the first line, or 0 if that line was invalid
	err       error
}

func (e *replyError) Error() string { return e.err.Error() }
func (e *replyError) Unwrap() error { return e.err }

var errInvalidReply = errors.New("invalid SMTP reply")

// readReply reads one reply of one or more lines. The number of lines and their length are limited; the connection's deadline limits the time.
func readReply(r *bufio.Reader) (*reply, error) {
	parsed := &reply{}
	for n := 0; ; n++ {
		if n == maxReplyLines {
			return nil, &replyError{parsed.code, fmt.Errorf("%w: more than %d lines", errInvalidReply, maxReplyLines)}
		}
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, &replyError{parsed.code, err}
		}
		code, last, text, ok := parseLine(string(line))
		if !ok || n > 0 && code != parsed.code {
			return nil, &replyError{parsed.code, fmt.Errorf("%w: %.80q", errInvalidReply, line)}
		}
		parsed.code = code
		parsed.lines = append(parsed.lines, text)
		if last {
			return parsed, nil
		}
	}
}

// parseLine parses a line of a reply (RFC 5321, section 4.2). A line feed alone ends a line, too, as Postfix and others accept that.
func parseLine(line string) (code int, last bool, text string, ok bool) {
	line, complete := strings.CutSuffix(line, "\n")
	line = strings.TrimSuffix(line, "\r")
	if !complete || len(line) < 3 || line[0] < '2' || line[0] > '5' || line[1] < '0' || line[1] > '9' || line[2] < '0' || line[2] > '9' {
		return 0, false, "", false
	}
	code = int(line[0]-'0')*100 + int(line[1]-'0')*10 + int(line[2]-'0')
	switch {
	case len(line) == 3: // no text
		return code, true, "", true
	case line[3] == ' ', line[3] == '-':
		return code, line[3] == ' ', line[4:], true
	}
	return 0, false, "", false
}

// stage is the part of a transaction to which a reply belongs.
type stage int

const (
	stageGreeting stage = iota
	stageHello
	stageMail
	stageRcpt
	stageData
	stageDot // the final dot after the message
)

// classifyReply returns the result of a reply at a stage, by the table in docs/smtp.md. ok means that the transaction continues or, at the
// dot, that the message is delivered.
func classifyReply(s stage, code int) (result decide.Result, ok bool) {
	class := code / 100
	switch {
	case s == stageDot && class == 2:
		return decide.Succeeded, true
	case s == stageData && code == 354, s < stageData && class == 2:
		return decide.Succeeded, true
	case class == 4: // a transient failure: the message was not accepted (RFC 5321, section 4.2.1)
		return decide.Overloaded, false
	case class == 5 && s >= stageMail: // a permanent failure of this message
		return decide.Rejected, false
	case class == 5: // the server accepts no mail, or none from this host
		return decide.Overloaded, false
	case s == stageDot: // 3xx: the message may have been delivered
		return decide.Errored, false
	}
	return decide.ConnectFailed, false // an unexpected code before the final dot: the message was not delivered
}
