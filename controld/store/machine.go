// Package store holds the replicated state of the control hosts: the configuration, as patched versions or as complete
// documents, the at-most-once ledger, evacuated data centres, departed leaves,
// rollouts and blocked requests.
package store

import (
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/quarantiner"
	"lycheelift.example/lib/registrar"
	"lycheelift.example/lib/roller"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Machine is the state machine that the replicated log drives. Commands are applied one at a time; reads may run
// concurrently.
type Machine struct {
	mu            sync.RWMutex
	configuration *configurator.Machine
	ledger        *registrar.Ledger
	documents     *configurator.Documents
	evacuated     map[string]bool
	// orders holds the index of the newest evacuation order for each data centre.
	orders     map[string]uint64
	departures *enroller.Departures
	rollouts   *roller.Ledger
	blocks     quarantiner.Blocks
	members    *statev1.Members
	time       time.Time
	index      uint64
	// changed is closed and replaced when documents, evacuations, departures, rollouts or blocks have changed.
	changed chan struct{}
}

// MachineOption configures a machine.
type MachineOption func(*Machine)

// WithConfiguration sets the configuration's state machine.
func WithConfiguration(c *configurator.Machine) MachineOption {
	return func(m *Machine) { m.configuration = c }
}

// WithLedger sets the at-most-once ledger.
func WithLedger(l *registrar.Ledger) MachineOption {
	return func(m *Machine) { m.ledger = l }
}

// NewMachine returns a machine with an empty configuration and an empty ledger.
func NewMachine(options ...MachineOption) *Machine {
	m := &Machine{
		configuration: configurator.New(), ledger: registrar.New(), documents: configurator.NewDocuments(),
		evacuated: make(map[string]bool), orders: make(map[string]uint64), departures: enroller.NewDepartures(),
		rollouts: roller.NewLedger(), changed: make(chan struct{}),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Apply applies one command of the log. It is deterministic: it depends only on the state and the command, and takes the
// time from the timestamp that the leader set on the command.
func (m *Machine) Apply(index uint64, command *statev1.Command) *statev1.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	now := m.advanceTime(command)
	switch kind := command.GetKind().(type) {
	case *statev1.Command_Patch:
		return &statev1.Result{Kind: &statev1.Result_Patch{Patch: m.configuration.Apply(kind.Patch, now)}}
	case *statev1.Command_Begin:
		return &statev1.Result{Kind: &statev1.Result_Begin{Begin: m.ledger.Begin(kind.Begin, now)}}
	case *statev1.Command_Finish:
		return &statev1.Result{Kind: &statev1.Result_Finish{Finish: m.ledger.Finish(kind.Finish, now)}}
	case *statev1.Command_Members:
		m.members = kind.Members
		return &statev1.Result{Kind: &statev1.Result_Members{Members: m.members}}
	case *statev1.Command_Document:
		return m.applyDocument(kind.Document, now)
	case *statev1.Command_Evacuation:
		return m.applyEvacuation(index, kind.Evacuation, now)
	case *statev1.Command_Departure:
		return m.applyDeparture(kind.Departure, now)
	case *statev1.Command_Rollout:
		return m.reply(m.rollouts.Order(index, kind.Rollout, now))
	case *statev1.Command_Step:
		return m.reply(m.rollouts.Step(index, kind.Step, now))
	case *statev1.Command_Baselines:
		return m.reply(&statev1.RolloutResult{Changed: m.rollouts.SetBaselines(index, kind.Baselines, now)})
	case *statev1.Command_Blocks:
		return m.applyBlocks(kind.Blocks)
	case nil:
		return &statev1.Result{}
	default:
		return &statev1.Result{Kind: &statev1.Result_Failure{Failure: &statev1.Failure{Text: "this host does not know the command; it runs an older program"}}}
	}
}

// advanceTime moves the state's time forward. An earlier timestamp, such as from a new leader whose clock is behind, does
// not move it back: an expired key must not become valid again.
func (m *Machine) advanceTime(command *statev1.Command) time.Time {
	if t := command.GetTime(); t.IsValid() && t.AsTime().After(m.time) {
		m.time = t.AsTime()
	}
	return m.time
}

// Stamp sets the command's time before the leader appends it: the leader's clock, or the time of the state when that is
// later.
func (m *Machine) Stamp(command *statev1.Command, now time.Time) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if now.Before(m.time) {
		now = m.time
	}
	command.Time = timestamppb.New(now)
}

// Snapshot encodes the complete state. Commands are blocked only while it is copied, not while it is encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	state, ledger := m.copyState()
	ledger.Save(state)
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return out, oops.In("store").Wrapf(err, "encode the snapshot")
}

// copyState copies the state. Versions and audit entries are immutable, so they are shared.
func (m *Machine) copyState() (*statev1.State, *registrar.Frozen) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state := &statev1.State{Members: m.members}
	if !m.time.IsZero() {
		state.Time = timestamppb.New(m.time)
	}
	m.configuration.Save(state)
	m.documents.Save(state)
	m.saveEvacuated(state)
	m.departures.Save(state)
	m.rollouts.Save(state)
	m.blocks.Save(state)
	return state, m.ledger.Freeze()
}

// Restore replaces the complete state with a snapshot that includes the log up to an index. Hosts that follow this one ignore
// state with a lower index than they have seen. After an error the machine must not be used.
func (m *Machine) Restore(index uint64, data []byte) error {
	state := &statev1.State{}
	if err := proto.Unmarshal(data, state); err != nil {
		return oops.In("store").Wrapf(err, "decode the snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.configuration.Load(state); err != nil {
		return oops.In("store").Wrapf(err, "restore the configuration")
	}
	if err := m.ledger.Load(state); err != nil {
		return oops.In("store").Wrapf(err, "restore the ledger")
	}
	m.documents.Load(state)
	m.loadEvacuated(state)
	m.departures.Load(state)
	m.rollouts.Load(state)
	m.blocks.Load(state)
	m.index = index
	m.notifyChanged()
	m.members = state.GetMembers()
	m.time = time.Time{}
	if t := state.GetTime(); t != nil {
		m.time = state.GetTime().AsTime()
	}
	return nil
}
