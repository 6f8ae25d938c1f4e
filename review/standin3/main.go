// Command standin3 runs the cases of the third review. It starts the system's own processes and plays the platform, the leafs,
// the clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result is the exit code of a case.
type result int

const (
	held     result = 0
	broken   result = 1
	unplayed result = 2
)

// limit is the longest time that a case may take.
const limit = 116 * time.Second

// cases are the cases by name, and "kills", a trial of the report. Trouble is false if the disruption is left out.
var cases = map[string]func(r *record, trouble bool) result{
	"attempts": playAttempts,
	"poison":   playPoison,
	"headers":  playHeaders,
	"grey":     playGrey,
	"kills":    playKills,
	"cold":     playCold,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(int(unplayed))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(int(unplayed))
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unplayed))
	}
	done := make(chan result, 1)
	go func() { done <- play(r, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	out := unplayed
	select {
	case out = <-done:
	case <-stop:
		r.line("the case was stopped")
		endAll()
	case <-time.After(limit):
		r.line("the case took longer than %s", limit)
		endAll()
	}
	r.line("result: %d", out)
	os.Exit(int(out))
}
