package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"scaleroute/internal/standin"
)

const (
	killWithin = 80 * time.Millisecond // of the next process's start: a hand-over is over by then
	oldStays   = 3700 * time.Millisecond
	goOnTime   = 10 * time.Second // for a process to go on after the one that was to follow was killed
	saidTime   = 5 * time.Second  // for an operator's call to be said yes to, over upgrades
)

// upgrades is what became of those of a run.
type upgrades struct {
	Whole     int     `json:"whole"`      // without a kill
	OldKilled int     `json:"old_killed"` // at a random moment
	NewKilled int     `json:"new_killed"`
	WentOn    int     `json:"old_went_on"` // of those
	ReadyMS   float64 `json:"longest_ready_ms"`
}

// listen opens the clients' socket for all processes.
func (p *program) listen() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	p.socket, err = ln.(*net.TCPListener).File()
	return err
}

// beside is the same program, to be run beside this one.
func (p *program) beside() *program {
	return &program{command: p.command, env: p.env, dir: p.dir, socket: p.socket}
}

// become makes another process the one that is measured and watched. What the first one used counts on.
func (p *program) become(next *program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.cmd.ProcessState; s != nil && !p.counted {
		p.cpu += s.UserTime() + s.SystemTime()
	}
	p.counted = false
	p.peakKB = max(p.peakKB, next.peakKB)
	p.cmd, p.ended, p.killed, p.address, p.log = next.cmd, next.ended, next.killed, next.address, next.log
}

// endOld ends the process that has handed over as the platform does.
func (p *program) endOld() error {
	p.mu.Lock()
	p.killed = true // it may end now
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return nil
	case <-time.After(oldStays):
		return fmt.Errorf("a process that has handed over does not end at SIGTERM; its log ends:\n%s", p.logTail())
	}
}

// play has another process take over, and kills one of the two in half of the cases.
func (u *upgrades) play(ctx context.Context, w *standin.World, p *program, draw *rand.Rand) error {
	next := p.beside()
	kill, after := draw.IntN(4), time.Duration(draw.Int64N(int64(killWithin)))
	began := time.Now()
	started := make(chan error, 1)
	go func() { started <- next.start() }()
	switch kill {
	case 2: // the old one
		u.OldKilled++
		time.Sleep(after)
		ended := time.Now()
		w.SetAway(true)
		p.kill()
		gone := time.Now()
		if err := <-started; err != nil {
			return err
		}
		w.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
		p.become(next)
		w.SetAway(false)
		return nil
	case 3: // the new one
		u.NewKilled++
		for next.pid() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(after)
		ended := time.Now()
		w.SetAway(true)
		next.kill()
		<-started
		on, err := p.goesOn(ctx)
		if err != nil || on {
			u.WentOn++
			w.SetAway(false)
			return err
		}
		p.kill() // it had handed over: both are gone
		gone := time.Now()
		again := p.beside()
		if err := again.start(); err != nil {
			return err
		}
		w.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
		p.become(again)
		w.SetAway(false)
		return nil
	}
	if err := <-started; err != nil {
		return err
	}
	u.Whole++
	u.ReadyMS = max(u.ReadyMS, float64(time.Since(began).Microseconds())/1000)
	if err := p.endOld(); err != nil {
		return err
	}
	p.become(next)
	return nil
}

func (p *program) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// goesOn waits until the process is ready again or has handed over, and tells which.
func (p *program) goesOn(ctx context.Context) (bool, error) {
	for limit := time.Now().Add(goOnTime); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		l := p.said()
		l.mu.Lock()
		handed := l.handed
		l.mu.Unlock()
		if handed {
			return false, nil
		}
		if status, _, err := p.call("GET", "/healthcheck"); err == nil && status == http.StatusOK {
			return true, nil
		}
	}
	return false, fmt.Errorf("the process neither goes on nor has handed over %v after the next one was killed; its log ends:\n%s", goOnTime, p.logTail())
}

// call makes an operator's call.
func (p *program) call(method, path string) (status int, body string, err error) {
	l := p.said()
	l.mu.Lock()
	door := l.door
	l.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+door+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// byHand leaves an endpoint out or puts it back.
func byHand(ctx context.Context, w *standin.World, p *program, name string, out bool) error {
	path := "/targets/" + name + "/ready"
	if out {
		path = "/targets/" + name + "/maint"
	} else {
		w.Log.ByHand(name, false, time.Now()) // it may count before the yes
	}
	var status int
	var body string
	var err error
	for limit := time.Now().Add(saidTime); time.Now().Before(limit) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if status, body, err = p.call("PUT", path); err == nil && status == http.StatusOK {
			if out {
				w.Log.ByHand(name, true, time.Now())
			}
			return nil
		}
	}
	return fmt.Errorf("PUT %s: %d %s (%v)", path, status, body, err)
}
