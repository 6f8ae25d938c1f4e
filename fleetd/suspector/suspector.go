// Package suspector refuses requests that crash the leaves that execute them. Each entry host reports the losses it
// sees to its control host, which forwards them to all other entry hosts.
package suspector

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// queueSize is the number of reports that may wait for a control host. Further reports are dropped and logged; the
	// next loss of the same request is reported again.
	queueSize = 64
	// reportTimeout limits the time for sending one report, and reportInterval is the delay before it is sent again.
	reportTimeout  = time.Second
	reportInterval = 300 * time.Millisecond
	// reportAttempts is the maximum number of times that a report is sent.
	reportAttempts = 5
)

// Suspector tracks the suspected requests known to one entry host. It is safe for concurrent use.
type Suspector struct {
	ledger  *quarantiner.Ledger
	reports chan quarantiner.Loss
	trials  *quarantiner.Trials
	// arbiter asks a control host; nil if there is none.
	arbiter Arbiter
	// origin distinguishes the trials of this process from those of others, and sequence from each other.
	origin   uint64
	sequence atomic.Uint64
}

// Option configures a suspector.
type Option func(*Suspector)

// WithArbiter sets the function that asks the control host that arbitrates between the hosts. Without it, only the requests of
// this host are held back.
func WithArbiter(a Arbiter) Option {
	return func(s *Suspector) { s.arbiter = a }
}

// New returns a suspector without any suspected requests.
func New(options ...Option) *Suspector {
	s := &Suspector{
		ledger: quarantiner.NewLedger(), reports: make(chan quarantiner.Loss, queueSize), trials: quarantiner.NewTrials(),
		origin: rand.Uint64(), //nolint:gosec // An identity, not a secret.
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// fingerprint identifies the content of a request, independent of its caller and of the attempt.
func fingerprint(r *carrier.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Blocked returns how long a request must still be refused, or 0 if it may be executed.
func (s *Suspector) Blocked(r *carrier.Request, now time.Time) time.Duration {
	if s.ledger.IsEmpty() {
		return 0
	}
	return s.ledger.Blocked(fingerprint(r), now)
}

// ReportLost records that the leaves that received a request closed their connections without an answer, and that no
// leaf answered it.
func (s *Suspector) ReportLost(r *carrier.Request, now time.Time) {
	loss := s.ledger.RecordLoss(fingerprint(r), lossID(r.ID), r.Received, now)
	eventer.RequestSuspected.Log(now, "fingerprint", loss.Fingerprint, "id", r.ID, "lost", len(loss.Lost), "blocked", loss.Blocked)
	s.report(loss, now)
}

// lossID returns the ID of a caller's request in a form that messages can carry: callers need not send UTF-8.
func lossID(id string) string {
	if utf8.ValidString(id) {
		return id
	}
	return strconv.QuoteToASCII(id)
}

// ReportAnswered records that a leaf has answered a request.
func (s *Suspector) ReportAnswered(r *carrier.Request, now time.Time) {
	if s.ledger.IsEmpty() {
		return
	}
	loss, changed := s.ledger.RecordAnswer(fingerprint(r), now)
	if !changed {
		return
	}
	eventer.SuspectCleared.Log(now, "fingerprint", loss.Fingerprint, "id", r.ID)
	s.report(loss, now)
}

func (s *Suspector) report(loss quarantiner.Loss, now time.Time) {
	select {
	case s.reports <- loss:
	default:
		eventer.SuspectReportFailed.Log(now, "fingerprint", loss.Fingerprint, "error", "the report queue is full")
	}
}

// Merge merges the losses received from a control host.
func (s *Suspector) Merge(losses []*peerv1.Loss, now time.Time) {
	for _, m := range losses {
		loss, changed := s.ledger.Merge(Decode(m, now), now)
		if changed && loss.Blocked {
			eventer.RequestBlocked.Log(now, "fingerprint", loss.Fingerprint, "for", s.ledger.Blocked(loss.Fingerprint, now))
		}
	}
}

// Run sends reports until ctx ends. The function send delivers one report to a control host.
func (s *Suspector) Run(ctx context.Context, send func(context.Context, *peerv1.Loss) error, clock func() time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case loss := <-s.reports:
			s.deliver(ctx, loss, send, clock)
		}
	}
}

// deliver sends one report and retries on failure.
func (s *Suspector) deliver(ctx context.Context, loss quarantiner.Loss, send func(context.Context, *peerv1.Loss) error, clock func() time.Time) {
	var err error
	for range reportAttempts {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		err = send(attempt, Encode(loss, clock()))
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
	eventer.SuspectReportFailed.Log(clock(), "fingerprint", loss.Fingerprint, "error", err.Error())
}

// Encode converts a loss to its message. Times are sent as durations relative to now, because hosts' clocks differ.
func Encode(l quarantiner.Loss, now time.Time) *peerv1.Loss {
	out := &peerv1.Loss{Fingerprint: l.Fingerprint, Forgiven: l.Forgiven, Blocked: l.Blocked}
	if l.Blocked {
		out.Left = durationpb.New(l.Until.Sub(now))
	}
	for _, r := range l.Lost {
		out.Lost = append(out.Lost, &peerv1.LostRequest{Id: r.ID, Began: durationpb.New(now.Sub(r.Began)), Ended: durationpb.New(now.Sub(r.Ended))})
	}
	return out
}

// Decode converts a message that has just arrived to a loss.
func Decode(m *peerv1.Loss, now time.Time) quarantiner.Loss {
	out := quarantiner.Loss{Fingerprint: m.GetFingerprint(), Forgiven: m.GetForgiven(), Blocked: m.GetBlocked()}
	if m.GetBlocked() {
		out.Until = now.Add(m.GetLeft().AsDuration())
	}
	for _, r := range m.GetLost() {
		out.Lost = append(out.Lost, quarantiner.Lost{ID: r.GetId(), Began: now.Add(-r.GetBegan().AsDuration()), Ended: now.Add(-r.GetEnded().AsDuration())})
	}
	return out
}
