package executor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/entryd/executor"
	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/cataloguer"
	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/transporter"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// fakeLeases holds at most one lease, which the test sets and removes.
type fakeLeases struct {
	mu   sync.Mutex
	held *leaser.Lease
}

func (l *fakeLeases) Held(string, time.Time) (leaser.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		return leaser.Lease{}, false
	}
	return *l.held, time.Now().Before(l.held.Until)
}

func (l *fakeLeases) Owner(string, string) (string, bool) { return "other", true }

func (l *fakeLeases) set(held *leaser.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// server is a fake leaf. The body of a call selects its behaviour. It records the maximum number of concurrent calls.
type server struct {
	mu                sync.Mutex
	active, maxActive int
	exclusive         bool
	overlapped        bool
	epoch             uint64
	calls             int
	// pair is where two calls that run at the same time meet.
	pair chan struct{}
}

func (s *server) Execute(ctx context.Context, in *backendv1.ExecuteRequest) (*backendv1.ExecuteResponse, error) {
	body := string(in.GetBody())
	s.mu.Lock()
	s.calls++
	s.active++
	s.maxActive = max(s.maxActive, s.active)
	s.epoch = in.GetEpoch()
	s.exclusive = s.exclusive || body == "alone"
	s.overlapped = s.overlapped || s.exclusive && s.active > 1
	s.mu.Unlock()
	if body == "pair" {
		s.meet(ctx)
	}
	select {
	case <-time.After(map[string]time.Duration{"slow": 300 * time.Millisecond}[body] + time.Millisecond):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if body == "alone" {
		s.exclusive = false
	}
	out := &backendv1.ExecuteResponse{Attempt: in.GetAttempt(), Snapshot: in.GetSnapshot(), Shard: in.GetShard(), Body: in.GetBody()}
	switch body {
	case "attempt":
		out.Attempt = "another"
	case "shard":
		out.Shard++
	case "snapshot":
		out.Snapshot++
	}
	return out, nil
}

// meet returns when another call has come here, or when ctx ends.
func (s *server) meet(ctx context.Context) {
	select {
	case s.pair <- struct{}{}:
	case <-s.pair:
	case <-ctx.Done():
	}
}

type fixture struct {
	*executor.Executor

	leases *fakeLeases
	server *server
	table  *cataloguer.Table
	follow *follower.Follower
	leaf   cataloguer.Leaf
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{leases: &fakeLeases{}, server: &server{pair: make(chan struct{})}, table: cataloguer.New(time.Now()), follow: follower.New(time.Now())}
	mux := http.NewServeMux()
	mux.Handle(backendv1connect.NewLeafServiceHandler(f.server))
	backend := httptest.NewUnstartedServer(mux)
	backend.Config.Protocols = transporter.Protocols()
	backend.Start()
	t.Cleanup(backend.Close)
	f.applyVersion(t, 1, false)
	f.leaf = cataloguer.Leaf{
		Name: "leaf", Incarnation: 1, Center: "c", Service: "desk", State: cataloguer.Warm, Slots: 2, Connections: 4,
		Address: netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://")),
	}
	f.announce(cataloguer.Warm)
	f.leases.set(&leaser.Lease{Epoch: 7, Until: time.Now().Add(time.Hour)})
	f.Executor = executor.New("self", "c", f.table, f.follow, time.Now)
	f.SetLeases(f.leases)
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) applyVersion(t *testing.T, number uint64, out bool) {
	text := `{"centers":{"c":{"region":"r","out":false}}}`
	if out {
		text = strings.Replace(text, "false", "true", 1)
	}
	_, err := f.follow.Apply(&statev1.Version{Number: number, Document: []byte(text)}, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

// announce puts an announcement of the leaf into the table. It is dated an hour ahead, so that it does not expire during
// a slow test run.
func (f *fixture) announce(state cataloguer.State) {
	f.leaf.Sequence++
	f.leaf.State = state
	f.leaf.AnnouncedAt = time.Now().Add(time.Hour)
	leaf := f.leaf
	f.table.Put(&leaf)
}

func (f *fixture) call(body string, timeout time.Duration) *peerv1.CallResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f.Execute(ctx, &peerv1.Call{
		Attempt: "a/1/1", Service: "desk", Snapshot: 1, Leaf: "leaf", Body: []byte(body), Alone: body == "alone",
	})
}

// Guards against sending a call to a leaf without a lease, in a removed data centre or while the leaf is draining, and
// against a refusal that does not report that nothing was sent.
func TestRefusalsSendNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	good := f.call("x", time.Minute)
	c.Assert(good.GetReason(), qt.Equals, callerv1.Reason_REASON_UNSPECIFIED)
	c.Assert(f.server.epoch, qt.Equals, uint64(7))
	refused := func(reason callerv1.Reason) *peerv1.CallResult {
		r := f.call("x", time.Minute)
		c.Check(r.GetReason(), qt.Equals, reason)
		c.Check(r.GetUnsent(), qt.IsTrue)
		return r
	}
	f.announce(cataloguer.Draining)
	refused(callerv1.Reason_REASON_DRAINING)
	f.leases.set(&leaser.Lease{Epoch: 7, Until: time.Now().Add(time.Hour), Releasing: true})
	refused(callerv1.Reason_REASON_NOT_OWNER)
	f.leases.set(nil)
	c.Check(refused(callerv1.Reason_REASON_NOT_OWNER).GetOwner(), qt.Equals, "other")
	f.applyVersion(t, 2, true)
	refused(callerv1.Reason_REASON_REMOVED)
	c.Assert(f.server.calls, qt.Equals, 1)
}

// Guards against returning an answer to another call, shard or snapshot to the caller.
func TestForeignAnswersAreDropped(t *testing.T) {
	f := newFixture(t)
	for _, body := range []string{"attempt", "shard", "snapshot"} {
		r := f.call(body, time.Minute)
		qt.Check(t, r.GetReason(), qt.Equals, callerv1.Reason_REASON_SERVER_ERROR, qt.Commentf(body))
		qt.Check(t, r.GetBody(), qt.HasLen, 0)
		qt.Check(t, r.GetUnsent(), qt.IsFalse)
	}
}

// Guards against reusing a slot while the leaf is still running a call whose caller has stopped waiting, and against
// another call running at the same time as an exclusive one.
func TestSlotsSeenByTheLeaf(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	for range 20 {
		c.Assert(f.call("x", time.Minute).GetReason(), qt.Equals, callerv1.Reason_REASON_UNSPECIFIED)
	}
	// Two calls that wait for each other need both slots. The calls below may run one by one: an exclusive call stands between any
	// two that may overlap once the short ones have timed out.
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			c.Check(f.call("pair", time.Minute).GetReason(), qt.Equals, callerv1.Reason_REASON_UNSPECIFIED)
		})
	}
	wait.Wait()
	for i := range 60 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			switch i % 3 {
			case 0:
				f.call("slow", 20*time.Millisecond)
			case 1:
				f.call("alone", time.Minute)
			default:
				f.call("x", time.Minute)
			}
		}()
	}
	wait.Wait()
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	c.Assert(f.server.maxActive, qt.Equals, 2)
	c.Assert(f.server.overlapped, qt.IsFalse)
}
