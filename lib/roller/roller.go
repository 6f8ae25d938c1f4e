// Package roller moves the traffic of a service from the version of its leaves that is in use to an ordered one, in steps,
// and moves it back if the ordered version is worse.
//
// Ledger is the replicated state: which version of each service is in use, and the newest order. Tally counts the calls of
// one entry host by version and route. Watch is the leader's view of one running order: it adds up the counts of all hosts
// and decides the next step. None of them has a clock or does I/O.
package roller

import (
	"errors"
	"fmt"
	"time"

	"lycheelift.example/lib/enroller"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// FullShare is the share in thousandths at which leaves of the target get all requests.
const FullShare = 1000

// FreshTimeout is the time without a message of a control host in contact with a leader after which an entry host sends
// nothing to a version whose order is still running.
const FreshTimeout = 2 * time.Second

const (
	// MinDuration is the shortest duration of an order: shorter ones leave no time to compare the versions.
	MinDuration = time.Second
	// MaxDuration is the longest duration of an order.
	MaxDuration = 7 * 24 * time.Hour
	maxVersion  = 256
)

// Defaults of Bounds for deployments whose settings do not bound rollouts.
const (
	DefaultExposure = 0.1
	DefaultRollback = 5 * time.Second
)

// Bounds limit the damage that a bad version can do.
type Bounds struct {
	// Exposure is the share of a service's requests, from 0 to 1, that a bad version may get, and Slack a number of requests
	// that it may get in addition.
	Exposure, Slack float64
	// Rollback is the time after many bad answers from which a bad version gets no more requests.
	Rollback time.Duration
}

// Errors of orders.
var (
	// ErrInvalid is wrapped by all errors about orders that can never be accepted.
	ErrInvalid = errors.New("invalid order")
	// ErrUnknownService means that the configuration in force does not name the service, or that no order was given for it.
	ErrUnknownService = errors.New("there is no such service or no order for it")
	// ErrRunning means that an order for the service is in progress.
	ErrRunning = errors.New("a rollout of the service is in progress")
)

// Validate checks an order's service, version and duration.
func Validate(service, version string, duration time.Duration) error {
	for _, f := range []struct{ field, text string }{{"service", service}, {"version", version}} {
		if f.text == "" {
			return fmt.Errorf("%w: the %s is empty", ErrInvalid, f.field)
		}
		if err := enroller.ValidateText(f.field, f.text); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	if len(version) > maxVersion {
		return fmt.Errorf("%w: a version of %d bytes", ErrInvalid, len(version))
	}
	if duration < MinDuration || duration > MaxDuration {
		return fmt.Errorf("%w: a duration of %s is not between %s and %s", ErrInvalid, duration, MinDuration, MaxDuration)
	}
	return nil
}

// Role is what leaves of one version of a service may get.
type Role int

const (
	// Stable leaves serve the requests that no order moves elsewhere.
	Stable Role = iota
	// Trial leaves get the share of the running order.
	Trial
	// Idle leaves get nothing while there are stable ones.
	Idle
)

// RoleOf returns the role of the leaves with a program version. A nil rollout makes all versions stable.
func RoleOf(r *statev1.Rollout, program string) Role {
	running := r.GetState() == statev1.RolloutState_ROLLOUT_STATE_RUNNING
	switch {
	case r == nil || r.GetBaseline() != "" && program == r.GetBaseline():
		return Stable
	case r.GetTarget() != "" && program == r.GetTarget():
		if running {
			return Trial
		}
		return Idle
	case r.GetBaseline() != "":
		return Idle
	}
	return Stable
}

// Running reports whether an order is in progress.
func Running(r *statev1.Rollout) bool {
	return r.GetState() == statev1.RolloutState_ROLLOUT_STATE_RUNNING
}

// NextBaseline returns the version that is to be recorded as the version in use, given the number of leaves of each version.
// It reports false if the recorded one stays: it still has leaves, an order is running, or there are no leaves at all.
func NextBaseline(r *statev1.Rollout, leaves map[string]int) (string, bool) {
	if Running(r) || r.GetBaseline() != "" && leaves[r.GetBaseline()] > 0 {
		return "", false
	}
	best, found := "", false
	for version, count := range leaves {
		if version == "" {
			continue
		}
		// A version that was rolled back comes last.
		rank := func(v string, n int) (bool, int) { return v != r.GetTarget(), n }
		sound, n := rank(version, count)
		bestSound, bestN := rank(best, leaves[best])
		better := sound && !bestSound || sound == bestSound && (n > bestN || n == bestN && version < best)
		if !found || better {
			best, found = version, true
		}
	}
	return best, found
}
