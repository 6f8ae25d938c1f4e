package follower

import (
	"hash/fnv"
	"time"
)

const (
	// homeWait is how long an entry host at least stays with a control host of another data centre while it knows one of
	// its own. Up to as much again is added, so that the hosts do not all turn at one moment.
	homeWait = 3 * time.Second
	// mostHomeWait bounds the wait after turns in vain: each costs the whole roster.
	mostHomeWait = 2 * time.Minute
)

// home decides when an entry host that follows a control host of another data centre turns to one of its own: what it is
// told then crosses no border between data centres, and no control host has to serve the hosts of all.
type home struct {
	first, wait time.Duration
}

func newHome(host string) home {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	const steps = 1000
	first := homeWait + homeWait*time.Duration(h.Sum64()%steps)/steps
	return home{first: first, wait: first}
}

// due reports whether to turn, given since when the present control host is followed. The next wait is twice as long,
// until a control host of the own data centre has been followed.
func (h *home) due(since, now time.Time) bool {
	if now.Sub(since) < h.wait {
		return false
	}
	h.wait = min(2*h.wait, mostHomeWait)
	return true
}

// arrived notes that a control host of the own data centre is followed.
func (h *home) arrived() {
	h.wait = h.first
}
