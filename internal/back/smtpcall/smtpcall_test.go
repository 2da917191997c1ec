package smtpcall

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
	"scaleroute/internal/standin"
)

// startServer starts a fake mail server and returns it with a Back whose endpoint "m" it is.
func startServer(t *testing.T, protocol string, offer []string, script standin.MailScript) (*standin.Mail, *Back) {
	t.Helper()
	m, err := standin.NewMail(offer, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	b := New(Config{Hostname: "forwarder.test", MaxIdle: 4, IdleTimeout: time.Minute, ConnectTimeout: time.Second})
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Address: engine.MailAddress{LMTP: protocol == engine.LMTP, HostPort: m.Address(), From: "petitions@a.test", To: "office@b.test"}.String(), Target: decide.Target{ID: "m"}}}})
	t.Cleanup(func() { b.Endpoint("m").CloseIdle() })
	return m, b
}

func send(b *Back, id, body string, timeout time.Duration) decide.Outcome {
	return b.Endpoint("m").Call(context.Background(), engine.Attempt{ID: id, Class: "note", Destination: 7, Body: message.Bytes(body), Timeout: timeout,
		Header: []message.Field{{Name: "X-Long", Value: strings.Repeat("v", 1000)}}})
}

// TestReplyOutcomes runs every kind of server behaviour at every stage, by SMTP and LMTP, with and without pipelining. The expected outcome
// is derived independently of the code, from the stage and the behaviour alone. Whatever it is, the next message must be delivered.
func TestReplyOutcomes(t *testing.T) {
	type behaviour struct {
		name string
		do   standin.MailDo
	}
	behaviours := []behaviour{
		{"2xx", standin.MailDo{Say: "250 fine\r\n", Ran: true}}, {"2xx without text", standin.MailDo{Say: "250\r\n", Ran: true}},
		{"2xx in several lines", standin.MailDo{Say: "250-a\r\n250-b\r\n250 c\r\n", Ran: true}}, {"2xx cut after its first line", standin.MailDo{Say: "250-a\r\n25", Drop: true, Ran: true}},
		{"2xx cut in its first line", standin.MailDo{Say: "250", Drop: true, Ran: true}}, {"354", standin.MailDo{Say: "354 go on\r\n"}},
		{"4xx", standin.MailDo{Say: "451 4.7.1 later\r\n"}}, {"421", standin.MailDo{Say: "421 closing\r\n", Drop: true}}, {"452", standin.MailDo{Say: "452 too many\r\n"}},
		{"5xx", standin.MailDo{Say: "550 5.1.1 never\r\n"}}, {"552", standin.MailDo{Say: "552 too large\r\n"}}, {"554", standin.MailDo{Say: "554 no\r\n"}},
		{"different codes", standin.MailDo{Say: "450-a\r\n550 b\r\n"}}, {"noise", standin.MailDo{Say: "HTTP/1.1 200 OK\r\n"}}, {"a line too long", standin.MailDo{Say: "250 " + strings.Repeat("x", 3000) + "\r\n"}},
		{"too many lines", standin.MailDo{Say: strings.Repeat("450-x\r\n", 200) + "450 x\r\n"}}, {"dropped", standin.MailDo{Drop: true}}, {"silent", standin.MailDo{Silent: true}},
	}
	// want implements the table in docs/smtp.md independently of classifyReply.
	want := func(s standin.MailStage, name string) decide.Result {
		two, four, five := strings.HasPrefix(name, "2xx") && !strings.Contains(name, "cut"), strings.HasPrefix(name, "4"), strings.HasPrefix(name, "5")
		switch {
		case s == standin.MailDot && (two || name == "2xx cut after its first line"):
			return decide.Succeeded
		case s == standin.MailDot && name == "2xx cut in its first line":
			return decide.Reset
		case s == standin.MailData && name == "354", s != standin.MailDot && s != standin.MailData && two:
			return decide.Succeeded // the transaction continues
		case four:
			return decide.Overloaded
		case five && s != standin.MailGreeting && s != standin.MailHello:
			return decide.Rejected
		case five:
			return decide.Overloaded
		case s == standin.MailDot && name == "dropped":
			return decide.Reset
		case s == standin.MailDot && name == "silent":
			return decide.TimedOut
		case s == standin.MailDot:
			return decide.Errored
		}
		return decide.ConnectFailed
	}
	n := 0
	for _, protocol := range []string{engine.SMTP, engine.LMTP} {
		for _, offer := range [][]string{nil, {"PIPELINING", "SIZE 100000", "8BITMIME"}} {
			for _, s := range []standin.MailStage{standin.MailGreeting, standin.MailHello, standin.MailFrom, standin.MailTo, standin.MailData, standin.MailDot} {
				for _, d := range behaviours {
					name := fmt.Sprint(protocol, " ", len(offer), " ", s, " ", d.name)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						var normal atomic.Bool
						m, b := startServer(t, protocol, offer, func(stage standin.MailStage, id string) *standin.MailDo {
							if stage != s || normal.Load() || id == "HELO" {
								return nil
							}
							return &d.do
						})
						expected := want(s, d.name)
						if s == standin.MailHello && strings.HasPrefix(d.name, "5") && d.name != "554" && protocol == engine.SMTP {
							expected = decide.Succeeded // the client falls back to HELO, which succeeds
						}
						timeout := 5 * time.Second
						if d.do.Silent || s == standin.MailDot && d.name == "354" || d.name == "2xx" {
							timeout = 300 * time.Millisecond
						}
						o := send(b, "one", "body", timeout)
						if o.Result != expected || o.NoAnswerNeeded != (expected == decide.Succeeded) {
							t.Fatalf("%+v, want result %d", o, expected)
						}
						ran, _ := m.Ran("one")
						if neverRan := o.Result == decide.Overloaded || o.Result == decide.Rejected || o.Result == decide.ConnectFailed; neverRan && ran > 0 {
							t.Error("the outcome says that the message was not delivered, but it was")
						}
						if expected == decide.Succeeded && ran != 1 {
							t.Errorf("delivered %d times", ran)
						}
						normal.Store(true)
						if o := send(b, "two", "next", 5*time.Second); o.Result != decide.Succeeded {
							t.Errorf("the next message: %+v", o)
						}
						if ran, body := m.Ran("two"); ran != 1 || body != "next" {
							t.Errorf("the next message was delivered %d times, with the body %q", ran, body)
						}
					})
					n++
				}
			}
		}
	}
	t.Logf("%d conversations", n)
}

