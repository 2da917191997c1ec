// Command rig plays one case of the review: the program under test as a separate process, among small stand-ins of clients, targets and the platform.
// Its exit status is 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit is how long a case may take.
const caseLimit = 110 * time.Second

// world is what a case plays in.
type world struct {
	*record
	root     string // of the repository
	trouble  bool   // with the disruption
	platform *platform
	programs []*forwarder
}

// verdict is what a case found: whether the rule was broken, and what was seen.
type verdict struct {
	broken bool
	seen   string
}

var cases = map[string]func(*world) (verdict, error){
	"same-id":     sameID,
	"withdrawn":   withdrawn,
	"second-copy": secondCopy,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], rec))
}

// play plays a case, ends its processes, and returns the exit status.
func play(name string, rec *record) int {
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case", "%s, with the disruption: %v, begun %s", name, w.trouble, rec.began.UTC().Format(time.RFC3339))
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := w.play(name)
		done <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-time.After(caseLimit):
		r.err = fmt.Errorf("it took longer than %v", caseLimit)
	case s := <-interrupted:
		r.err = fmt.Errorf("interrupted: %v", s)
	}
	for _, f := range w.programs {
		f.close()
	}
	switch {
	case r.err != nil:
		rec.add("verdict", "the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		rec.add("verdict", "BROKEN: %s", r.seen)
		fmt.Println("broken:", r.seen)
		return 1
	}
	rec.add("verdict", "held: %s", r.seen)
	fmt.Println("held:", r.seen)
	return 0
}

func (w *world) play(name string) (v verdict, err error) {
	if w.root, err = os.Getwd(); err != nil {
		return v, err
	}
	if w.platform, err = newPlatform(w.record); err != nil {
		return v, err
	}
	return cases[name](w)
}

// start starts a forwarder, which is ended with the case.
func (w *world) start(name string) (*forwarder, error) {
	f, err := newForwarder(w.record, w.root, w.platform, name)
	if err != nil {
		return nil, err
	}
	w.programs = append(w.programs, f)
	return f, f.start()
}

// endpoint returns the list entry of a target that serves a destination.
func endpoint(name string, t *target, destination int) listed {
	return listed{Name: name, Address: t.address(), Zone: "tallinn-dc1", Type: "large-organisers", Group: destination, Status: "SERVING", Weight: 20}
}

// answer200 answers each call with 200 after some time.
func answer200(after time.Duration) func(*call) string {
	return func(*call) string {
		time.Sleep(after)
		return "200 OK"
	}
}
