package replicator

import (
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxMembers bounds the group. Design.md, section 6.1, allows seven hosts set aside for control; the rest is room for
// hosts that replace others.
const maxMembers = 15

// Errors of member changes; nothing was recorded.
var (
	ErrChanging = errors.New("another change of members is in progress")
	ErrMembers  = errors.New("the change of members is not possible")
)

// members returns the member set in force: the newest in the log, committed or not.
func (r *Replicator) members() *statev1.Members {
	return r.configurations[len(r.configurations)-1].members
}

// settled reports whether the member set in force is committed.
func (r *Replicator) settled() bool {
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

// voter reports whether this replica, under its present incarnation, has a vote.
func (r *Replicator) voter() bool {
	return r.votesIn(r.members())
}

func (r *Replicator) votesIn(members *statev1.Members) bool {
	m := find(members, r.config.Host)
	return m != nil && !m.GetLearner() && m.GetIncarnation() == r.state.GetIncarnation()
}

// electable reports whether this replica may start an election. A leader that recorded its own removal may hold
// the only log that can win until the removal is committed; its own vote does not count (dissertation, section
// 4.2.2).
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

// quorum reports whether a majority of the voters fulfils a condition.
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

// Blank reports whether this data folder has never voted nor held a record.
func (r *Replicator) Blank() bool {
	return r.state.GetTerm() == 0 && r.log.last() == 0
}

// Found begins a new group with its first record. It must be called on one host only, after every first member
// has said under its present incarnation that it is blank: then no group can exist whose records would be lost.
func (r *Replicator) Found(now time.Time, m *statev1.Members) {
	if !r.invariant(r.Blank(), "a group is founded on a host that is not blank") {
		return
	}
	r.state.Term = 1
	r.stateDirty = true
	r.record(now, &statev1.Command{Kind: &statev1.Command_Members{Members: m}})
	r.electionAt = now
}

// Add adds a host as a learner, or changes the address of a member. The leader learns its incarnation from
// its first answer and gives it a vote when it has caught up.
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
	if !r.settled() || r.commit < r.termStart || r.successor != "" {
		return ErrChanging
	}
	next := proto.Clone(r.members()).(*statev1.Members)
	if !edit(next) {
		return ErrMembers
	}
	if proto.Equal(next, r.members()) {
		return nil
	}
	if !r.invariant(distance(r.members(), next) <= 1, "a change of members concerns more than one voter") {
		return ErrMembers
	}
	r.record(now, &statev1.Command{Kind: &statev1.Command_Members{Members: next}})
	r.track(now, 1) // A new member has nothing; it would wait for the next record if asked from the end.
	r.replicate(now)
	return nil
}

// distance counts the voters that are in one set only.
func distance(a, b *statev1.Members) int {
	return missing(a, b) + missing(b, a)
}

func missing(a, b *statev1.Members) int {
	count := 0
	for _, x := range a.GetReplicas() {
		y := find(b, x.GetHost())
		if !x.GetLearner() && (y == nil || y.GetLearner() || y.GetIncarnation() != x.GetIncarnation()) {
			count++
		}
	}
	return count
}

// track keeps one progress for each other member and incarnation; next is the first record to try on new ones.
func (r *Replicator) track(now time.Time, next uint64) {
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

// stranger notes that a host answers under another incarnation than the member's.
func (r *Replicator) stranger(now time.Time, m Message) {
	p := r.progress[m.From]
	if p == nil || m.Incarnation <= p.incarnation {
		return
	}
	p.stranger = m.Incarnation
	r.maintain(now)
}

// maintain makes the next change of members that is due: a host that came back with a new data folder
// becomes a learner, a learner that has caught up gets a vote, a member that is absent for long is removed.
func (r *Replicator) maintain(now time.Time) {
	if r.role != Leader || !r.settled() || r.commit < r.termStart {
		return
	}
	voters := r.voters()
	for _, m := range r.members().GetReplicas() {
		p := r.progress[m.GetHost()]
		if p == nil {
			continue
		}
		host, quiet := m.GetHost(), now.Sub(p.contact)
		edit := func(next *statev1.Members) { find(next, host).Learner = false }
		switch {
		case p.stranger > m.GetIncarnation():
			edit = func(next *statev1.Members) {
				x := find(next, host)
				x.Incarnation, x.Learner = p.stranger, true
			}
		case m.GetLearner() && p.caught && quiet < r.config.Election && voters < r.mostVoters():
		case r.removable(m, quiet, voters):
			edit = func(next *statev1.Members) { remove(next, host) }
		default:
			continue
		}
		// The only error is that leadership is being handed over; the next tick tries again.
		_ = r.change(now, func(next *statev1.Members) bool {
			edit(next)
			return true
		})
		return
	}
}

// removable reports whether a member out of contact is to be removed. The group must not shrink so far that the loss
// of the disks that it has to bear could take an acknowledged record with it.
func (r *Replicator) removable(m *statev1.Replica, quiet time.Duration, voters int) bool {
	if r.config.Absence == 0 || quiet < r.config.Absence {
		return false
	}
	return m.GetLearner() || voters > r.config.Least
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

func (r *Replicator) mostVoters() int {
	if r.config.Voters == 0 {
		return maxMembers
	}
	return r.config.Voters
}

func remove(m *statev1.Members, host string) {
	m.Replicas = slices.DeleteFunc(m.Replicas, func(x *statev1.Replica) bool { return x.GetHost() == host })
}
