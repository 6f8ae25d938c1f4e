package leaf

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// restart is the time that a crashed stand-in takes to come back.
const restart = 300 * time.Millisecond

// Execute answers one call.
func (l *Leaf) Execute(ctx context.Context, in *backendv1.ExecuteRequest) (*backendv1.ExecuteResponse, error) {
	spend, err := l.admit(in)
	if err != nil {
		return nil, err
	}
	defer l.release()
	select {
	case <-time.After(spend):
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	l.finish(in)
	return &backendv1.ExecuteResponse{
		Attempt: in.GetAttempt(), Snapshot: in.GetSnapshot(), Shard: in.GetShard(),
		Body: fmt.Appendf(nil, "%s/%d/%d:%s", in.GetService(), in.GetSnapshot(), in.GetShard(), in.GetBody()),
	}, nil
}

// admit counts the call and refuses it above the capacity.
func (l *Leaf) admit(in *backendv1.ExecuteRequest) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Calls++
	l.record.Last = time.Now()
	if in.GetEpoch() < l.epoch {
		l.record.Stale++
	}
	l.epoch = max(l.epoch, in.GetEpoch())
	if l.behave.Crash != "" && string(in.GetBody()) == l.behave.Crash {
		l.record.Crashes++
		l.active++
		go l.crash()
		return time.Hour, nil
	}
	if !l.holds(in.GetSnapshot(), in.GetShard()) {
		return 0, refuse(in, connect.CodeFailedPrecondition, backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE)
	}
	if l.state > backendv1.State_STATE_WARM {
		l.record.Drained++
		return 0, refuse(in, connect.CodeUnavailable, backendv1.FaultKind_FAULT_KIND_DRAINING)
	}
	capacity := int64(l.config.Slots)
	cold := l.state == backendv1.State_STATE_COLD
	if cold {
		capacity = min(capacity, int64(max(l.behave.Bearing, 1)))
	}
	if l.active >= capacity {
		l.record.Excess++
		l.record.Shed++
		if cold {
			l.record.ColdExcess++
		}
		return 0, refuse(in, connect.CodeResourceExhausted, backendv1.FaultKind_FAULT_KIND_SHED)
	}
	l.active++
	l.record.Peak = max(l.record.Peak, l.active)
	if in.GetKey() != "" {
		l.record.Keys[in.GetKey()]++
	}
	return l.spend(cold), nil
}

// coldFactor is how many times longer a cold server takes.
const coldFactor = 4

func (l *Leaf) spend(cold bool) time.Duration {
	if l.behave.Frozen {
		return time.Hour
	}
	d := float64(l.behave.Latency)
	if l.random.Float64() < l.behave.Slow {
		d *= l.behave.Factor
	}
	if cold {
		d *= coldFactor
	}
	return time.Duration(d)
}

func (l *Leaf) holds(snapshot uint64, shard uint32) bool {
	for _, h := range l.holdings {
		if h.GetSnapshot() == snapshot && h.GetShard() == shard {
			return true
		}
	}
	return false
}

func (l *Leaf) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

func (l *Leaf) finish(_ *backendv1.ExecuteRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Ran++
	l.served++
	if l.state == backendv1.State_STATE_COLD && l.served >= l.behave.Warm {
		l.state = backendv1.State_STATE_WARM
		l.record.Warmed = time.Now()
	}
}

// crash closes every connection and comes back later, cold, under a new incarnation.
func (l *Leaf) crash() {
	l.Stop()
	time.Sleep(restart)
	_ = l.Start(context.Background(), time.Now())
}

func refuse(in *backendv1.ExecuteRequest, code connect.Code, kind backendv1.FaultKind) error {
	out := connect.NewError(code, errors.New(kind.String()))
	detail, err := connect.NewErrorDetail(&backendv1.Fault{Attempt: in.GetAttempt(), Kind: kind})
	if err == nil {
		out.AddDetail(detail)
	}
	return out
}
