// Package leaf is a stand-in backend server: it announces itself, has slots, a cold start and index snapshots,
// and can be told to misbehave.
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

// Behaviour is what an operator of the stand-in can change while it runs.
type Behaviour struct {
	// Latency is the usual time of a call.
	Latency time.Duration `json:"latency"`
	// Slow is the part of calls that take Factor times as long, 0 to 1.
	Slow float64 `json:"slow"`
	// Factor is how many times longer a slow call takes.
	Factor float64 `json:"factor"`
	// Bearing is the number of calls at one time that a cold server can bear.
	Bearing int `json:"bearing"`
	// Warm is the number of calls after which a cold server is warm.
	Warm int `json:"warm"`
	// Silent stops the announcement of coldness: the server says that it is warm.
	Silent bool `json:"silent"`
	// Crash is the request body that crashes the server.
	Crash string `json:"crash"`
	// Frozen lets calls hang until their deadline.
	Frozen bool `json:"frozen"`
	// Mute stops announcements.
	Mute bool `json:"mute"`
	// Dial is the time that the server takes to accept a new connection.
	Dial time.Duration `json:"dial"`
	// Hush makes the connections that are open when it is raised go silent; later ones work.
	Hush int `json:"hush"`
}

// Record is what the stand-in counted; tests compare it with what the system states.
type Record struct {
	Leaf string `json:"leaf"`
	// Calls is the number of calls received.
	Calls int64 `json:"calls"`
	// Ran is the number of calls run to their end.
	Ran int64 `json:"ran"`
	// Shed is the number of calls refused for lack of capacity.
	Shed int64 `json:"shed"`
	// Excess is the number of calls received above the capacity at that moment.
	Excess int64 `json:"excess"`
	// ColdExcess is the part of Excess received while cold.
	ColdExcess int64 `json:"coldexcess"`
	// Peak is the largest number of calls at one time.
	Peak int64 `json:"peak"`
	// Connections is the number of open connections, Opened the number ever opened, Most the largest number at once.
	Connections int64 `json:"connections"`
	Opened      int64 `json:"opened"`
	Most        int64 `json:"most"`
	// Refused is the number of connections closed because the limit was reached.
	Refused int64 `json:"refused"`
	Crashes int64 `json:"crashes"`
	// Stale is the number of calls under an older epoch than one seen before.
	Stale int64 `json:"stale"`
	// Drained is the number of calls received while draining or leaving.
	Drained int64 `json:"drained"`
	// Warmed is when the server last became warm.
	Warmed time.Time `json:"warmed"`
	// Keys counts the runs of each idempotency key.
	Keys map[string]int `json:"keys,omitempty"`
	// Last is when the last call arrived.
	Last time.Time `json:"last"`
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
	// Secure makes the connections to entry hosts; nil means without TLS.
	Secure *transporter.Security
	Seed   uint64
	// Announce is the time between two announcements; zero means 500 ms.
	Announce  time.Duration
	Behaviour Behaviour
}

// Leaf is one running stand-in.
type Leaf struct {
	config Config
	client *http.Client
	secure *transporter.Security
	// owner is the address that an entry host has named; only the announcing goroutine uses it.
	owner string

	mu          sync.Mutex
	behave      Behaviour
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

// shared returns the client with which all stand-ins of a process announce. With a client each, 1980 stand-ins would
// keep up to 6000 connections open and ping each of them every second.
var shared = sync.OnceValue(func() *http.Client {
	return transporter.Client(transporter.Silence{Idle: time.Second, Answer: time.Second})
})

// New returns a stand-in that is cold until it has served some calls, or warm at once if none are needed.
func New(c Config) *Leaf {
	l := &Leaf{
		config: c, behave: c.Behaviour, random: rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // Reproducible stand-in.
		client: shared(), secure: transporter.Clear(), holdings: c.Holdings,
	}
	if c.Secure != nil {
		l.secure = c.Secure
		l.client = c.Secure.Client(transporter.Silence{Idle: time.Second, Answer: time.Second})
	}
	l.record.Leaf = c.Name
	l.record.Keys = make(map[string]int)
	return l
}

// Start listens and serves; announcements begin with Announce.
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
	server := transporter.Server(mux)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = listener.Addr().String()
	l.incarnation = uint64(now.UnixNano())
	l.server = server
	l.served = 0
	l.state = backendv1.State_STATE_COLD
	if l.behave.Warm == 0 {
		l.state = backendv1.State_STATE_WARM
	}
	go func() { _ = server.Serve(&gate{Listener: listener, leaf: l}) }()
	return nil
}

// Set changes the behaviour.
func (l *Leaf) Set(f func(*Behaviour)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.behave)
}

// Chill makes the server cold again.
func (l *Leaf) Chill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = backendv1.State_STATE_COLD
	l.served = 0
}

// SetState announces draining, leaving or a return.
func (l *Leaf) SetState(s backendv1.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
}

// Hold replaces the holdings, as a new index version does.
func (l *Leaf) Hold(h []*backendv1.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings = h
}

// Advance moves every holding to another snapshot.
func (l *Leaf) Advance(snapshot uint64) {
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
	out.Keys = make(map[string]int, len(l.record.Keys))
	for k, v := range l.record.Keys {
		out.Keys[k] = v
	}
	return out
}

// Address returns where the server listens.
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
