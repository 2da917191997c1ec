// Command rig2 plays the cases 6 to 10 of the review. It starts the forwarder by the deploy file's run command, and stands in for clients, targets and the
// platform on loopback addresses. review/N/run.sh calls it with the name of the case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxDuration ends a case that can't come to its end.
const maxDuration = 115 * time.Second

// playedCase plays a case, with the disruption or without, and returns what broke the rule.
type playedCase func(w *world, trouble bool) (violations []string, err error)

var cases = map[string]playedCase{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, from the root of the repository")
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	w.note("case %s, with the disruption: %v", os.Args[1], trouble)
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		violations, err := cases[os.Args[1]](w, trouble)
		done <- outcome{violations, err}
	}()
	var end outcome
	select {
	case end = <-done:
	case <-time.After(maxDuration):
		end.err = fmt.Errorf("the case has not ended within %v", maxDuration)
	}
	for _, v := range end.violations {
		w.note("BROKEN: %s", v)
	}
	switch {
	case len(end.violations) > 0:
		fmt.Printf("the rule was broken %d times, for instance: %s\n", len(end.violations), end.violations[0])
		return broken
	case end.err != nil:
		w.note("could not run: %v", end.err)
		fmt.Fprintln(os.Stderr, "could not run:", end.err)
		return couldNot
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return held
}

// mustRoot returns the root of the repository, which is the working folder.
func mustRoot() (string, error) {
	root, err := os.Getwd()
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(filepath.Join(root, "deploy", "balancer.toml")); err != nil {
		return "", fmt.Errorf("not in the root of the repository: %w", err)
	}
	return root, nil
}
