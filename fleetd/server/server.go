// Package server starts the components of an entry host or a control host and stops them gracefully.
package server

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/fleetd/exchanger"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/exporter"
	"lycheelift.example/lib/quoter"
	"lycheelift.example/lib/roller"
	settings "lycheelift.example/schema/gen/settings/fleetd"
)

// Settings are the validated settings of a host.
type Settings struct {
	settings.Fleet

	address netip.Addr
	seeds   []netip.AddrPort
	// peers is the address at which other hosts reach this one, and bind the address at which it listens for them.
	peers  netip.AddrPort
	bind   string
	grace  time.Duration
	window time.Duration
	// revoke is the time after which removed keys must open nothing on any host, 0 if that is not required.
	revoke time.Duration
	// exposure bounds what a bad version may get during a rollout.
	exposure roller.Bounds
	// quotaWindow is the window over which the quotas of tenants are counted, 0 if the deployment does not bound them.
	quotaWindow time.Duration
	// tolerance is the number of control hosts that may fail at the same time.
	tolerance int
}

// Peers returns the address of the internal port, at which other hosts and operators reach this host.
func (s *Settings) Peers() netip.AddrPort { return s.peers }

// minRevoke is the shortest time in which removed keys can be refused everywhere: a confirmation takes a few round trips
// between control hosts, and ten are due in that time.
const minRevoke = 100 * time.Millisecond

// minWindow is the shortest window over which extra calls can be counted.
const minWindow = 10 * time.Millisecond

// ErrSettings is wrapped by errors about settings that conform to the schema but are invalid.
var ErrSettings = errors.New("invalid settings")

// Parse converts settings that conform to the schema: it parses addresses and durations.
func Parse(in settings.Fleet) (*Settings, error) {
	s := &Settings{Fleet: in}
	var faults []error
	fail := func(key string, err error) {
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", key, err))
		}
	}
	var err error
	s.address, err = netip.ParseAddr(in.Address)
	fail("address", err)
	for i, text := range in.Seeds {
		seed, err := netip.ParseAddrPort(text)
		fail("seeds."+strconv.Itoa(i), err)
		s.seeds = append(s.seeds, seed)
	}
	s.peers = netip.AddrPortFrom(s.address, uint16(in.Ports[0])) //nolint:gosec // The schema permits ports only.
	s.bind = in.Listen.Peers
	if s.bind == "" {
		s.bind = s.peers.String()
	}
	s.grace, err = time.ParseDuration(in.Bounds.Grace)
	fail("bounds.grace", err)
	s.window, err = time.ParseDuration(in.Bounds.Window)
	fail("bounds.window", err)
	if s.window < minWindow {
		fail("bounds.window", fmt.Errorf("%s is shorter than %s", s.window, minWindow))
	}
	revoke, err := time.ParseDuration(in.Bounds.Revoke)
	fail("bounds.revoke", err)
	if in.Bounds.Strict {
		s.revoke = revoke
		if revoke < minRevoke {
			fail("bounds.revoke", fmt.Errorf("%s is shorter than %s", revoke, minRevoke))
		}
	}
	s.exposure, err = exposure(&in.Bounds)
	fail("bounds.rollback", err)
	s.quotaWindow, err = time.ParseDuration(in.Bounds.Quotawindow)
	fail("bounds.quotawindow", err)
	s.tolerance = int(math.Ceil(in.Tolerance))
	if len(faults) > 0 {
		return nil, errors.Join(append([]error{ErrSettings}, faults...)...)
	}
	return s, nil
}

// exposure returns the bounds of rollouts. Orders are carried out under the defaults where the settings do not bound them.
func exposure(in *settings.Bounds) (roller.Bounds, error) {
	out := roller.Bounds{Exposure: in.Exposure, Slack: in.Exposureslack, Rollback: roller.DefaultRollback}
	if out.Exposure <= 0 {
		out.Exposure, out.Slack = roller.DefaultExposure, 0
	}
	if in.Rollback == "" {
		return out, nil
	}
	var err error
	out.Rollback, err = time.ParseDuration(in.Rollback)
	return out, err
}

const (
	// quotaDivisor divides the host's memory to get the bytes that large answers may have. Growing buffers and garbage need
	// several times as much.
	quotaDivisor = 16
	mebibyte     = 1 << 20
)

// quota returns the limit on the total bytes of all large answers that are received at the same time.
func (s *Settings) quota() int64 {
	if s.Memory <= 0 {
		return exchanger.DefaultQuota
	}
	return int64(s.Memory * mebibyte / quotaDivisor)
}

// quotaBounds returns the bounds of the quotas of tenants.
func (s *Settings) quotaBounds() quoter.Bounds {
	return quoter.NewBounds(s.quotaWindow, s.Bounds.Quotaover, s.Bounds.Quotaslack)
}

// controls returns the addresses at which the seeds serve other hosts. The internal port is the same on every host.
func (s *Settings) controls() []string {
	out := make([]string, 0, len(s.seeds))
	for _, seed := range s.seeds {
		out = append(out, netip.AddrPortFrom(seed.Addr(), s.peers.Port()).String())
	}
	return out
}

// SteadyClock returns a clock that starts at the current wall clock time and then follows the monotonic clock, so that jumps
// of the wall clock affect no decision.
func SteadyClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// serveMetrics serves the metrics endpoint until ctx ends.
func serveMetrics(ctx context.Context, address string, e *exporter.Exporter, clock func() time.Time) {
	if address == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.Handler)
	if err := serve(ctx, address, mux); err != nil {
		eventer.ServeFailed.Log(clock(), "address", address, "error", err.Error())
	}
}

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// serve serves HTTP at an address until ctx ends, then closes the server.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return oops.In("server").Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("server").Wrapf(err, "serve %s", address)
}
