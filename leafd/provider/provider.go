// Package provider is a stand-in leaf that speaks the protocol of the users' platform: it announces itself to control
// hosts, has slots, and can be set to delay, shed, lose and truncate answers.
package provider

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// HTTP headers of the protocol.
const (
	headerRequest  = "Request-Id"
	headerStamp    = "Server-Stamp"
	headerExpect   = "Expect-Instance"
	headerNotRun   = "Not-Executed"
	headerInstance = "Instance-Id"
	headerLoad     = "Server-Load"
	headerLeaving  = "Server-Leaving"
	headerRetry    = "Retry-After"
)

// RecordCount is the number of records in the partial result of a service, RecordSize the size of a record in bytes.
const (
	RecordCount = 8
	RecordSize  = 16
)

// Behaviour is how a leaf answers. Fractions are from 0 to 1.
type Behaviour struct {
	// WorkTime is the processing time of one request.
	WorkTime time.Duration
	// Shed is the fraction of requests that are refused. LoseAnswer, TruncateAnswer and ExtraAnswer are the fractions of
	// requests that run but whose answer is lost, is truncated, or is followed by an unsolicited second answer.
	Shed, LoseAnswer, TruncateAnswer, ExtraAnswer float64
	// RetryAfter is the time, in whole seconds, for which a refusing leaf says that it wants no more requests; 0 says nothing.
	RetryAfter time.Duration
	// Fail is the fraction of requests that run and are answered with status 500, and Slow multiplies WorkTime if it is above
	// 1. Only limits both to requests whose path has this prefix.
	Fail, Slow float64
	Only       string
}

// affects reports whether Fail and Slow apply to a path.
func (b *Behaviour) affects(path string) bool {
	return strings.HasPrefix(path, b.Only)
}

// workTime returns the processing time of a request.
func (b *Behaviour) workTime(path string) time.Duration {
	if b.Slow > 1 && b.affects(path) {
		return time.Duration(b.Slow * float64(b.WorkTime))
	}
	return b.WorkTime
}

// Config describes a leaf.
type Config struct {
	Name, Service, Center string
	Address               netip.AddrPort
	// Program is the version of the leaf's program; v1 if it is empty.
	Program string
	Slots   int
	// Controls returns the addresses of control hosts.
	Controls func() []string
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
	Seed              uint64
	// OnRun is called for each request that begins to run.
	OnRun func(leaf *Leaf, request string, now time.Time)
}

// Leaf is one running stand-in. It is safe for concurrent use.
type Leaf struct {
	config  Config
	startMs int64
	slots   chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	behaviour   Behaviour
	sequence    uint64
	draining    bool
	nextControl string
	server      *http.Server
}

// New returns a leaf that is not started yet.
func New(c Config) *Leaf {
	if c.Program == "" {
		c.Program = "v1"
	}
	return &Leaf{
		config: c, startMs: time.Now().UnixMilli(), slots: make(chan struct{}, c.Slots),
		random: rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // Faults need no secrecy.
	}
}

// Name returns the leaf's identity.
func (l *Leaf) Name() string { return l.config.Name }

// SetBehaviour changes how the leaf answers.
func (l *Leaf) SetBehaviour(b Behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviour = b
}

// Start serves requests and sends heartbeats until ctx is cancelled.
func (l *Leaf) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.config.Address.String())
	if err != nil {
		return oops.In("provider").Wrapf(err, "listen")
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = l.server.Close() })
	go l.sendHeartbeats(ctx)
	return nil
}

// chance returns true with a probability of fraction.
func (l *Leaf) chance(fraction float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < fraction
}

func (l *Leaf) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *Leaf) currentBehaviour() Behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour
}

func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	b, id := l.currentBehaviour(), r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	if l.isDraining() {
		w.Header().Set(headerLeaving, "1")
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != l.config.Name {
		w.Header().Set(headerInstance, l.config.Name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		b.Shed = 1
	}
	if id == "" || l.chance(b.Shed) {
		if b.Shed < 1 {
			<-l.slots
		}
		w.Header().Set(headerNotRun, "1")
		if b.RetryAfter > 0 {
			w.Header().Set(headerRetry, strconv.Itoa(int(b.RetryAfter.Seconds())))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	l.config.OnRun(l, id, time.Now())
	select {
	case <-time.After(b.workTime(r.URL.Path)):
	case <-r.Context().Done():
		return
	}
	if b.affects(r.URL.Path) && l.chance(b.Fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	l.respond(w, r, b, id)
}

// respond sends the answer, subject to the faults that b sets.
func (l *Leaf) respond(w http.ResponseWriter, r *http.Request, b Behaviour, id string) {
	if l.chance(b.LoseAnswer) {
		panic(http.ErrAbortHandler)
	}
	body := Records(l.config.Service, r.URL.Path)
	w.Header().Set(headerStamp, Stamp(l.config.Service, l.config.Name, id))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", len(l.slots), l.config.Slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if l.chance(b.TruncateAnswer) {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	if l.chance(b.ExtraAnswer) {
		l.sendExtra(w)
	}
}

// sendExtra sends a second, unsolicited answer on the same connection and closes it.
func (l *Leaf) sendExtra(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: extra\r\nContent-Length: 5\r\n\r\nextra", headerStamp)
	_ = conn.Close()
}

// Stamp returns the header value that identifies the service, the leaf and the request of an answer.
func Stamp(service, leaf, request string) string {
	return service + "/" + leaf + "/" + request
}

// Records returns the partial result of a service for a path. It is the same on all leaves of the service.
func Records(service, path string) []byte {
	out := make([]byte, 0, RecordCount*RecordSize)
	for i := range RecordCount {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, i))
		out = append(out, sum[:RecordSize]...)
	}
	return out
}
