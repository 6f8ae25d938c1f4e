package replicator

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxMembers limits the size of the group. Design.md, section 6.1, allows seven hosts reserved for control; the rest
// allows for replacement hosts.
const maxMembers = 15

// Errors of membership changes; nothing was recorded.
var (
	ErrChanging = errors.New("another change of members is in progress")
	ErrMembers  = errors.New("the change of members is not possible")
)

// members returns the member set in force, which is the newest in the log, whether committed or not.
func (r *Replicator) members() *statev1.Members {
	return r.configurations[len(r.configurations)-1].members
}

// membersCommitted reports whether the member set in force is committed.
func (r *Replicator) membersCommitted() bool {
	return r.configurations[len(r.configurations)-1].index <= r.commit
}

func find(m *statev1.Members, host string) *statev1.Replica {
	for _, replica := range m.GetReplicas() {
		if replica.GetHost() == host {
			return replica
		}
	}
	return nil
}

func (r *Replicator) member(host string) *statev1.Replica {
	return find(r.members(), host)
}

// voter reports whether this replica has a vote under its current incarnation.
func (r *Replicator) voter() bool {
	return r.votesIn(r.members())
}

func (r *Replicator) votesIn(members *statev1.Members) bool {
	m := find(members, r.config.Host)
	return m != nil && !m.GetLearner() && m.GetIncarnation() == r.state.GetIncarnation()
}

// electable reports whether this replica may start an election. Until the removal of a leader is committed, that
// leader may have the only log that can win an election, although its own vote does not count (dissertation,
// section 4.2.2).
func (r *Replicator) electable() bool {
	for i := len(r.configurations) - 1; i >= 0; i-- {
		if r.votesIn(r.configurations[i].members) {
			return true
		}
		if r.configurations[i].index <= r.commit {
			return false
		}
	}
	return false
}

// quorum reports whether a condition holds for a majority of the voters.
func (r *Replicator) quorum(holds func(host string) bool) bool {
	voters, count := 0, 0
	for _, m := range r.members().GetReplicas() {
		if m.GetLearner() {
			continue
		}
		voters++
		if holds(m.GetHost()) {
			count++
		}
	}
	return count > voters/2
}

// bootstrapTerm is the term of the first record of a group. No replica leads or votes in it.
const bootstrapTerm = 1

// Blank reports whether this replica's data folder contains neither a vote nor a record. It may contain the term of a first
// record that could not be written; nobody has received that record.
func (r *Replicator) Blank() bool {
	return r.state.GetTerm() <= bootstrapTerm && r.state.GetVote() == "" && r.log.last() == 0
}

// Bootstrap bootstraps a new group by writing its first record. It must be called on one host only, after every initial
// member has reported under its current incarnation that it is blank. This rules out an existing group, whose records
// would be lost.
func (r *Replicator) Bootstrap(now time.Time, m *statev1.Members) {
	if !r.invariant(r.Blank(), "a group is bootstrapped on a replica that is not blank") {
		return
	}
	r.state.Term = bootstrapTerm
	r.stateChanged = true
	r.appendCommand(now, &statev1.Command{Kind: &statev1.Command_Members{Members: m}})
	r.electionAt = now
}

// Add adds a host as a learner, or changes the address of a member. The leader learns the incarnation of a new host
// from its first response and promotes it to a voter when it has caught up.
func (r *Replicator) Add(now time.Time, host, address, center string) error {
	return r.change(now, func(m *statev1.Members) bool {
		if old := find(m, host); old != nil {
			old.Address, old.Center = address, center
			return true
		}
		m.Replicas = append(m.Replicas, &statev1.Replica{Host: host, Address: address, Center: center, Learner: true})
		return len(m.GetReplicas()) <= maxMembers
	})
}

// Remove removes a member. A leader that removes itself steps down when the change is committed.
func (r *Replicator) Remove(now time.Time, host string) error {
	return r.change(now, func(m *statev1.Members) bool {
		if find(m, host) == nil {
			return false
		}
		remove(m, host)
		return slices.ContainsFunc(m.Replicas, func(x *statev1.Replica) bool { return !x.GetLearner() })
	})
}

