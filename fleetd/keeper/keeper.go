// Package keeper implements a control host on a platform without a list of hosts: it accepts configurations,
// evacuations and heartbeats of leaves, and streams the resulting state to the hosts that follow it.
package keeper

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/controld/replica"
	"lycheelift.example/controld/store"
	"lycheelift.example/lib/enroller"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/journaler"
	"lycheelift.example/lib/peeker"
	"lycheelift.example/lib/quarantiner"
	"lycheelift.example/lib/repeater"
	"lycheelift.example/lib/router"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// leaderContactTimeout is the time without contact with a leader after which this host no longer counts as up to date.
	leaderContactTimeout = 700 * time.Millisecond
	// decisionTimeout bounds a change and a read: callers switch to another host after a second.
	decisionTimeout = 900 * time.Millisecond
	// sweepInterval is the time between checks for leaves whose heartbeats have stopped.
	sweepInterval = time.Second
)

// ErrUndecided means that a change may or may not have been made, or that a read may not be current. The caller should
// retry, on this host or another one.
var ErrUndecided = errors.New("no majority of the control hosts has answered in time")

// Log is the replicated log.
type Log interface {
	Status() replica.Status
}

// trials admits one request of a suspected fingerprint at a time.
type trials interface {
	Begin(fingerprint uint64, id string, until, now time.Time) time.Duration
	End(fingerprint uint64, id string)
}

// Keeper is the state of one control host. It is safe for concurrent use.
type Keeper struct {
	host   string
	center string
	store  *store.Store
	log    Log
	roster *enroller.Roster
	// losses tracks requests that are suspected of crashing the leaves that run them.
	losses *quarantiner.Ledger
	// blocks tracks the records of blocks that the losses include.
	blocks adoptedBlocks
	// leader tells the streams when a leader has been heard.
	leader leaderSignal
	// reads serves the calls by which followers confirm their state.
	reads sharedReads
	// trials holds the suspected requests that run at present.
	trials trials
	clock  func() time.Time
	// rollouts runs the orders for versions of services.
	rollouts *rollouts
	decode   Decoder
	// table is that of the newest document that was decoded.
	table atomic.Pointer[router.Table]

	mu sync.Mutex
	// followers counts the entry hosts that follow this host. peers holds the state of the other control hosts, by address.
	followers int
	peers     map[string]peerStatus
	// streams counts the open streams of each entry host that follows this host.
	streams map[follower]int
	// reachable caches the list of reachable entry hosts; nil after a change. reachableVia holds the addresses of the
	// control hosts from which messages arrived when the list was built.
	reachable    []*peerv1.EntryHost
	reachableVia []string
	// lastRemoteContact is when a leaf or an entry host of another data centre last contacted this host.
	lastRemoteContact time.Time
	// controlAddress is where this host serves leaves and operators, and peerAddress where it serves other hosts.
	controlAddress netip.AddrPort
	peerAddress    string
}

// Decoder decodes and validates a configuration document.
type Decoder func(body []byte) (*router.Document, error)

// Option configures a keeper.
type Option func(*Keeper)

// WithDecoder sets the function with which the keeper learns the services that the configuration names. Without it, all
// services count as named, and orders for versions of services are refused.
func WithDecoder(decode Decoder) Option {
	return func(k *Keeper) { k.decode = decode }
}

// New returns a keeper. controlAddress is where this host serves leaves and operators, and peerAddress where it serves
// other hosts.
func New(host, center string, controlAddress netip.AddrPort, peerAddress string, s *store.Store, log Log, clock func() time.Time,
	options ...Option,
) *Keeper {
	k := &Keeper{
		host: host, center: center, controlAddress: controlAddress, peerAddress: peerAddress, store: s, log: log, clock: clock,
		losses: quarantiner.NewLedger(), trials: quarantiner.NewTrials(), peers: make(map[string]peerStatus), streams: make(map[follower]int),
		rollouts: newRollouts(),
	}
	k.roster = enroller.New(enroller.WithServices(k.named))
	for _, o := range options {
		o(k)
	}
	return k
}

// named reports whether the configuration in force names a service. All services count as named while there is none.
func (k *Keeper) named(service string) bool {
	table := k.tableOf(k.store.Current())
	return table == nil || table.Names(service)
}

// tableOf returns the table of a configuration. It is nil without a configuration or a decoder, and if the configuration cannot be
// decoded: another program has validated it, and nothing is known of its services.
func (k *Keeper) tableOf(d *statev1.Document) *router.Table {
	if d == nil || k.decode == nil {
		return nil
	}
	known := k.table.Load()
	if known != nil && known.Version() == d.GetVersion() {
		return known
	}
	document, err := k.decode(d.GetBody())
	if err != nil {
		eventer.VersionRejected.Log(k.clock(), "version", d.GetVersion(), "error", err.Error())
		return nil
	}
	table := router.NewTable(document)
	if known == nil || table.Version() > known.Version() {
		k.table.Store(table)
	}
	return table
}

// Settled reports whether this host has recently been in contact with a leader.
func (k *Keeper) Settled(now time.Time) bool {
	s := k.log.Status()
	return s.Failure == nil && s.Leader != "" && now.Sub(s.LastLeaderContact) < leaderContactTimeout
}

// Put makes a document the active configuration if its version is the highest.
func (k *Keeper) Put(ctx context.Context, d *router.Document, body []byte, author string) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	_, err := k.store.Put(ctx, &statev1.Document{Version: d.Version, Body: body, Author: author})
	return wrapUndecided(err)
}

// LogInvalidDocument logs an invalid document.
func (k *Keeper) LogInvalidDocument(author string, err error) {
	eventer.DocumentRefused.Log(k.clock(), "author", author, "error", err.Error())
}

