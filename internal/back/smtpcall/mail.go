package smtpcall

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"scaleroute/internal/engine"
)

// maxFieldLine is the length at which a header field is folded: a line may have 998 bytes at most (RFC 5322, section 2.1.1).
const maxFieldLine = 900

// compose returns the mail that carries a message. The body is in base64 (RFC 2045), so that no line is too long, no byte is changed in
// transit and no line begins with a dot. The Message-ID is the same in each attempt, so that a receiver can recognise a duplicate.
func compose(a *engine.Attempt, from, to string, body []byte, now time.Time) []byte {
	_, domain, _ := strings.Cut(from, "@")
	text := make([]byte, 0, 512+len(body)*3/2)
	text = fmt.Appendf(text, "From: <%s>\r\nTo: <%s>\r\nDate: %s\r\nMessage-ID: <%s@%s>\r\nSubject: %s %s\r\n", from, to, now.Format(time.RFC1123Z), a.ID, domain, a.Class, a.ID)
	text = fmt.Appendf(text, "Req-Id: %s\r\nReq-Destination: %d\r\n", a.ID, a.Destination)
	for _, f := range a.Header {
		line := f.Name + ": " + f.Value
		for ; len(line) > maxFieldLine; line = " " + line[maxFieldLine:] {
			text = append(append(text, line[:maxFieldLine]...), "\r\n"...)
		}
		text = append(append(text, line...), "\r\n"...)
	}
	text = append(text, "MIME-Version: 1.0\r\nContent-Type: application/octet-stream\r\nContent-Transfer-Encoding: base64\r\n\r\n"...)
	const perLine = 57 // bytes that base64 encodes as 76 characters
	for len(body) > 0 {
		n := min(perLine, len(body))
		text = base64.StdEncoding.AppendEncode(text, body[:n])
		text = append(text, "\r\n"...)
		body = body[n:]
	}
	return text
}
