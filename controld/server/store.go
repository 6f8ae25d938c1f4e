package server

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/controld/pusher"
	"lycheelift.example/lib/configurator"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// store is the configuration of a single control host, in memory.
type store struct {
	peerv1.UnimplementedControlServiceServer

	clock   func() time.Time
	mu      sync.Mutex
	machine *configurator.Machine
	push    *pusher.Pusher
}

// Current returns the newest version.
func (s *store) Current() *statev1.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Current()
}

// Leading is true when the host has versions beyond the empty one; the store of one host has no leader.
func (s *store) Leading() bool {
	return s.Current().GetNumber() > 1
}

func (s *store) Patch(_ context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.push.Wake()
	return s.machine.Apply(p, s.clock()), nil
}

func (s *store) Show(_ context.Context, number uint64) (*statev1.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 {
		return s.machine.Current(), nil
	}
	v, ok := s.machine.Version(number)
	if !ok {
		return nil, oops.In("server").Errorf("version %d is not kept", number)
	}
	return v, nil
}

func (s *store) History(_ context.Context, _ uint64, _ int) ([]*statev1.Audit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Audits(), nil
}

// Fetch returns the newest version to an entry host that has an older one.
func (s *store) Fetch(_ context.Context, in *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	s.push.Report(in.GetHosts())
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.machine.Current()
	if v.GetNumber() <= in.GetVersion() {
		return &peerv1.FetchResponse{Newest: v.GetNumber()}, nil
	}
	return &peerv1.FetchResponse{Version: v, Newest: v.GetNumber()}, nil
}
