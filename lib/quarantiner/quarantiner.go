// Package quarantiner protects backend servers from requests that crash them. It identifies requests by a fingerprint and
// tracks which fingerprints are known to be good, suspected after a crash, or blocked after a second crash.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// shardCount is the number of shards of the fingerprints, each with its own lock.
	shardCount = 16
	// maxGood bounds the good fingerprints of a shard in one generation. A dropped fingerprint costs one canary.
	maxGood = 4096
	// generationTime is the lifetime of a generation. A good fingerprint is dropped after one to two generations without use.
	generationTime = 10 * time.Minute
	// maxSuspects bounds the suspects of a shard.
	maxSuspects = 1024
	// SuspectTTL is the time for which a fingerprint stays suspected or blocked.
	SuspectTTL = time.Hour
	// crashLimit is the number of crashes with a canary call in flight after which a fingerprint is blocked.
	crashLimit = 2
)

// Quarantiner holds the fingerprints known to one host. It is safe for concurrent use.
type Quarantiner struct {
	shards [shardCount]shard
}

type shard struct {
	sync.Mutex
	// fresh and stale are two generations of good fingerprints.
	fresh, stale map[uint64]struct{}
	rotated      time.Time
	canaries     map[uint64]chan struct{}
	suspects     map[uint64]*suspect
}

// suspect is a fingerprint that was in flight on a server that crashed.
type suspect struct {
	// crashes identifies the crashes during which a canary call was in flight.
	crashes []string
	blocked bool
	expires time.Time
}

// New returns an empty quarantiner.
func New() *Quarantiner {
	q := &Quarantiner{}
	for i := range q.shards {
		q.shards[i].fresh = make(map[uint64]struct{})
		q.shards[i].canaries = make(map[uint64]chan struct{})
		q.shards[i].suspects = make(map[uint64]*suspect)
	}
	return q
}

func (q *Quarantiner) shard(fingerprint uint64) *shard {
	return &q.shards[fingerprint%shardCount]
}
