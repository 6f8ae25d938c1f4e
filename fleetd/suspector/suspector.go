// Package suspector refuses requests that end the leaves that run them, on all entry hosts: what one host sees it reports
// to its control host, which tells all others.
package suspector

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// queue is the number of reports that may wait for a control host. Further ones are dropped with a log line; the next
	// loss of the same request is reported again.
	queue = 64
	// reportTimeout bounds one report, and reportInterval is the wait before it is sent again.
	reportTimeout  = time.Second
	reportInterval = 300 * time.Millisecond
	// reportAttempts bounds how often a report is sent.
	reportAttempts = 5
)

// Suspector knows the suspects of one entry host. It is safe for concurrent use.
type Suspector struct {
	ledger  *quarantiner.Ledger
	reports chan quarantiner.Loss
}

// New returns a suspector that suspects nothing.
func New() *Suspector {
	return &Suspector{ledger: quarantiner.NewLedger(), reports: make(chan quarantiner.Loss, queue)}
}

// fingerprint names what a request asks, whoever sends it and however often.
func fingerprint(r *carrier.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Blocked returns for how long a request is to be refused; 0 when it may run.
func (s *Suspector) Blocked(r *carrier.Request, now time.Time) time.Duration {
	if s.ledger.IsEmpty() {
		return 0
	}
	return s.ledger.Blocked(fingerprint(r), now)
}

// Lost notes that the leaves which got a request closed their connections without an answer, and none answered.
func (s *Suspector) Lost(r *carrier.Request, now time.Time) {
	loss := s.ledger.Note(fingerprint(r), r.ID, r.Received, now)
	eventer.RequestSuspected.Log(now, "fingerprint", loss.Fingerprint, "id", r.ID, "lost", len(loss.Lost), "blocked", loss.Blocked)
	s.report(loss, now)
}

// Good notes that a leaf has answered a request.
func (s *Suspector) Good(r *carrier.Request, now time.Time) {
	if s.ledger.IsEmpty() {
		return
	}
	loss, changed := s.ledger.Clear(fingerprint(r), now)
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
		eventer.SuspectUntold.Log(now, "fingerprint", loss.Fingerprint, "error", "too many reports are waiting")
	}
}

// Take takes what a control host knows.
func (s *Suspector) Take(losses []*peerv1.Loss, now time.Time) {
	for _, m := range losses {
		loss, changed := s.ledger.Merge(Decode(m, now), now)
		if changed && loss.Blocked {
			eventer.RequestBlocked.Log(now, "fingerprint", loss.Fingerprint, "for", s.ledger.Blocked(loss.Fingerprint, now))
		}
	}
}

// Run sends reports until ctx ends. Tell gives one to a control host.
func (s *Suspector) Run(ctx context.Context, tell func(context.Context, *peerv1.Loss) error, clock func() time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case loss := <-s.reports:
			s.tell(ctx, loss, tell, clock)
		}
	}
}

// tell sends one report, again if need be.
func (s *Suspector) tell(ctx context.Context, loss quarantiner.Loss, tell func(context.Context, *peerv1.Loss) error, clock func() time.Time) {
	var err error
	for range reportAttempts {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		err = tell(attempt, Encode(loss, clock()))
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
	eventer.SuspectUntold.Log(clock(), "fingerprint", loss.Fingerprint, "error", err.Error())
}

// Encode returns the message of a loss.
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

// Decode returns the loss of a message that has just arrived.
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
