// Package shipper sends the record of answers from an entry host to control hosts.
package shipper

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/ranker"
	"lycheelift.example/lib/recorder"
	"lycheelift.example/lib/repeater"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// flushInterval is the time between two batches. A crash of the host loses at most the answers of this time.
	flushInterval = 200 * time.Millisecond
	// maxBatchAnswers keeps a batch below the message limit of gRPC, 4 MB.
	maxBatchAnswers = 4096
	// sendTimeout bounds the request that stores a batch on one control host.
	sendTimeout = 2 * time.Second
	// copies is the number of control hosts that store each batch, so that the loss of one disk loses no answer.
	copies = 2
)

// Dialer opens connections by address.
type Dialer interface {
	DialAddress(address string) (*grpc.ClientConn, error)
}

// Shipper sends the answers in a buffer to control hosts.
type Shipper struct {
	buffer       *recorder.Buffer
	controlHosts []string
	dialer       Dialer
	clock        func() time.Time
	done         chan struct{}
}

// New returns a shipper. The order in which it tries the control hosts is a rendezvous hash of the host's name, so that
// entry hosts prefer different ones.
func New(host string, buffer *recorder.Buffer, controlHosts []string, dialer Dialer, clock func() time.Time) *Shipper {
	return &Shipper{buffer: buffer, controlHosts: ranker.Order(host, controlHosts), dialer: dialer, clock: clock, done: make(chan struct{})}
}

// Run sends batches until ctx is cancelled.
func (s *Shipper) Run(ctx context.Context) {
	defer close(s.done)
	repeater.Every(ctx, flushInterval, func() { s.flush(ctx) })
}

// Close sends the buffered answers and an end mark. The context of Run must have been cancelled before.
func (s *Shipper) Close(ctx context.Context) {
	<-s.done
	s.buffer.Close()
	s.flush(ctx)
}

// flush sends batches until the buffer is empty or a batch could not be stored.
func (s *Shipper) flush(ctx context.Context) {
	for {
		batch := s.buffer.Peek(maxBatchAnswers)
		if batch == nil {
			return
		}
		stored := s.send(ctx, batch)
		if stored == 0 {
			waiting, dropped := s.buffer.Stats()
			eventer.RecordDelayed.Log(s.clock(), "waiting", waiting, "dropped", dropped)
			return
		}
		if stored < min(copies, len(s.controlHosts)) {
			eventer.RecordUnderReplicated.Log(s.clock(), "copies", stored)
		}
		s.buffer.Discard()
		if batch.GetClosed() {
			return
		}
	}
}

// send stores a batch on up to copies control hosts and returns the number that stored it.
func (s *Shipper) send(ctx context.Context, batch *statev1.AnswerBatch) int {
	stored := 0
	for _, address := range s.controlHosts {
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
	conn, err := s.dialer.DialAddress(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err = peerv1.NewControlServiceClient(conn).Record(ctx, &peerv1.RecordRequest{Batch: batch})
	return err == nil
}
