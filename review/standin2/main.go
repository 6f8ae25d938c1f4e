// Command standin2 plays the cases of the second independent review: it starts fleetd as separate processes on loopback
// addresses, with stand-ins for backend servers, clients and operators.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// errBroken is wrapped by the errors that report a broken rule.
var errBroken = errors.New("rule broken")

var cases = map[string]func(r *record, trouble bool) error{
	"evacuation": evacuation,
	"cold":       cold,
	"poison":     poison,
	"foreign":    foreign,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitFailure)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitFailure)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
	err = play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.add("the rule held")
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		r.add("%s", err)
		fmt.Println(err)
		os.Exit(exitBroken)
	}
	r.add("the case could not run: %s", err)
	fmt.Println("the case could not run:", err)
	os.Exit(exitFailure)
}
