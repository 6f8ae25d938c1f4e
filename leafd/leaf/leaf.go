// Package leaf is a stand-in backend server: it announces itself, has slots, a cold start and index snapshots,
// and can be set to misbehave.
package leaf

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/transporter"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
)

// Behaviour holds the settings of a stand-in that can be changed while it runs.
type Behaviour struct {
	// Latency is the usual time of a call.
	Latency time.Duration `json:"latency"`
	// SlowFraction is the fraction of calls that take SlowFactor times as long, 0 to 1.
	SlowFraction float64 `json:"slow"`
	// SlowFactor is how many times longer a slow call takes.
	SlowFactor float64 `json:"factor"`
	// ColdCapacity is the number of concurrent calls that a cold server can handle.
	ColdCapacity int `json:"bearing"`
	// WarmUpCalls is the number of calls after which a cold server is warm.
	WarmUpCalls int `json:"warm"`
	// HideCold makes a cold server announce itself as warm.
	HideCold bool `json:"silent"`
	// CrashBody is the request body that crashes the server.
	CrashBody string `json:"crash"`
	// Hang makes calls hang until their deadline.
	Hang bool `json:"frozen"`
	// MuteAnnouncements stops announcements.
	MuteAnnouncements bool `json:"mute"`
	// AcceptDelay is the time before a new connection carries data.
	AcceptDelay time.Duration `json:"dial"`
	// SilenceGeneration makes all open connections stop carrying data when it is raised. Connections opened later work.
	SilenceGeneration int `json:"hush"`
}

// Record holds the counters of a stand-in. Tests compare them with what the system reports.
type Record struct {
	Leaf string `json:"leaf"`
	// Calls is the number of calls received.
	Calls int64 `json:"calls"`
	// Completed is the number of calls that completed.
	Completed int64 `json:"ran"`
	// ShedCalls is the number of calls refused for lack of capacity.
	ShedCalls int64 `json:"shed"`
	// ExcessCalls is the number of calls received above the capacity at that moment.
	ExcessCalls int64 `json:"excess"`
	// ColdExcessCalls is the number of ExcessCalls that were received while cold.
	ColdExcessCalls int64 `json:"coldexcess"`
	// PeakCalls is the largest number of concurrent calls.
	PeakCalls int64 `json:"peak"`
	// OpenConnections is the number of open connections, OpenedConnections the number opened so far, PeakConnections the
	// largest number open at the same time.
	OpenConnections   int64 `json:"connections"`
	OpenedConnections int64 `json:"opened"`
	PeakConnections   int64 `json:"most"`
	// RefusedConnections is the number of connections closed because the limit was reached.
	RefusedConnections int64 `json:"refused"`
	Crashes            int64 `json:"crashes"`
	// StaleCalls is the number of calls with an epoch lower than one seen before.
	StaleCalls int64 `json:"stale"`
	// DrainingCalls is the number of calls received while draining or leaving.
	DrainingCalls int64 `json:"drained"`
	// WarmedAt is when the server last became warm.
	WarmedAt time.Time `json:"warmed"`
	// RunsByKey counts the runs of each idempotency key.
	RunsByKey map[string]int `json:"keys,omitempty"`
	// LastCallAt is when the last call arrived.
	LastCallAt time.Time `json:"last"`
}

// Config describes a stand-in.
type Config struct {
	Name        string
	Center      string
	Service     string
	Slots       int
	Connections int
	Holdings    []*backendv1.Holding
	Address     string
	Entries     []string
	// Security is the TLS identity for connections to entry hosts; nil means no TLS.
	Security *transporter.Security
	Seed     uint64
	// AnnounceInterval is the time between two announcements; zero means 500 ms.
	AnnounceInterval time.Duration
	Behaviour        Behaviour
}

// Leaf is one running stand-in.
type Leaf struct {
	config   Config
	client   *http.Client
	security *transporter.Security
	// owner is the address of the owner as named by an entry host. Only the announcing goroutine uses it.
	owner string

	mu          sync.Mutex
	behaviour   Behaviour
	record      Record
	random      *rand.Rand
	state       backendv1.State
	served      int
	holdings    []*backendv1.Holding
	active      int64
	epoch       uint64
	incarnation uint64
	sequence    atomic.Uint64
	server      *http.Server
	address     string
}

// sharedClient returns the HTTP client that all stand-ins of a process use for announcements. With one client each, 1980
// stand-ins would keep up to 6000 connections open and ping each of them every second.
var sharedClient = sync.OnceValue(func() *http.Client {
	return transporter.NewClient(transporter.PingPolicy{Interval: time.Second, Timeout: time.Second})
})

// New returns a stand-in that is not started yet. It starts cold and becomes warm after WarmUpCalls calls.
func New(c Config) *Leaf {
	l := &Leaf{
		config: c, behaviour: c.Behaviour, random: rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // Reproducible stand-in.
		client: sharedClient(), security: transporter.WithoutTLS(), holdings: c.Holdings,
	}
	if c.Security != nil {
		l.security = c.Security
		l.client = c.Security.Client(transporter.PingPolicy{Interval: time.Second, Timeout: time.Second})
	}
	l.record.Leaf = c.Name
	l.record.RunsByKey = make(map[string]int)
	return l
}

// Start listens and serves. It sends no announcements; Announce does.
func (l *Leaf) Start(ctx context.Context, now time.Time) error {
	address := l.config.Address
	if l.address != "" {
		address = l.address
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return oops.In("leaf").Wrapf(err, "listen")
	}
	mux := http.NewServeMux()
	mux.Handle(backendv1connect.NewLeafServiceHandler(l))
	server := transporter.NewServer(mux)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = listener.Addr().String()
	l.incarnation = uint64(now.UnixNano())
	l.server = server
	l.served = 0
	l.state = backendv1.State_STATE_COLD
	if l.behaviour.WarmUpCalls == 0 {
		l.state = backendv1.State_STATE_WARM
	}
	go func() { _ = server.Serve(&limitListener{Listener: listener, leaf: l}) }()
	return nil
}

// UpdateBehaviour applies f to the behaviour.
func (l *Leaf) UpdateBehaviour(f func(*Behaviour)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.behaviour)
}

// MakeCold makes the server cold again.
func (l *Leaf) MakeCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = backendv1.State_STATE_COLD
	l.served = 0
}

// SetState sets the announced state: draining, leaving, or back in service.
func (l *Leaf) SetState(s backendv1.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
}

// SetHoldings replaces the holdings, as a new index version does.
func (l *Leaf) SetHoldings(h []*backendv1.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = h
}

// SetSnapshot moves every holding to another snapshot.
func (l *Leaf) SetSnapshot(snapshot uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*backendv1.Holding, 0, len(l.holdings))
	for _, h := range l.holdings {
		out = append(out, &backendv1.Holding{Snapshot: snapshot, Shard: h.GetShard(), Shards: h.GetShards()})
	}
	l.holdings = out
}

// Record returns a copy of the counters.
func (l *Leaf) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.record
	out.RunsByKey = make(map[string]int, len(l.record.RunsByKey))
	for k, v := range l.record.RunsByKey {
		out.RunsByKey[k] = v
	}
	return out
}

// Address returns the address on which the server listens.
func (l *Leaf) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Stop closes the listener and every connection at once, as a crash does.
func (l *Leaf) Stop() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}
