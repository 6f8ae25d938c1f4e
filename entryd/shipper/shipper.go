// Package shipper sends the record of answers from an entry host to control hosts.
package shipper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	"lycheelift.example/lib/recorder"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// interval is the time between two batches; a crash of the host loses the answers of at most this time.
	interval = 200 * time.Millisecond
	// batchLimit bounds the answers in one batch, so that a message stays below the 4 MB that gRPC accepts.
	batchLimit = 4096
	// sendTimeout bounds the storing of a batch on one control host.
	sendTimeout = 2 * time.Second
	// copies is the number of control hosts that keep each batch, so that the loss of one disk loses nothing.
	copies = 2
)

// Dialer opens connections by address.
type Dialer interface {
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Shipper empties a buffer of answers.
type Shipper struct {
	buffer  *recorder.Buffer
	control []string
	dial    Dialer
	clock   func() time.Time
	done    chan struct{}
}

// New returns a shipper. Each host prefers other control hosts, in rendezvous order of its name.
func New(host string, buffer *recorder.Buffer, control []string, dial Dialer, clock func() time.Time) *Shipper {
	return &Shipper{buffer: buffer, control: ranker.Order(host, control), dial: dial, clock: clock, done: make(chan struct{})}
}

// Run sends batches until ctx ends.
func (s *Shipper) Run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.flush(ctx)
		}
	}
}

// Close sends what waits and the mark that no answer follows. Run must have been told to end.
func (s *Shipper) Close(ctx context.Context) {
	<-s.done
	s.buffer.Close()
	s.flush(ctx)
}

// flush sends batches until the buffer is empty or a batch could not be stored.
func (s *Shipper) flush(ctx context.Context) {
	for {
		batch := s.buffer.Take(batchLimit)
		if batch == nil {
			return
		}
		stored := s.send(ctx, batch)
		if stored == 0 {
			waiting, dropped := s.buffer.Stats()
			eventer.RecordDelayed.Log(s.clock(), "waiting", waiting, "dropped", dropped)
			return
		}
		if stored < min(copies, len(s.control)) {
			eventer.RecordSingle.Log(s.clock(), "copies", stored)
		}
		s.buffer.Done()
		if batch.GetClosed() {
			return
		}
	}
}

// send stores a batch on as many control hosts as copies are wanted and returns how many stored it.
func (s *Shipper) send(ctx context.Context, batch *statev1.AnswerBatch) int {
	stored := 0
	for _, address := range s.control {
		if s.store(ctx, address, batch) {
			stored++
		}
		if stored == copies {
			break
		}
	}
	return stored
}

func (s *Shipper) store(ctx context.Context, address string, batch *statev1.AnswerBatch) bool {
	conn, err := s.dial.DialAddress(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err = peerv1.NewControlServiceClient(conn).Record(ctx, &peerv1.RecordRequest{Batch: batch})
	return err == nil
}