// TestConnectionCutInBody checks that a message is not delivered if the connection ends anywhere before the final dot, and that bodies of
// various lengths arrive unchanged. It also covers reuse of connections, a dead idle connection and a call that is cancelled early.
func TestConnectionCutInBody(t *testing.T) {
	var cut atomic.Pointer[standin.MailDo]
	m, b := startServer(t, engine.SMTP, nil, func(s standin.MailStage, _ string) *standin.MailDo {
		if s == standin.MailBody {
			return cut.Load()
		}
		return nil
	})
	for n, body := range []string{"", ".", "..\r\n.\r\n", "\x00\xff", strings.Repeat("x", 56), strings.Repeat("y", 57), strings.Repeat("z", 64<<10)} {
		cut.Store(&standin.MailDo{After: 100 * n, Drop: true})
		id := fmt.Sprint("cut", n)
		if o := send(b, id, strings.Repeat("w", 3000), time.Second); o.Result != decide.ConnectFailed && o.Result != decide.Reset && o.Result != decide.Errored {
			t.Errorf("%d: %+v", n, o)
		}
		if ran, _ := m.Ran(id); ran > 0 {
			t.Errorf("%d: an incomplete message was delivered", n)
		}
		cut.Store(nil)
		id = fmt.Sprint("whole", n)
		if o := send(b, id, body, time.Second); o.Result != decide.Succeeded {
			t.Errorf("%d: %+v", n, o)
		}
		if ran, got := m.Ran(id); ran != 1 || got != body {
			t.Errorf("%d: delivered %d times, %d bytes of %d", n, ran, len(got), len(body))
		}
	}
	if o := send(b, "idle", "x", time.Second); o.Result != decide.Succeeded {
		t.Fatal(o)
	}
	before := m.Connections()
	for n := range 20 {
		if o := send(b, fmt.Sprint("more", n), "x", time.Second); o.Result != decide.Succeeded {
			t.Fatal(o)
		}
	}
	if m.Connections() != before {
		t.Errorf("%d new connections for 20 messages", m.Connections()-before)
	}
	m.Drop() // a dead idle connection must not fail the next message
	if o := send(b, "dead", "x", time.Second); o.Result != decide.Succeeded {
		t.Errorf("on a dead connection: %+v", o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if o := b.Endpoint("m").Call(ctx, engine.Attempt{ID: "off", Body: message.Bytes("x"), Timeout: time.Second}); o.Result != decide.NotSent {
		t.Errorf("cancelled before it began: %+v", o)
	}
}

// TestRepeatedReplies guards against a second copy of a reply that is taken for the reply to a later command: for that to the final dot, so that a message
// which the server rejects counts as delivered.
func TestRepeatedReplies(t *testing.T) {
	for _, offer := range [][]string{nil, {"PIPELINING"}} {
		var rejects atomic.Bool
		m, b := startServer(t, engine.SMTP, offer, func(stage standin.MailStage, _ string) *standin.MailDo {
			if stage == standin.MailDot && rejects.Load() {
				return &standin.MailDo{Say: "550 never\r\n"}
			}
			return nil
		})
		repeat := func() { m.Interject("250 2.1.5 ok\r\n") }
		if o := send(b, "first", "x", time.Second); o.Result != decide.Succeeded {
			t.Fatalf("%+v", o)
		}
		repeat()
		if o := send(b, "idle", "x", time.Second); o.Result != decide.Succeeded || m.Connections() != 2 {
			t.Errorf("%v, after a copy on the idle connection: %+v, %d connections", offer, o, m.Connections())
		}
		rejects.Store(true)
		o := b.Endpoint("m").Call(t.Context(), engine.Attempt{ID: "rejected", Body: message.Bytes("x"), Timeout: time.Second, RecordSending: func(context.Context) bool {
			repeat() // the server waits for the message
			return true
		}})
		if ran, _ := m.Ran("rejected"); o.Result != decide.ConnectFailed || ran != 0 {
			t.Errorf("%v, after a copy before the message: %+v, delivered %d times", offer, o, ran)
		}
		rejects.Store(false)
		if o := send(b, "next", "x", time.Second); o.Result != decide.Succeeded {
			t.Errorf("%v, the next message: %+v", offer, o)
		}
	}
}

// TestSizeLimit checks that no transaction begins for a message larger than the server's announced SIZE.
func TestSizeLimit(t *testing.T) {
	m, b := startServer(t, engine.SMTP, []string{"SIZE 5000"}, nil)
	if o := send(b, "large", strings.Repeat("x", 5000), time.Second); o.Result != decide.Rejected {
		t.Errorf("%+v", o)
	}
	if o := send(b, "small", "x", time.Second); o.Result != decide.Succeeded || m.Connections() != 1 {
		t.Errorf("%+v, %d connections", o, m.Connections())
	}
}

// FuzzReply checks that reading a reply ends within its limits, whatever the server sends, and that a reply that is read has one meaning.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"250 ok\r\n", "250-a\r\n250 b\n", "25", "999 x\r\n", "250-a\r\n550 b\r\n", "354", "\r\n", "421\r\n", "2500\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := readReply(bufio.NewReaderSize(strings.NewReader(string(text)), maxLineBytes))
		if err != nil {
			return
		}
		if p.code < 200 || p.code > 599 || len(p.lines) == 0 || len(p.lines) > maxReplyLines || !strings.HasPrefix(string(text), fmt.Sprint(p.code)) {
			t.Errorf("%q read as %+v", text, p)
		}
		for s := stageGreeting; s <= stageDot; s++ {
			if result, ok := classifyReply(s, p.code); ok != (result == decide.Succeeded) {
				t.Errorf("%d at %d: %v %v", p.code, s, result, ok)
			}
		}
	})
}
