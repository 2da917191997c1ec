package smtpcall

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"scaleroute/internal/engine"
)

// foldAt is where a field of the header is broken: a line has 998 bytes at most (RFC 5322, section 2.1.1).
const foldAt = 900

// compose makes the mail that carries a message: its body in base64 (RFC 2045), so that no line is too long, no byte is changed on the way and no line
// begins with a dot. Message-ID is the same at each attempt, by which a receiver can tell a repeat.
func compose(a *engine.Attempt, from, to string, body []byte, now time.Time) []byte {
	_, domain, _ := strings.Cut(from, "@")
	text := make([]byte, 0, 512+len(body)*3/2)
	text = fmt.Appendf(text, "From: <%s>\r\nTo: <%s>\r\nDate: %s\r\nMessage-ID: <%s@%s>\r\nSubject: %s %s\r\n", from, to, now.Format(time.RFC1123Z), a.ID, domain, a.Class, a.ID)
	text = fmt.Appendf(text, "Req-Id: %s\r\nReq-Destination: %d\r\n", a.ID, a.Destination)
	for _, f := range a.Header {
		line := f.Name + ": " + f.Value
		for ; len(line) > foldAt; line = " " + line[foldAt:] {
			text = append(append(text, line[:foldAt]...), "\r\n"...)
		}
		text = append(append(text, line...), "\r\n"...)
	}
	text = append(text, "MIME-Version: 1.0\r\nContent-Type: application/octet-stream\r\nContent-Transfer-Encoding: base64\r\n\r\n"...)
	const perLine = 57 // of which base64 makes 76 characters
	for len(body) > 0 {
		n := min(perLine, len(body))
		text = base64.StdEncoding.AppendEncode(text, body[:n])
		text = append(text, "\r\n"...)
		body = body[n:]
	}
	return text
}