// LogInvalidEvacuation logs an order for a data centre whose name is invalid.
func (k *Keeper) LogInvalidEvacuation(author string, err error) {
	eventer.EvacuationRefused.Log(k.clock(), "author", author, "error", err.Error())
}

// LogInvalidHeartbeat logs an unreadable or invalid heartbeat.
func (k *Keeper) LogInvalidHeartbeat(author string, err error) {
	eventer.AnnounceRejected.Log(k.clock(), "author", author, "error", err.Error())
}

// Document returns the body of the active configuration exactly as it was submitted, or nil if there is none.
func (k *Keeper) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	d, err := k.store.Document(ctx)
	return d.GetBody(), wrapUndecided(err)
}

// Evacuate takes the leaves of a data centre out of service, or puts them back if out is false. An order is not carried out
// once its author no longer waits for it, because the author may have sent a newer one to another host.
func (k *Keeper) Evacuate(ctx context.Context, center string, out bool, author string) error {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	waiting := func() bool { return peeker.CallerWaits(ctx) }
	return wrapUndecided(k.store.Evacuate(ctx, &statev1.Evacuation{Center: center, Out: out, Author: author}, waiting))
}

// Heartbeat processes a heartbeat of a leaf. It returns the address to which the leaf should send further heartbeats; the
// zero value means any control host.
func (k *Keeper) Heartbeat(ctx context.Context, l *enroller.Leaf) (netip.AddrPort, error) {
	now := k.clock()
	k.noteContact(l.Center, now)
	if l.Leaving {
		if known, ok := k.roster.Find(l.Name); ok && k.named(known.Service) && !k.named(l.Service) {
			k.logContradiction(l, now) // It says nothing about a leaf of another service.
			return netip.AddrPort{}, nil
		}
		k.roster.Put(l, now)
		return netip.AddrPort{}, k.Leave(ctx, l.Name, l.Born)
	}
	if k.store.Departed(l.Name, l.Born) {
		return netip.AddrPort{}, nil
	}
	switch k.roster.Put(l, now) {
	case enroller.Changed:
		eventer.LeafUpdated.Log(now, "leaf", l.Name, "born", l.Born, "sequence", l.Sequence, "service", l.Service,
			"address", l.Address.String(), "center", l.Center, "cold", l.ColdUntil.Sub(now))
	case enroller.Conflicting:
		k.logContradiction(l, now)
	case enroller.Same, enroller.Stale:
	}
	return k.controlAddressIn(l.Center, now), nil
}

func (*Keeper) logContradiction(l *enroller.Leaf, now time.Time) {
	eventer.HeartbeatContradictory.Log(now, "leaf", l.Name, "born", l.Born, "sequence", l.Sequence, "service", l.Service, "address", l.Address.String())
}

// Reasons why a departure without the start of the incarnation is not recorded.
var (
	errLeafGone    = errors.New("the leaf no longer waits for the acknowledgement")
	errLeafUnknown = errors.New("this host does not know the leaf that leaves; another one may")
)

// Leave records that an incarnation of a leaf has left. It returns once the record is committed. If born is 0, the
// incarnation in the roster is meant; that is only certain while the leaf waits, because a later one may have the same name.
func (k *Keeper) Leave(ctx context.Context, name string, born uint64) error {
	now := k.clock()
	if born == 0 {
		l, ok := k.roster.Find(name)
		switch {
		case !ok && k.store.HasDeparted(name):
			return nil // It was heard and forgotten since.
		case !ok:
			return wrapUndecided(errLeafUnknown)
		case !peeker.CallerWaits(ctx):
			return wrapUndecided(errLeafGone)
		}
		born = l.Born
	}
	k.roster.Leave(name, born, now)
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	return wrapUndecided(k.store.Depart(ctx, &statev1.Departure{Leaf: name, Born: born}))
}

// wrapUndecided wraps an error of the store in ErrUndecided.
func wrapUndecided(err error) error {
	if err == nil {
		return nil
	}
	return oops.In("keeper").Wrapf(errors.Join(ErrUndecided, err), "not decided")
}

// controlAddressIn returns the address of a live control host in a data centre, or the zero value if none is known.
func (k *Keeper) controlAddressIn(center string, now time.Time) netip.AddrPort {
	if center == k.center {
		return k.controlAddress
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.peers {
		if c.center == center && now.Sub(c.lastSeen) < leaderContactTimeout {
			address, err := netip.ParseAddrPort(c.control)
			if err == nil {
				return address
			}
		}
	}
	return netip.AddrPort{}
}

// Run removes leaves whose heartbeats have stopped and saves the roster in a folder, until ctx ends.
func (k *Keeper) Run(ctx context.Context, folder journaler.FileSystem) {
	known, err := k.roster.Load(folder, k.clock())
	if err != nil {
		eventer.RosterLoadFailed.Log(k.clock(), "error", err.Error())
	}
	eventer.RosterLoaded.Log(k.clock(), "leaves", known)
	go k.watchLeader(ctx)
	saved := k.roster.Since(0, false).Revision
	repeater.Every(ctx, sweepInterval, func() {
		now := k.clock()
		for _, l := range k.roster.Expire(now) {
			eventer.LeafExpired.Log(now, "leaf", l.Name, "born", l.Born, "service", l.Service, "leaving", l.Leaving)
		}
		saved = k.save(folder, saved)
	})
}

// save writes the roster if it has changed since a revision, and returns the last revision written.
func (k *Keeper) save(folder journaler.FileSystem, saved uint64) uint64 {
	batch := k.roster.Since(saved, false)
	if len(batch.Leaves) == 0 {
		return saved
	}
	if err := k.roster.Save(folder); err != nil {
		eventer.RosterSaveFailed.Log(k.clock(), "error", err.Error())
		return saved
	}
	return batch.Revision
}
