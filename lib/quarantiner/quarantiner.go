// Package quarantiner keeps requests that crash backend servers away from them. It knows requests by their fingerprint:
// those known to be good, those suspected after a crash, and those blocked after a second one.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// parts divides the fingerprints between locks.
	parts = 16
	// maxGood bounds the good fingerprints of a part and generation; a fingerprint that is forgotten costs one
	// canary.
	maxGood = 4096
	// goodTime is the age of a generation; a good fingerprint is forgotten after one to two generations without use.
	goodTime = 10 * time.Minute
	// maxSuspects bounds the suspects of a part.
	maxSuspects = 1024
	// Hold is the time for which a fingerprint stays a suspect or blocked.
	Hold = time.Hour
	// limit is the number of crashes with a canary call in flight after which the fingerprint is blocked.
	limit = 2
)

// Quarantiner is the state of one host. It is safe for concurrent use.
type Quarantiner struct {
	parts [parts]part
}

type part struct {
	sync.Mutex
	// fresh and stale are two generations of good fingerprints.
	fresh, stale map[uint64]struct{}
	turned       time.Time
	canaries     map[uint64]chan struct{}
	suspects     map[uint64]*suspect
}

// suspect is a fingerprint that was in flight on a server that crashed.
type suspect struct {
	// crashes are those at which a canary call was in flight.
	crashes []string
	blocked bool
	expires time.Time
}

// New returns an empty quarantiner.
func New() *Quarantiner {
	q := &Quarantiner{}
	for i := range q.parts {
		q.parts[i].fresh = make(map[uint64]struct{})
		q.parts[i].canaries = make(map[uint64]chan struct{})
		q.parts[i].suspects = make(map[uint64]*suspect)
	}
	return q
}

func (q *Quarantiner) part(fingerprint uint64) *part {
	return &q.parts[fingerprint%parts]
}
