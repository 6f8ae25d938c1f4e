// Package keeper is the gRPC service for entry hosts: the at-most-once ledger, the newest configuration and the record of
// answers.
package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/controld/store"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxName bounds tenants, keys and attempts, in bytes; entry hosts check the same bound on callers' requests.
const maxName = 256

// maxHosts bounds the reports in one request.
const maxHosts = 4096

// Store changes and reads the replicated state.
type Store interface {
	Begin(ctx context.Context, b *statev1.Begin) (*statev1.BeginResult, error)
	Finish(ctx context.Context, f *statev1.Finish) (*statev1.FinishResult, error)
	Fetch(version uint64, hosts []*statev1.InForce) *statev1.Version
	// Newest returns the number of the newest version in the local state.
	Newest() uint64
}

// Keeper serves the control service.
type Keeper struct {
	peerv1.UnimplementedControlServiceServer

	store  Store
	record Recorder
	clock  func() time.Time
}

// New returns the service over a store.
func New(s Store, record Recorder, clock func() time.Time) *Keeper {
	return &Keeper{store: s, record: record, clock: clock}
}

// Begin commits the intent to run a non-idempotent request. A response with REASON_NO_QUORUM means that the intent is not
// and will not be committed. After an error that is unknown, and the sender resends the same attempt.
func (k *Keeper) Begin(ctx context.Context, in *peerv1.BeginRequest) (*peerv1.BeginResponse, error) {
	b := in.GetBegin()
	if !validNames(b.GetKey(), b.GetAttempt()) || len(b.GetTenant()) > maxName || b.GetIssued() == nil || !b.GetIssued().IsValid() {
		return nil, invalidArgument("a begin needs a key, an attempt and an issue time; names have at most %d bytes", maxName)
	}
	result, err := k.store.Begin(ctx, b)
	switch {
	case errors.Is(err, store.ErrNotProposed):
		return &peerv1.BeginResponse{Reason: callerv1.Reason_REASON_NO_QUORUM}, nil
	case err != nil:
		return nil, outcomeUnknown(err)
	}
	return &peerv1.BeginResponse{Entry: result.GetEntry(), Run: result.GetRun(), Reason: result.GetReason()}, nil
}

// Finish commits the outcome of an attempt. After an error the sender resends it.
func (k *Keeper) Finish(ctx context.Context, in *peerv1.FinishRequest) (*peerv1.FinishResponse, error) {
	f := in.GetFinish()
	if !validNames(f.GetKey(), f.GetAttempt()) || len(f.GetTenant()) > maxName {
		return nil, invalidArgument("a finish needs a key and an attempt; names have at most %d bytes", maxName)
	}
	if _, err := k.store.Finish(ctx, f); err != nil {
		return nil, outcomeUnknown(err)
	}
	return &peerv1.FinishResponse{}, nil
}

// Fetch returns the newest version and stores the reports of versions in force.
func (k *Keeper) Fetch(_ context.Context, in *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	if len(in.GetHosts()) > maxHosts {
		return nil, invalidArgument("a fetch carries at most %d reports", maxHosts)
	}
	for _, h := range in.GetHosts() {
		if !validNames(h.GetHost()) {
			return nil, invalidArgument("a report needs a host name of at most %d bytes", maxName)
		}
	}
	return &peerv1.FetchResponse{Version: k.store.Fetch(in.GetVersion(), in.GetHosts()), Newest: k.store.Newest()}, nil
}

func validNames(names ...string) bool {
	for _, n := range names {
		if n == "" || len(n) > maxName {
			return false
		}
	}
	return true
}

func invalidArgument(format string, bound int) error {
	return status.Error(codes.InvalidArgument, oops.Errorf(format, bound).Error())
}

// outcomeUnknown returns an error after which the sender must assume that the command may have been committed.
func outcomeUnknown(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
