package explainer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/divider"
	"lycheelift.example/lib/selector"
	"lycheelift.example/platform"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// encode converts an explanation to its message. Times become durations relative to the host's time.
func encode(e *answerer.Explanation) *peerv1.ExplainResponse {
	out := &peerv1.ExplainResponse{
		Host: e.Host, Center: e.Center, At: timestamppb.New(e.At), Version: e.Version, Stale: since(e.Contact, e.At), Stopping: until(e.StopsAt, e.At),
		Priority: int32(e.Priority), Needed: uint32(e.Needed), //nolint:gosec // Configured, and bounded by the document.
		Rejection: encodeRejection(e.Check, e.Rejection), Quota: encodeQuota(e),
		Shards: encodeShards(e.Shards, e.At), Typical: present(e.Typical), Hedge: present(e.Hedge), Evacuated: e.Evacuated,
	}
	if e.Route != nil {
		out.Route, out.Public = e.Route.Name, e.Route.Public
	}
	if e.Tenant != nil {
		out.Tenant = e.Tenant.Name
	}
	for i := range e.Portions {
		out.Portions = append(out.Portions, encodePortion(&e.Portions[i], e.At))
	}
	return out
}

func encodeRejection(check string, r *carrier.Reply) *peerv1.ExplainRejection {
	if r == nil {
		return nil
	}
	return &peerv1.ExplainRejection{Check: check, Status: uint32(platform.Status(r.Outcome)), Reason: r.Reason, Retry: present(r.RetryAfter)} //nolint:gosec // An HTTP status.
}

func encodeQuota(e *answerer.Explanation) *peerv1.ExplainQuota {
	if e.Tenant == nil {
		return nil
	}
	out := &peerv1.ExplainQuota{Limited: e.Tenant.Limited(), Rate: e.Tenant.Rate, Burst: e.Tenant.Burst}
	if q := e.Quota; q != nil {
		out.Known, out.Stock, out.Valid = true, q.Stock, until(q.ValidUntil, e.At)
		out.Silence = present(q.Silence)
	}
	return out
}

func encodeShards(in []answerer.ShardChoice, now time.Time) []*peerv1.ExplainShard {
	out := make([]*peerv1.ExplainShard, 0, len(in))
	for i := range in {
		out = append(out, encodeShard(&in[i], now))
	}
	return out
}

// minChance is the probability of another choice from which chance is said to decide.
const minChance = 0.001

var progressNames = map[statev1.RolloutState]string{
	statev1.RolloutState_ROLLOUT_STATE_RUNNING:    progressRunning,
	statev1.RolloutState_ROLLOUT_STATE_SUCCEEDED:  "succeeded",
	statev1.RolloutState_ROLLOUT_STATE_ROLLEDBACK: "rolled back",
}

const progressRunning = "running"

func encodeShard(s *answerer.ShardChoice, now time.Time) *peerv1.ExplainShard {
	out := &peerv1.ExplainShard{Service: s.Service, Share: s.Share, Odds: s.Odds, Forced: s.Forced, Omitted: s.Omitted, Group: string(s.Group)}
	if s.Choice >= 0 {
		out.Leaf, out.Chance = s.Candidates[s.Choice].Leaf.Name, s.Odds < 1-minChance
	}
	if s.Runner >= 0 {
		out.Runner = s.Candidates[s.Runner].Leaf.Name
		out.Margin = s.Candidates[s.Runner].Cost - s.Candidates[s.Choice].Cost
	}
	for i := range s.Candidates {
		out.Leaves = append(out.Leaves, encodeLeaf(&s.Candidates[i], now))
	}
	if r := s.Rollout; r != nil {
		out.Rollout = &peerv1.ExplainRollout{Baseline: r.Baseline, Target: r.Target, Progress: progressNames[r.Progress], Share: r.Share, Suspended: r.Suspended}
	}
	if s.Trial != nil {
		out.Trial = encodeShard(s.Trial, now)
	}
	return out
}

func encodeLeaf(c *selector.Candidate, now time.Time) *peerv1.ExplainLeaf {
	l := c.Leaf
	out := &peerv1.ExplainLeaf{
		Leaf: l.Name, Address: l.Address.String(), Center: l.Center, Program: l.Program, Slots: uint32(max(l.Slots, 0)), //nolint:gosec // Not negative.
		Barred: string(c.Barred), Left: until(c.Until, now), Calls: uint32(c.Calls), //nolint:gosec // Not negative.
		Assumed: c.Assumed, Ratio: c.Ratio, Failure: c.FailureRate, Known: c.Known, Backing: c.BackingOff,
	}
	if now.Before(l.ColdUntil) {
		out.Cold = until(l.ColdUntil, now)
	}
	if !c.LoadAt.IsZero() {
		out.Load, out.Age = &c.Load, since(c.LoadAt, now)
	}
	if c.Reported > 0 {
		out.Slowness = &c.Reported
	}
	if c.Slowness > 0 {
		out.Expected = &c.Slowness
	}
	if c.Barred == "" {
		out.Cost = &c.Cost
	}
	return out
}

func encodePortion(p *answerer.PortionChoice, now time.Time) *peerv1.ExplainPortion {
	out := &peerv1.ExplainPortion{
		Key: p.Portion.Key, Center: p.Portion.Center, Services: p.Portion.Services, Address: p.Host, Local: p.Local, Wait: present(p.Wait),
		Shards: encodeShards(p.Shards, now),
	}
	if p.Runner >= 0 {
		out.Runner = p.Candidates[p.Runner].Host
		out.Margin = durationpb.New(p.Candidates[p.Runner].Expected - p.Candidates[p.Choice].Expected)
	}
	for i := range p.Candidates {
		out.Hosts = append(out.Hosts, encodeHost(&p.Candidates[i], now))
	}
	return out
}

func encodeHost(c *divider.Candidate, now time.Time) *peerv1.ExplainHost {
	out := &peerv1.ExplainHost{
		Address: c.Host, Connected: c.Connected, Left: until(c.RetryAt, now), Pending: uint32(max(c.Pending, 0)), Expected: durationpb.New(c.Expected), //nolint:gosec // Not negative.
	}
	if !c.MeasuredAt.IsZero() {
		out.Latency, out.Age = durationpb.New(c.Latency), since(c.MeasuredAt, now)
	}
	return out
}

// present returns the message of a duration, nil for 0.
func present(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// since and until return the duration from or to a time, nil for the zero time.
func since(t, now time.Time) *durationpb.Duration {
	if t.IsZero() {
		return nil
	}
	return durationpb.New(now.Sub(t))
}

func until(t, now time.Time) *durationpb.Duration {
	if t.IsZero() {
		return nil
	}
	return durationpb.New(t.Sub(now))
}
