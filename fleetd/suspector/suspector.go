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
	reports chan report
	trials  *quarantiner.Trials
	// arbiter asks a control host; nil if there is none.
	arbiter Arbiter
	// followed returns a channel that is closed when a control host is followed next; nil if that is not known.
	followed func() <-chan struct{}
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

// WithFollowed sets the function that returns a channel that is closed when a control host is followed next. That one is told all
// that this host knows: it may have been restarted.
func WithFollowed(followed func() <-chan struct{}) Option {
	return func(s *Suspector) { s.followed = followed }
}

// report is a loss that is to be reported. The channel told is closed when it has been, or cannot be.
type report struct {
	loss quarantiner.Loss
	told chan struct{}
}

// New returns a suspector without any suspected requests.
func New(options ...Option) *Suspector {
	s := &Suspector{
		ledger: quarantiner.NewLedger(), reports: make(chan report, queueSize), trials: quarantiner.NewTrials(),
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
// leaf answered it. The returned channel is closed when a control host has been told, so that other hosts know of the loss before the
// caller sends the request again, or when it cannot be told.
func (s *Suspector) ReportLost(r *carrier.Request, now time.Time) (told <-chan struct{}) {
	loss := s.ledger.RecordLoss(fingerprint(r), lossID(r.ID), r.Received, now)
	eventer.RequestSuspected.Log(now, "fingerprint", loss.Fingerprint, "id", r.ID, "lost", len(loss.Lost), "blocked", loss.Blocked)
	return s.report(loss, now)
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

// report queues a loss and returns a channel that is closed when it has been reported, or cannot be.
func (s *Suspector) report(loss quarantiner.Loss, now time.Time) <-chan struct{} {
	r := report{loss: loss, told: make(chan struct{})}
	select {
	case s.reports <- r:
	default:
		eventer.SuspectReportFailed.Log(now, "fingerprint", loss.Fingerprint, "error", "the report queue is full")
		close(r.told)
	}
	return r.told
}

// Merge merges the losses received from a control host.
func (s *Suspector) Merge(losses []*peerv1.Loss, now time.Time) {
	for _, m := range losses {
		loss, changed := s.ledger.Merge(Decode(m, now), now)
		if changed && loss.Blocked {
			eventer.RequestBlocked.Log(now, "fingerprint", loss.Fingerprint, "for", s.ledger.Blocked(loss.Fingerprint, now), "lost", loss.IDs())
		}
	}
}

// Sender delivers losses to a control host.
type Sender func(context.Context, []*peerv1.Loss) error

// Run sends reports until ctx ends.
func (s *Suspector) Run(ctx context.Context, send Sender, clock func() time.Time) {
	var followed <-chan struct{}
	if s.followed != nil {
		followed = s.followed()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.reports:
			s.deliver(ctx, []quarantiner.Loss{r.loss}, send, clock)
			close(r.told)
		case <-followed:
			followed = s.followed()
			if known, _ := s.ledger.Since(0, clock()); len(known) > 0 {
				s.deliver(ctx, known, send, clock)
			}
		}
	}
}

// deliver sends losses and retries on failure.
func (s *Suspector) deliver(ctx context.Context, losses []quarantiner.Loss, send Sender, clock func() time.Time) {
	var err error
	for range reportAttempts {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		err = send(attempt, encodeAll(losses, clock()))
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
	eventer.SuspectReportFailed.Log(clock(), "fingerprint", losses[0].Fingerprint, "losses", len(losses), "error", err.Error())
}

func encodeAll(losses []quarantiner.Loss, now time.Time) []*peerv1.Loss {
	out := make([]*peerv1.Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, Encode(l, now))
	}
	return out
}

// Encode converts a loss to its message. Times are sent as durations relative to now, because hosts' clocks differ.
func Encode(l quarantiner.Loss, now time.Time) *peerv1.Loss {
	out := &peerv1.Loss{Fingerprint: l.Fingerprint, Lost: quarantiner.EncodeLost(l.Lost, now), Forgiven: l.Forgiven, Blocked: l.Blocked}
	if l.Blocked {
		out.Left = durationpb.New(l.Until.Sub(now))
	}
	return out
}

// Decode converts a message that has just arrived to a loss.
func Decode(m *peerv1.Loss, now time.Time) quarantiner.Loss {
	out := quarantiner.Loss{
		Fingerprint: m.GetFingerprint(), Lost: quarantiner.DecodeLost(m.GetLost(), now), Forgiven: m.GetForgiven(), Blocked: m.GetBlocked(),
	}
	if m.GetBlocked() {
		out.Until = now.Add(m.GetLeft().AsDuration())
	}
	return out
}
