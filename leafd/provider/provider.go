// Package provider is a stand-in leaf that speaks the protocol of the users' platform: it announces itself to control
// hosts, has slots, and can be told to pause, shed, lose and spoil answers.
package provider

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Names on the wire.
const (
	headerRequest  = "Request-Id"
	headerStamp    = "Server-Stamp"
	headerExpect   = "Expect-Instance"
	headerNotRun   = "Not-Executed"
	headerInstance = "Instance-Id"
	headerLoad     = "Server-Load"
)

// Records in a part, and their size in bytes.
const (
	RecordCount = 8
	RecordSize  = 16
)

// Behaviour is how a leaf answers. The parts are 0 to 1.
type Behaviour struct {
	// Work is the time of one request.
	Work time.Duration
	// Shed, Lose, Spoil and Extra are the parts of requests that are refused, whose answer is lost after they ran,
	// whose answer is cut short, and whose answer is followed by another one.
	Shed, Lose, Spoil, Extra float64
}

// Config describes a leaf.
type Config struct {
	Name, Service, Center string
	Address               netip.AddrPort
	Slots                 int
	// Controls returns the addresses of control hosts.
	Controls func() []string
	// Interval is the time between two heartbeats.
	Interval time.Duration
	Seed     uint64
	// Ran is told of each request that begins to run.
	Ran func(leaf *Leaf, request string, now time.Time)
}

// Leaf is one running stand-in. It is safe for concurrent use.
type Leaf struct {
	config Config
	born   int64
	slots  chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	behave   Behaviour
	sequence uint64
	draining bool
	next     string
	server   *http.Server
}

// New returns a leaf that is not started yet.
func New(c Config) *Leaf {
	return &Leaf{
		config: c, born: time.Now().UnixMilli(), slots: make(chan struct{}, c.Slots),
		random: rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // Faults need no secrecy.
	}
}

// Name returns the leaf's identity.
func (l *Leaf) Name() string { return l.config.Name }

// Behave changes how the leaf answers.
func (l *Leaf) Behave(b Behaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behave = b
}

// Start serves requests and sends heartbeats until ctx ends.
func (l *Leaf) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.config.Address.String())
	if err != nil {
		return oops.In("provider").Wrapf(err, "listen")
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = l.server.Close() })
	go l.announce(ctx)
	return nil
}

// draw reports whether something that happens to a part of requests happens now.
func (l *Leaf) draw(part float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < part
}

func (l *Leaf) behaviour() Behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behave
}

// serve answers one request.
func (l *Leaf) serve(w http.ResponseWriter, r *http.Request) {
	b, id := l.behaviour(), r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
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
	if id == "" || l.draw(b.Shed) {
		if b.Shed < 1 {
			<-l.slots
		}
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	l.config.Ran(l, id, time.Now())
	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		return
	}
	l.answer(w, r, b, id)
}

// answer sends the whole answer, or what is left of it.
func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, b Behaviour, id string) {
	if l.draw(b.Lose) {
		panic(http.ErrAbortHandler)
	}
	body := Records(l.config.Service, r.URL.Path)
	w.Header().Set(headerStamp, Stamp(l.config.Service, l.config.Name, id))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", len(l.slots), l.config.Slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if l.draw(b.Spoil) {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	if l.draw(b.Extra) {
		l.extra(w)
	}
}

// extra sends an answer that nobody asked for.
func (l *Leaf) extra(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: extra\r\nContent-Length: 5\r\n\r\nextra", headerStamp)
	_ = conn.Close()
}

// Stamp is the leaf's signature on an answer.
func Stamp(service, leaf, request string) string {
	return service + "/" + leaf + "/" + request
}

// Records returns the part of a service for a path: the same on all of its leaves.
func Records(service, path string) []byte {
	out := make([]byte, 0, RecordCount*RecordSize)
	for i := range RecordCount {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, i))
		out = append(out, sum[:RecordSize]...)
	}
	return out
}
