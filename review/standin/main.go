// Standin runs one case of the review: it starts the system's own processes on loopback addresses, plays clients, leaves,
// the operator and the platform, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the time after which a case is stopped as not run.
const maxRun = 115 * time.Second

// scenario plays one case and reports whether the rule was broken. Trouble says whether the disruption takes place.
type scenario func(s *system, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"unreadable-heartbeat": unreadableHeartbeat,
	"crash-in-answer":      crashInAnswer,
	"crash-then-restart":   crashThenRestart,
	"partial-heartbeat":    partialHeartbeat,
	"late-order":           lateOrder,
	"cold-leaf":            coldLeaf,
}

var errUsage = errors.New("usage: standin CASE RECORD")

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	s, err := newSystem(r)
	if err != nil {
		r.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption %t", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](s, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var out result
	select {
	case out = <-done:
	case <-time.After(maxRun):
		out.err = errors.New("out of time")
	case received := <-signals:
		out.err = fmt.Errorf("stopped by %s", received)
	}
	switch {
	case out.err != nil:
		r.add("the case could not run: %v", out.err)
		return exitNotRun
	case out.broken:
		r.add("result: the rule was BROKEN")
		return exitBroken
	}
	r.add("result: the rule held")
	return exitHeld
}
