package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// MaxBlocks bounds the blocks that are recorded.
	MaxBlocks = 256
	// maxConfirmed is the number of requests that may be lost because hosts know a block from its record only.
	maxConfirmed = 2
)

// Blocks is the replicated record of the fingerprints that are blocked. It is not safe for concurrent use.
type Blocks struct {
	// records is sorted by fingerprint. It is replaced, never modified.
	records []*statev1.Block
}

// Apply applies a command and reports whether it changed a record. Beyond MaxBlocks, no fingerprint is added.
func (b *Blocks) Apply(c *statev1.Blocks) bool {
	next, changed := slices.Clone(b.records), false
	for _, fingerprint := range c.GetRemoved() {
		if i, ok := search(next, fingerprint); ok {
			next, changed = slices.Delete(next, i, i+1), true
		}
	}
	for _, block := range c.GetSet() {
		i, ok := search(next, block.GetFingerprint())
		switch {
		case ok:
			next[i], changed = block, true
		case len(next) < MaxBlocks:
			next, changed = slices.Insert(next, i, block), true
		}
	}
	b.records = next
	return changed
}

func search(records []*statev1.Block, fingerprint uint64) (int, bool) {
	return slices.BinarySearchFunc(records, fingerprint, func(r *statev1.Block, f uint64) int { return cmp.Compare(r.GetFingerprint(), f) })
}

// List returns the records. Callers must not modify the slice.
func (b *Blocks) List() []*statev1.Block {
	return b.records
}

// Save writes the records to a snapshot.
func (b *Blocks) Save(state *statev1.State) {
	state.Blocks = b.records
}

// Load replaces the records with those of a snapshot.
func (b *Blocks) Load(state *statev1.State) {
	b.records = state.GetBlocks()
}

// EncodeBlock returns the record of a blocked fingerprint. Times become ages, which depend on no clock. The record that it
// replaces may be nil. If the block is based on lost requests of that record and on others, it confirms the record.
func EncodeBlock(l Loss, replaced *statev1.Block, now time.Time) *statev1.Block {
	out := &statev1.Block{Fingerprint: l.Fingerprint}
	for _, r := range replaced.GetLost() {
		if slices.Contains(l.IDs(), r.GetId()) {
			out.Confirmed = replaced.GetConfirmed() + 1
		}
	}
	out.Lost = EncodeLost(l.Lost, now)
	return out
}

// DecodeBlock returns what a host that only has the record knows of a fingerprint. The record does not show whether the servers still
// crash, so a single request may run: if it is lost, the fingerprint is blocked at once, and if it is answered, the
// block was wrong or has served its purpose. After maxConfirmed lost ones the fingerprint is blocked without another. Times
// count from now, because the time since the record is unknown.
func DecodeBlock(b *statev1.Block, now time.Time) Loss {
	out := Loss{Fingerprint: b.GetFingerprint(), Lost: DecodeLost(b.GetLost(), now)}
	if len(out.Lost) > 0 && b.GetConfirmed() >= maxConfirmed {
		out.block(out.lastEnded().Add(BlockTime), out.Lost)
		return out
	}
	out.Lost = out.suspicion()
	return out
}

// suspicion returns the first lost requests on which a block is based, one too few for it, as if they had ended one after the other
// when the last one ended. They are the same ones for a record and for those that confirm it, so that hosts that see several of these
// records do not count more requests.
func (l *Loss) suspicion() []Lost {
	out := l.consecutive()
	if len(out) == 0 {
		return nil
	}
	last := l.lastEnded()
	out = out[:min(len(out), lostLimit-1)]
	for i := range out {
		at := last.Add(time.Duration(i - len(out)))
		out[i].Began, out[i].Ended = at, at
	}
	return out
}

// EncodeLost converts lost requests to their messages. Times become ages.
func EncodeLost(list []Lost, now time.Time) []*statev1.LostRequest {
	out := make([]*statev1.LostRequest, 0, len(list))
	for _, r := range list {
		out = append(out, &statev1.LostRequest{Id: r.ID, Began: durationpb.New(now.Sub(r.Began)), Ended: durationpb.New(now.Sub(r.Ended))})
	}
	return out
}

// DecodeLost converts messages that have just arrived, or a record, to lost requests. None of them lies in the future.
func DecodeLost(list []*statev1.LostRequest, now time.Time) []Lost {
	out := make([]Lost, 0, len(list))
	for _, r := range list {
		began, ended := max(0, r.GetBegan().AsDuration()), max(0, r.GetEnded().AsDuration())
		out = append(out, Lost{ID: r.GetId(), Began: now.Add(-began), Ended: now.Add(-ended)})
	}
	return out
}
