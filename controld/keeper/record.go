package keeper

import (
	"context"
	"time"

	"lycheelift.example/lib/recorder"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// maxAnswers bounds the answers in one batch.
const maxAnswers = 8192

// Recorder stores answers.
type Recorder interface {
	Append(batch *statev1.AnswerBatch, now time.Time) error
}

var _ Recorder = (*recorder.Store)(nil)

// Record stores a batch of answers and acknowledges it when it is on disk.
func (k *Keeper) Record(_ context.Context, in *peerv1.RecordRequest) (*peerv1.RecordResponse, error) {
	batch := in.GetBatch()
	if !validNames(batch.GetHost()) {
		return nil, invalidArgument("a batch needs a host name of at most %d bytes", maxName)
	}
	if len(batch.GetAnswers()) > maxAnswers {
		return nil, invalidArgument("a batch has at most %d answers", maxAnswers)
	}
	if err := k.record.Append(batch, k.clock()); err != nil {
		return nil, outcomeUnknown(err)
	}
	return &peerv1.RecordResponse{}, nil
}
