package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
)

// TestMailConnectionDrops sends messages to SMTP and LMTP servers that drop the connection at random bytes of the message, after the final dot with or
// without delivering it, and within their reply, and that reject some messages; the program is killed meanwhile. A message that must not be
// repeated takes effect at most once, a message that a server has delivered is not reported as one that the client may repeat, and each accepted
// message has one outcome. SCALEROUTE_DROPS sets the number of drops.
func TestMailConnectionDrops(t *testing.T) {
	drops := 120
	if n, err := strconv.Atoi(os.Getenv("SCALEROUTE_DROPS")); err == nil {
		drops = n
	}
	const servers = 16
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(4, 4))
	dropped, delivered, notices := 0, map[string]bool{}, map[string][]string{}
	script := func(s standin.MailStage, id string) *standin.MailDo {
		mu.Lock()
		defer mu.Unlock()
		n := rng.IntN(100)
		switch {
		case s == standin.MailBody && n < 7:
			dropped++
			return &standin.MailDo{After: rng.IntN(900), Drop: true}
		case s == standin.MailDot && n < 14:
			dropped++
			return &standin.MailDo{Say: "250 2.0.0 taken"[:rng.IntN(16)], Drop: true, Ran: n < 9}
		case s == standin.MailDot && n < 18:
			return &standin.MailDo{Say: "451 later\r\n"}
		case s == standin.MailDot && n < 20, s == standin.MailTo && n < 2:
			return &standin.MailDo{Say: "550 never\r\n"}
		case s == standin.MailDot:
			delivered[id] = true
		}
		return nil
	}
	set := operator.Default()
	var all []*standin.Mail
	for i := range servers {
		var offer []string
		if i%2 == 0 {
			offer = []string{"PIPELINING", "SIZE 1000000"}
		}
		m, err := standin.NewMail(offer, script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		all = append(all, m)
		dest := 100 + i
		set.Pools = append(set.Pools, operator.Pool{Name: fmt.Sprint("p", i), Destination: &dest, Sender: "petitions@a.test", Recipient: "office@b.test",
			Endpoints: []operator.PoolEndpoint{{Name: fmt.Sprint("m", i), Address: m.Address(), Protocol: []string{"smtp", "lmtp"}[i/2%2]}}})
	}
	if err := set.Error(set.Check()); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(set)
	path := filepath.Join(t.TempDir(), "operators.json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.args, w.diskMB = []string{"-operators", path}, 50
	go func() {
		for n := range w.notices {
			id, how, _ := strings.Cut(n, " ")
			mu.Lock()
			notices[id] = append(notices[id], how)
			mu.Unlock()
		}
	}()
	hasOutcome := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return delivered[id] || len(notices[id]) > 0
	}
	p := w.start()
	c, open := p.connect(), map[string]bool{}
	unsafe, accepted := map[string]int{}, []string{}
	awaitOutcomes := func(maxOpen int) {
		for limit := time.Now().Add(testTimeout); len(open) > maxOpen; time.Sleep(2 * time.Millisecond) {
			for id := range open {
				if hasOutcome(id) {
					delete(open, id)
				}
			}
			if time.Now().After(limit) {
				t.Fatalf("%d messages have no outcome: %v", len(open), open)
			}
		}
	}
	kills := 0
	for i := 0; ; i++ {
		mu.Lock()
		n := dropped
		mu.Unlock()
		if n >= drops {
			break
		}
		if n > (kills+1)*drops/5 { // with the calls that are in flight now
			kills++
			p.kill()
			p = w.start()
			c = p.connect()
		}
		id, class := fmt.Sprint("m", i), []string{"harmless", "unsafe"}[i%2]
		got := c.do("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=8000,dest=%d", class, 100+i%servers), "body of "+id)
		if got != "+OK" {
			if !strings.HasPrefix(got, "-BUSY") {
				t.Fatalf("%s: %q", id, got)
			}
			continue
		}
		accepted, open[id] = append(accepted, id), true
		if class == "unsafe" {
			unsafe[id] = i % servers
		}
		awaitOutcomes(40)
	}
	awaitOutcomes(0)
	time.Sleep(50 * time.Millisecond) // the time in which a wrong further call or notice would arrive
	for id, at := range unsafe {
		if n, body := all[at].Ran(id); n > 1 || n == 1 && body != "body of "+id {
			t.Errorf("%s took effect %d times, with %q", id, n, body)
		}
	}
	dead := 0
	for _, id := range accepted {
		mu.Lock()
		reported := append([]string(nil), notices[id]...)
		mu.Unlock()
		for _, how := range reported {
			if how != reported[0] {
				t.Errorf("%s has two outcomes: %v", id, reported)
			}
		}
		if at, is := unsafe[id]; is && len(reported) > 0 && reported[0] == "bounced" {
			if n, _ := all[at].Ran(id); n > 0 {
				t.Errorf("%s took effect, and its client was told that it may be repeated", id)
			}
		}
		if len(reported) > 0 && reported[0] == "dead" {
			dead++
		}
	}
	t.Logf("%d messages, %d drops, %d kills, %d reported as failed", len(accepted), dropped, kills, dead)
	if kills < 4 || dead == 0 {
		t.Error("too few kills or no message reported as dead: the test proves little")
	}
}
