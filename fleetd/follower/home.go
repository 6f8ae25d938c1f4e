package follower

import (
	"hash/fnv"
	"time"
)

const (
	// minHomeWait is the minimum time that an entry host stays with a control host of another data centre while it knows
	// one in its own. Up to the same time again is added, so that the hosts do not all switch at once.
	minHomeWait = 3 * time.Second
	// maxHomeWait bounds the wait after failed attempts: each transfers the complete roster.
	maxHomeWait = 2 * time.Minute
)

// homeBackoff decides when an entry host that follows a control host of another data centre tries to switch to one in its
// own. Following a local one avoids traffic between data centres and spreads the entry hosts over the control hosts.
type homeBackoff struct {
	first, wait time.Duration
}

func newHomeBackoff(host string) homeBackoff {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	const steps = 1000
	first := minHomeWait + minHomeWait*time.Duration(h.Sum64()%steps)/steps
	return homeBackoff{first: first, wait: first}
}

// due reports whether to try to switch, given since when the present control host has been followed. After each attempt
// the wait doubles, until a control host of the own data centre has been followed.
func (h *homeBackoff) due(since, now time.Time) bool {
	if now.Sub(since) < h.wait {
		return false
	}
	h.wait = min(2*h.wait, maxHomeWait)
	return true
}

// reset restores the first wait, because a control host of the own data centre is followed.
func (h *homeBackoff) reset() {
	h.wait = h.first
}
