package standin

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// MailStage is a place in a mail conversation where a stand-in server may do otherwise than usual.
type MailStage string

// The stages.
const (
	MailGreeting MailStage = "greeting"
	MailHello    MailStage = "hello"
	MailFrom     MailStage = "from"
	MailTo       MailStage = "to"
	MailData     MailStage = "data"
	MailBody     MailStage = "body" // while the message comes: after so many bytes of it
	MailDot      MailStage = "dot"  // the message has come to its end
	MailReset    MailStage = "reset"
)

// MailDo is what a server does at a stage: say something, in place of what it would say, and then go on or drop the connection.
type MailDo struct {
	Say    string // as it stands; empty: nothing
	Drop   bool   // end the connection
	Silent bool   // say nothing, and go on
	Ran    bool   // at the dot: the message has taken effect
	After  int    // with MailBody: bytes of the message that are read before
}

// MailScript says what a server does at a stage; nil is the usual. The id is known at the dot.
type MailScript func(stage MailStage, id string) *MailDo

// Mail is a mail server on a loopback address.
type Mail struct {
	offer []string // extensions, in answer to EHLO and LHLO
	ask   MailScript

	ln       net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	ran      map[string]int    // how often each message took effect, by Req-Id
	bodies   map[string]string // what it held
}

// NewMail starts one that offers these extensions and does as a script says; nil takes every message.
func NewMail(offer []string, script MailScript) (*Mail, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Mail{offer: offer, ask: script, ln: ln, conns: map[net.Conn]bool{}, ran: map[string]int{}, bodies: map[string]string{}}
	m.wg.Go(m.serve)
	return m, nil
}

// Address is where it listens.
func (m *Mail) Address() string { return m.ln.Addr().String() }

// Close ends it and its connections.
func (m *Mail) Close() {
	m.ln.Close()
	m.Drop()
	m.wg.Wait()
}

// Drop ends all connections.
func (m *Mail) Drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.Close()
	}
}

// Interject writes a text to all connections, whatever stage they are at.
func (m *Mail) Interject(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		fmt.Fprint(c, text) // one that ends meanwhile has nobody to read it
	}
}

// Ran is how often a message took effect, and what it held.
func (m *Mail) Ran(id string) (times int, body string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[id], m.bodies[id]
}

// Connections is how many there have been.
func (m *Mail) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted
}

func (m *Mail) serve() {
	for {
		c, err := m.ln.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns[c] = true
		m.accepted++
		m.mu.Unlock()
		m.wg.Go(func() {
			m.converse(c)
			c.Close()
			m.mu.Lock()
			delete(m.conns, c)
			m.mu.Unlock()
		})
	}
}

// at does what the script says at a stage, or says what is usual there. It returns false if the connection ends.
func (m *Mail) at(c net.Conn, s MailStage, id, usual string) bool {
	do := m.script(s, id)
	if do == nil {
		_, err := fmt.Fprint(c, usual)
		return err == nil
	}
	if !do.Silent {
		if _, err := fmt.Fprint(c, do.Say); err != nil {
			return false
		}
	}
	return !do.Drop
}

func (m *Mail) script(s MailStage, id string) *MailDo {
	if m.ask == nil {
		return nil
	}
	return m.ask(s, id)
}

func (m *Mail) converse(c net.Conn) {
	c.SetDeadline(time.Now().Add(2 * time.Minute))
	r := bufio.NewReader(c)
	if !m.at(c, MailGreeting, "", "220 stand-in\r\n") {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		on := true
		switch word := strings.ToUpper(strings.TrimSpace(line)); {
		case strings.HasPrefix(word, "EHLO"), strings.HasPrefix(word, "LHLO"):
			lines := append([]string{"stand-in"}, m.offer...)
			usual := ""
			for i, l := range lines {
				usual += "250" + map[bool]string{true: " ", false: "-"}[i == len(lines)-1] + l + "\r\n"
			}
			on = m.at(c, MailHello, "", usual)
		case strings.HasPrefix(word, "HELO"):
			on = m.at(c, MailHello, "HELO", "250 stand-in\r\n")
		case strings.HasPrefix(word, "MAIL FROM:"):
			on = m.at(c, MailFrom, "", "250 2.1.0 ok\r\n")
		case strings.HasPrefix(word, "RCPT TO:"):
			on = m.at(c, MailTo, "", "250 2.1.5 ok\r\n")
		case word == "RSET":
			on = m.at(c, MailReset, "", "250 ok\r\n")
		case word == "QUIT":
			fmt.Fprint(c, "221 bye\r\n")
			return
		case word == "DATA":
			if do := m.script(MailData, ""); do != nil {
				if !do.Silent {
					fmt.Fprint(c, do.Say)
				}
				if on = !do.Drop; !strings.HasPrefix(do.Say, "354") {
					break
				}
			} else if _, err := fmt.Fprint(c, "354 go on\r\n"); err != nil {
				return
			}
			on = on && m.body(c, r)
		default:
			_, err := fmt.Fprint(c, "500 unknown\r\n")
			on = err == nil
		}
		if !on {
			return
		}
	}
}

// body reads a message to its end.
func (m *Mail) body(c net.Conn, r *bufio.Reader) bool {
	cut := m.script(MailBody, "")
	var lines []string
	for n := 0; ; {
		line, err := r.ReadString('\n')
		if err != nil { // without its end it is no message
			return false
		}
		if line == ".\r\n" {
			break
		}
		if n += len(line); cut != nil && n > cut.After {
			fmt.Fprint(c, cut.Say)
			if cut.Drop {
				return false
			}
			cut = nil
		}
		lines = append(lines, strings.TrimSuffix(line, "\r\n"))
	}
	id, body, inBody := "", "", false
	for _, l := range lines {
		if inBody {
			body += l
		} else if name, v, _ := strings.Cut(l, ": "); name == "Req-Id" {
			id = v
		}
		inBody = inBody || l == ""
	}
	text, err := base64.StdEncoding.DecodeString(body)
	if err != nil {
		text = []byte("spoilt: " + err.Error())
	}
	do := m.script(MailDot, id)
	if do == nil {
		do = &MailDo{Say: "250 2.0.0 taken\r\n", Ran: true}
	}
	if do.Ran {
		m.mu.Lock()
		m.ran[id]++
		m.bodies[id] = string(text)
		m.mu.Unlock()
	}
	if !do.Silent {
		if _, err := fmt.Fprint(c, do.Say); err != nil {
			return false
		}
	}
	return !do.Drop
}
