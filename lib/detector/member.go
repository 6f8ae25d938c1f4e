// Package detector decides which hosts of a cell are alive, by SWIM (Das, Gupta and Motivala 2002).
//
// It is a state machine without clock or socket: it takes messages and the time and returns probes to send.
// Each host sends one probe a period, whatever the number of hosts, and at most MaxUpdates updates a message.
package detector

import (
	"cmp"
	"time"
)

// State of a host, in the order in which one state overrides another of the same incarnation.
type State int

// States of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
	// Left is a host that stopped gracefully.
	Left
)

// Names of the states, for operators.
var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Update is what one host says about another.
type Update struct {
	Host        string
	Incarnation uint64
	State       State
}

// overrides reports whether a is newer than b. States never go back: a greater incarnation wins, then a greater state.
func overrides(a, b Update) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State)) > 0
}

// Change is a transition that this host has seen.
type Change struct {
	Update
	Before State
	At     time.Time
}

// member is a host of the cell as known here.
type member struct {
	Update
	// since is when the present state began here.
	since time.Time
	// probed is when the last probe was sent, so that suspects and dead hosts are probed at their own rates.
	probed time.Time
	// sends is how many more messages carry the update.
	sends int
}
