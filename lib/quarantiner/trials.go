package quarantiner

import (
	"sync"
	"time"
)

// maxTrialWait bounds the time after which a request that is held back is to come again. Most requests end long before the
// latest time at which they must.
const maxTrialWait = time.Second

// Trials admits one request of a suspected fingerprint at a time. It is safe for concurrent use.
type Trials struct {
	mu      sync.Mutex
	running map[uint64]trial
}

type trial struct {
	id    string
	until time.Time
}

// NewTrials returns trials of which none is running.
func NewTrials() *Trials {
	return &Trials{running: make(map[uint64]trial)}
}

// Begin begins a trial that ends at the given time at the latest. It returns 0 if the request may run, or the time after which
// it is to come again, because another request of the fingerprint is running.
func (t *Trials) Begin(fingerprint uint64, id string, until, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.running[fingerprint]; ok && r.id != id && now.Before(r.until) {
		return min(r.until.Sub(now), maxTrialWait)
	}
	if len(t.running) >= maxSuspects {
		t.expire(now)
	}
	if len(t.running) >= maxSuspects {
		return maxTrialWait
	}
	t.running[fingerprint] = trial{id: id, until: until}
	return 0
}

// End ends a trial. It does nothing when the trial has expired and another one is running.
func (t *Trials) End(fingerprint uint64, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fingerprint].id == id {
		delete(t.running, fingerprint)
	}
}

func (t *Trials) expire(now time.Time) {
	for fingerprint, r := range t.running {
		if !now.Before(r.until) {
			delete(t.running, fingerprint)
		}
	}
}