// change records a new member set that differs from the one in force by one member.
func (r *Replicator) change(now time.Time, edit func(*statev1.Members) bool) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.membersCommitted() || r.commit < r.termStart || r.successor != "" {
		return ErrChanging
	}
	next := proto.Clone(r.members()).(*statev1.Members)
	if !edit(next) {
		return ErrMembers
	}
	if proto.Equal(next, r.members()) {
		return nil
	}
	if !r.invariant(voterDifference(r.members(), next) <= 1, "a membership change affects more than one voter") {
		return ErrMembers
	}
	r.appendCommand(now, &statev1.Command{Kind: &statev1.Command_Members{Members: next}})
	r.updateProgress(now, 1) // A new member's log is empty. Starting at the end of the log would delay it until the next record.
	r.replicate(now)
	return nil
}

// voterDifference returns the number of voters that are in only one of two member sets.
func voterDifference(a, b *statev1.Members) int {
	return votersMissing(a, b) + votersMissing(b, a)
}

func votersMissing(a, b *statev1.Members) int {
	count := 0
	for _, x := range a.GetReplicas() {
		y := find(b, x.GetHost())
		if !x.GetLearner() && (y == nil || y.GetLearner() || y.GetIncarnation() != x.GetIncarnation()) {
			count++
		}
	}
	return count
}

// updateProgress updates the progress entries to match the other members and their incarnations. For new entries,
// replication starts at the index next.
func (r *Replicator) updateProgress(now time.Time, next uint64) {
	for host := range r.progress {
		if r.member(host) == nil {
			delete(r.progress, host)
		}
	}
	for _, m := range r.members().GetReplicas() {
		if m.GetHost() == r.config.Host {
			continue
		}
		p := r.progress[m.GetHost()]
		if p == nil || p.incarnation != m.GetIncarnation() {
			r.progress[m.GetHost()] = &progress{
				incarnation: m.GetIncarnation(), next: next, contact: now, target: r.log.last(), targetAt: now,
			}
		}
	}
}

// noteIncarnation handles a response that a member's host sent under another incarnation. A newer incarnation is noted,
// so that maintainMembers replaces the member.
func (r *Replicator) noteIncarnation(now time.Time, m Message) {
	p := r.progress[m.From]
	if p == nil || m.Incarnation <= p.incarnation {
		return
	}
	p.newIncarnation = m.Incarnation
	r.maintainMembers(now)
}

// maintainMembers makes the next membership change that is due. A host that has returned with a new data folder becomes
// a learner, a learner that has caught up becomes a voter, and a member that has been unreachable for too long is
// removed.
func (r *Replicator) maintainMembers(now time.Time) {
	if r.role != Leader || !r.membersCommitted() || r.commit < r.termStart {
		return
	}
	voters := r.voters()
	for _, m := range r.members().GetReplicas() {
		p := r.progress[m.GetHost()]
		if p == nil {
			continue
		}
		host, sinceContact := m.GetHost(), now.Sub(p.contact)
		edit := func(next *statev1.Members) { find(next, host).Learner = false }
		switch {
		case p.newIncarnation > m.GetIncarnation():
			edit = func(next *statev1.Members) {
				x := find(next, host)
				x.Incarnation, x.Learner = p.newIncarnation, true
			}
		case m.GetLearner() && p.caughtUp && sinceContact < r.config.Election && voters < r.maxVoters():
		case r.removable(m, sinceContact, voters):
			edit = func(next *statev1.Members) { remove(next, host) }
		default:
			continue
		}
		// The only possible error is that a handover of leadership is in progress; the next tick retries.
		_ = r.change(now, func(next *statev1.Members) bool {
			edit(next)
			return true
		})
		return
	}
}

// removable reports whether an unreachable member should be removed. The group must not shrink below the size at which
// it can lose the number of disks it has to tolerate without losing an acknowledged record.
func (r *Replicator) removable(m *statev1.Replica, sinceContact time.Duration, voters int) bool {
	if r.config.RemoveAfter == 0 || sinceContact < r.config.RemoveAfter {
		return false
	}
	return m.GetLearner() || voters > r.config.MinVoters
}

func (r *Replicator) voters() int {
	count := 0
	for _, m := range r.members().GetReplicas() {
		if !m.GetLearner() {
			count++
		}
	}
	return count
}

func (r *Replicator) maxVoters() int {
	if r.config.MaxVoters == 0 {
		return maxMembers
	}
	return r.config.MaxVoters
}

func remove(m *statev1.Members, host string) {
	m.Replicas = slices.DeleteFunc(m.Replicas, func(x *statev1.Replica) bool { return x.GetHost() == host })
}
