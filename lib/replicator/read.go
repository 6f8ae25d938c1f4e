package replicator

import (
	"slices"
	"time"
)

type pendingRead struct {
	ids          []uint64
	index, round uint64
}

// Read requests linearizable reads. Ready returns their IDs once a majority has confirmed this replica as leader
// (read index, dissertation section 6.4). The reads of one call share a round.
func (r *Replicator) Read(now time.Time, ids ...uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.round++
	// Commands acknowledged by earlier leaders precede the first record of this term.
	r.reads = append(r.reads, pendingRead{ids: ids, index: max(r.commit, r.termStart), round: r.round})
	r.broadcastHeartbeat(now)
	r.confirmReads()
	return nil
}

func (r *Replicator) confirmReads() {
	r.reads = slices.DeleteFunc(r.reads, func(p pendingRead) bool {
		confirmed := r.quorum(func(host string) bool {
			return host == r.config.Host || r.progress[host] != nil && r.progress[host].round >= p.round
		})
		if confirmed {
			for _, id := range p.ids {
				r.confirm = append(r.confirm, Read{ID: id, Index: p.index})
			}
		}
		return confirmed
	})
}

// sentRound is a round of messages to all members.
type sentRound struct {
	number uint64
	at     time.Time
}

// maxRounds bounds the rounds that are remembered. Older ones are superseded by the time that so many have been sent.
const maxRounds = 64

// startRound numbers the round of messages that is about to be sent.
func (r *Replicator) startRound(now time.Time) {
	r.round++
	r.rounds = append(r.rounds, sentRound{number: r.round, at: now})
	if len(r.rounds) > maxRounds {
		r.rounds = slices.Delete(r.rounds, 0, len(r.rounds)-maxRounds)
	}
	r.confirmRounds()
}

// confirmRounds notes the newest round that a majority has answered.
func (r *Replicator) confirmRounds() {
	for i := len(r.rounds) - 1; i >= 0; i-- {
		number := r.rounds[i].number
		if r.quorum(func(host string) bool {
			return host == r.config.Host || r.progress[host] != nil && r.progress[host].round >= number
		}) {
			r.majorityAt = r.rounds[i].at
			r.rounds = slices.Delete(r.rounds, 0, i+1)
			return
		}
	}
}
