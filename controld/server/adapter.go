package server

import (
	"context"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/configurator"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// log is what the adapter needs of the replica.
type log interface {
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	Barrier(ctx context.Context) error
}

// adapter runs the configuration behind the replicated log until the full state machine replaces it. Its snapshot
// is the list of patches, because the machine cannot be restored in another way yet.
type adapter struct {
	peerv1.UnimplementedControlServiceServer

	log     log
	mu      sync.Mutex
	machine *configurator.Machine
	applied []*statev1.Record
}

func newAdapter() *adapter {
	return &adapter{machine: configurator.New()}
}

// Apply decides one patch.
func (a *adapter) Apply(index uint64, c *statev1.Command) *statev1.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.apply(&statev1.Record{Index: index, Command: c})
}

func (a *adapter) apply(r *statev1.Record) *statev1.Result {
	p := r.GetCommand().GetPatch()
	if p == nil {
		return &statev1.Result{Kind: &statev1.Result_Failure{Failure: &statev1.Failure{Text: "this command is not supported"}}}
	}
	a.applied = append(a.applied, r)
	return &statev1.Result{Kind: &statev1.Result_Patch{Patch: a.machine.Apply(p, r.GetCommand().GetTime().AsTime())}}
}

// Snapshot encodes the patches.
func (a *adapter) Snapshot() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, err := proto.Marshal(&statev1.Batch{Records: a.applied})
	return out, oops.In("server").Wrap(err)
}

// Restore runs the patches of a snapshot.
func (a *adapter) Restore(state []byte) error {
	batch := &statev1.Batch{}
	if err := proto.Unmarshal(state, batch); err != nil {
		return oops.In("server").Wrap(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine, a.applied = configurator.New(), nil
	for _, r := range batch.GetRecords() {
		a.apply(r)
	}
	return nil
}

// Patch records a patch and returns its result.
func (a *adapter) Patch(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	result, err := a.log.Propose(ctx, &statev1.Command{Kind: &statev1.Command_Patch{Patch: p}})
	return result.GetPatch(), err
}

// Show returns a version; the newest one is read linearizably.
func (a *adapter) Show(ctx context.Context, number uint64) (*statev1.Version, error) {
	if err := a.log.Barrier(ctx); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if number == 0 {
		return a.machine.Current(), nil
	}
	v, ok := a.machine.Version(number)
	if !ok {
		return nil, oops.In("server").Errorf("version %d is not kept", number)
	}
	return v, nil
}

// History returns the audit trail.
func (a *adapter) History(ctx context.Context, _ uint64, _ int) ([]*statev1.Audit, error) {
	if err := a.log.Barrier(ctx); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Audits(), nil
}

// Fetch returns the newest version that this host has to an entry host that has an older one.
func (a *adapter) Fetch(_ context.Context, in *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.machine.Current()
	if v.GetNumber() <= in.GetVersion() {
		return &peerv1.FetchResponse{}, nil
	}
	return &peerv1.FetchResponse{Version: v}, nil
}
