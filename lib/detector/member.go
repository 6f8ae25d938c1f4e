// Package detector determines which hosts of a cell are alive, using SWIM (Das, Gupta and Motivala 2002).
//
// It is a state machine without clock or I/O: its inputs are messages and the current time, and it returns probes to
// send. Each host sends one probe per period, independently of the number of hosts, and at most MaxUpdates updates per
// message.
package detector

import (
	"cmp"
	"time"
)

// State is the state of a host. Within an incarnation, a greater state overrides a smaller one.
type State int

// States of a host.
const (
	Alive State = iota + 1
	Suspect
	Dead
	// Left is the state of a host that stopped gracefully.
	Left
)

// stateNames are the names of the states in the output for operators.
var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Update is a state of a host, as sent between hosts.
type Update struct {
	Host        string
	Incarnation uint64
	State       State
}

// overrides reports whether a is newer than b. A greater incarnation wins, and within an incarnation a greater state,
// so states never revert.
func overrides(a, b Update) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State)) > 0
}

// Change is a state transition that this host has observed.
type Change struct {
	Update
	Before State
	At     time.Time
}

// member is another host of the cell.
type member struct {
	Update
	// since is the time of the last update on this host.
	since time.Time
	// lastProbe is the time of the last probe. It limits the rate of probes to suspects and dead hosts.
	lastProbe time.Time
	// remainingSends is the number of further messages that will carry the update.
	remainingSends int
}
