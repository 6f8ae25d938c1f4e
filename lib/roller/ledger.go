package roller

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Ledger is the replicated state of rollouts. Its messages are immutable. It is not safe for concurrent use.
type Ledger struct {
	rollouts map[string]*statev1.Rollout
	// list holds the rollouts sorted by service. It is replaced at each change.
	list []*statev1.Rollout
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{rollouts: make(map[string]*statev1.Rollout)}
}

// Order starts an order unless one is running for the service, or the newest one that ended names the same version. An
// order for the version in use succeeds at once, because there is no traffic to move.
func (l *Ledger) Order(index uint64, o *statev1.RolloutOrder, now time.Time) *statev1.RolloutResult {
	old := l.rollouts[o.GetService()]
	if Running(old) || old.GetTarget() != "" && old.GetTarget() == o.GetTarget() {
		return &statev1.RolloutResult{Rollout: old}
	}
	next := &statev1.Rollout{
		Service: o.GetService(), Baseline: old.GetBaseline(), Target: o.GetTarget(), State: statev1.RolloutState_ROLLOUT_STATE_RUNNING,
		Began: timestamppb.New(now), Duration: o.GetDuration(), Order: index, Revision: index, Changed: timestamppb.New(now),
	}
	if next.GetBaseline() == next.GetTarget() {
		next.State, next.Share, next.Reason = statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED, FullShare, "the version is already in use"
	}
	l.put(next)
	return &statev1.RolloutResult{Rollout: next, Changed: true}
}

// Step changes the share of a running order or ends it. A step that was decided on an older revision is ignored, so an
// order that has ended never changes again.
func (l *Ledger) Step(index uint64, s *statev1.RolloutStep, now time.Time) *statev1.RolloutResult {
	old := l.rollouts[s.GetService()]
	if !Running(old) || old.GetRevision() != s.GetRevision() {
		return &statev1.RolloutResult{Rollout: old}
	}
	next := proto.CloneOf(old)
	next.State, next.Share, next.Reason = s.GetState(), min(s.GetShare(), FullShare), s.GetReason()
	next.Seen, next.Exposed = max(old.GetSeen(), s.GetSeen()), max(old.GetExposed(), s.GetExposed())
	next.Revision, next.Changed = index, timestamppb.New(now)
	switch s.GetState() {
	case statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED:
		next.Share, next.Baseline = FullShare, next.GetTarget()
	case statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK:
		next.Share = 0
	case statev1.RolloutState_ROLLOUT_STATE_UNSPECIFIED, statev1.RolloutState_ROLLOUT_STATE_RUNNING:
		next.State = statev1.RolloutState_ROLLOUT_STATE_RUNNING
	}
	l.put(next)
	return &statev1.RolloutResult{Rollout: next, Changed: true}
}

// SetBaselines records versions in use of services without a running order. It reports whether any has changed.
func (l *Ledger) SetBaselines(index uint64, all *statev1.Baselines, now time.Time) bool {
	changed := false
	for _, b := range all.GetBaselines() {
		old := l.rollouts[b.GetService()]
		if Running(old) || old.GetRevision() != b.GetRevision() || old.GetBaseline() == b.GetVersion() {
			continue
		}
		next := &statev1.Rollout{Service: b.GetService()}
		if old != nil {
			next = proto.CloneOf(old)
		}
		next.Baseline, next.Revision, next.Changed = b.GetVersion(), index, timestamppb.New(now)
		l.rollouts[b.GetService()] = next
		changed = true
	}
	if changed {
		l.sort()
	}
	return changed
}

// Find returns the rollout of a service, or nil.
func (l *Ledger) Find(service string) *statev1.Rollout {
	return l.rollouts[service]
}

// List returns all rollouts, sorted by service. Callers must not modify the slice.
func (l *Ledger) List() []*statev1.Rollout {
	return l.list
}

func (l *Ledger) put(r *statev1.Rollout) {
	l.rollouts[r.GetService()] = r
	l.sort()
}

func (l *Ledger) sort() {
	l.list = make([]*statev1.Rollout, 0, len(l.rollouts))
	for _, service := range slices.Sorted(maps.Keys(l.rollouts)) {
		l.list = append(l.list, l.rollouts[service])
	}
}

// Save writes the ledger to a snapshot.
func (l *Ledger) Save(state *statev1.State) {
	state.Rollouts = l.List()
}

// Load replaces the ledger with that of a snapshot. Snapshots of older programs have none.
func (l *Ledger) Load(state *statev1.State) {
	l.rollouts = make(map[string]*statev1.Rollout, len(state.GetRollouts()))
	for _, r := range state.GetRollouts() {
		l.rollouts[r.GetService()] = r
	}
	l.sort()
}
