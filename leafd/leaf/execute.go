package leaf

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// restartDelay is the time after which a crashed stand-in restarts.
const restartDelay = 300 * time.Millisecond

// Execute serves one call.
func (l *Leaf) Execute(ctx context.Context, in *backendv1.ExecuteRequest) (*backendv1.ExecuteResponse, error) {
	duration, err := l.admit(in)
	if err != nil {
		return nil, err
	}
	defer l.release()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	l.countCompleted(in)
	return &backendv1.ExecuteResponse{
		Attempt: in.GetAttempt(), Snapshot: in.GetSnapshot(), Shard: in.GetShard(),
		Body: fmt.Appendf(nil, "%s/%d/%d:%s", in.GetService(), in.GetSnapshot(), in.GetShard(), in.GetBody()),
	}, nil
}

// admit counts the call and returns its duration, or an error if the call is refused.
func (l *Leaf) admit(in *backendv1.ExecuteRequest) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Calls++
	l.record.LastCallAt = time.Now()
	if in.GetEpoch() < l.epoch {
		l.record.StaleCalls++
	}
	l.epoch = max(l.epoch, in.GetEpoch())
	if l.behaviour.CrashBody != "" && string(in.GetBody()) == l.behaviour.CrashBody {
		l.record.Crashes++
		l.active++
		go l.crash()
		return time.Hour, nil
	}
	if !l.holds(in.GetSnapshot(), in.GetShard()) {
		return 0, faultError(in, connect.CodeFailedPrecondition, backendv1.FaultKind_FAULT_KIND_SNAPSHOT_GONE)
	}
	if l.state > backendv1.State_STATE_WARM {
		l.record.DrainingCalls++
		return 0, faultError(in, connect.CodeUnavailable, backendv1.FaultKind_FAULT_KIND_DRAINING)
	}
	capacity := int64(l.config.Slots)
	cold := l.state == backendv1.State_STATE_COLD
	if cold {
		capacity = min(capacity, int64(max(l.behaviour.ColdCapacity, 1)))
	}
	if l.active >= capacity {
		l.record.ExcessCalls++
		l.record.ShedCalls++
		if cold {
			l.record.ColdExcessCalls++
		}
		return 0, faultError(in, connect.CodeResourceExhausted, backendv1.FaultKind_FAULT_KIND_SHED)
	}
	l.active++
	l.record.PeakCalls = max(l.record.PeakCalls, l.active)
	if in.GetKey() != "" {
		l.record.RunsByKey[in.GetKey()]++
	}
	return l.serviceTime(cold), nil
}

// coldFactor is how many times longer a call takes on a cold server.
const coldFactor = 4

func (l *Leaf) serviceTime(cold bool) time.Duration {
	if l.behaviour.Hang {
		return time.Hour
	}
	d := float64(l.behaviour.Latency)
	if l.random.Float64() < l.behaviour.SlowFraction {
		d *= l.behaviour.SlowFactor
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

func (l *Leaf) countCompleted(_ *backendv1.ExecuteRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Completed++
	l.served++
	if l.state == backendv1.State_STATE_COLD && l.served >= l.behaviour.WarmUpCalls {
		l.state = backendv1.State_STATE_WARM
		l.record.WarmedAt = time.Now()
	}
}

// crash closes every connection and restarts after a delay, cold and with a new incarnation.
func (l *Leaf) crash() {
	l.Stop()
	time.Sleep(restartDelay)
	_ = l.Start(context.Background(), time.Now())
}

func faultError(in *backendv1.ExecuteRequest, code connect.Code, kind backendv1.FaultKind) error {
	out := connect.NewError(code, errors.New(kind.String()))
	detail, err := connect.NewErrorDetail(&backendv1.Fault{Attempt: in.GetAttempt(), Kind: kind})
	if err == nil {
		out.AddDetail(detail)
	}
	return out
}
