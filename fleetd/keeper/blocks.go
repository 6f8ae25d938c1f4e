package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lycheelift.example/controld/store"
	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quarantiner"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// blocksInterval is the time between two checks of the records of blocks when no loss is reported.
	blocksInterval = time.Second
	// recordDelay is how long changes are collected before the records are checked.
	recordDelay = 20 * time.Millisecond
	// suspicionDelay is how long no request of a fingerprint runs that this host knows from a record only: other hosts may still
	// know that it is blocked, and tell this one as soon as they are connected.
	suspicionDelay = time.Second
	// restoredTrial is the identity of the trial that holds requests back for that time.
	restoredTrial = "restored"
)

// adoptedBlocks tracks the records of blocks that the losses of a control host include.
type adoptedBlocks struct {
	mu      sync.Mutex
	records []*statev1.Block
	// restored holds the fingerprints of which this host knew nothing but the record.
	restored map[uint64]bool
}

// RunBlocks records the blocks that this host knows while it leads, until ctx ends.
func (k *Keeper) RunBlocks(ctx context.Context) {
	ticker := time.NewTicker(blocksInterval)
	defer ticker.Stop()
	for {
		changed := k.losses.Changed()
		k.recordBlocks(ctx, k.clock())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			time.Sleep(recordDelay)
		}
	}
}

// recordBlocks brings the records up to what this host knows, if it leads. Losses that do not block are not recorded: a storm of
// crashing requests costs two records for each fingerprint that is blocked, one when it begins and one when it ends.
func (k *Keeper) recordBlocks(ctx context.Context, now time.Time) {
	if !k.log.Status().Leading {
		return
	}
	view := k.store.View()
	k.adoptBlocks(view, now)
	change := k.blockChanges(view.Blocks, now)
	if len(change.GetSet())+len(change.GetRemoved()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	_ = k.store.Block(ctx, change) // It is logged; the next check tries again.
}

// blockChanges returns the difference between the records and the blocks that this host knows. It proposes no more blocks than can
// be recorded.
func (k *Keeper) blockChanges(records []*statev1.Block, now time.Time) *statev1.Blocks {
	out := &statev1.Blocks{}
	recorded := make(map[uint64]*statev1.Block, len(records))
	for _, r := range records {
		recorded[r.GetFingerprint()] = r
		if known := k.losses.Find(r.GetFingerprint(), now); !known.Blocked && !k.losses.Suspected(r.GetFingerprint(), now) {
			out.Removed = append(out.Removed, r.GetFingerprint())
		}
	}
	room := quarantiner.MaxBlocks - len(records) + len(out.Removed)
	for _, known := range k.losses.Blocks(now) {
		r := recorded[known.Fingerprint]
		switch {
		case r == nil && room > 0:
			room--
		case r == nil || !k.blocks.isRestored(known.Fingerprint) || sameGrounds(r, known):
			continue
		}
		out.Set = append(out.Set, quarantiner.EncodeBlock(known, r, now))
	}
	return out
}

// sameGrounds reports whether a record is based on the same lost requests as a block.
func sameGrounds(r *statev1.Block, known quarantiner.Loss) bool {
	return slices.EqualFunc(r.GetLost(), known.Lost, func(a *statev1.LostRequest, b quarantiner.Lost) bool { return a.GetId() == b.ID })
}

// isRestored reports whether this host knew nothing of a fingerprint but its record.
func (a *adoptedBlocks) isRestored(fingerprint uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.restored[fingerprint]
}

// add sets the records and returns those that are new.
func (a *adoptedBlocks) add(records []*statev1.Block) []*statev1.Block {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(records, a.records) {
		return nil
	}
	known := make(map[*statev1.Block]bool, len(a.records))
	for _, r := range a.records {
		known[r] = true
	}
	a.records = records
	maps.DeleteFunc(a.restored, func(fingerprint uint64, _ bool) bool {
		return !slices.ContainsFunc(records, func(r *statev1.Block) bool { return r.GetFingerprint() == fingerprint })
	})
	return slices.DeleteFunc(slices.Clone(records), func(r *statev1.Block) bool { return known[r] })
}

// setRestored records that this host knew nothing of a fingerprint but its record.
func (a *adoptedBlocks) setRestored(fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.restored == nil {
		a.restored = make(map[uint64]bool)
	}
	a.restored[fingerprint] = true
}

// adoptBlocks adds the recorded blocks that this host does not know, as suspicions. It must be called before losses are sent to
// followers, so that a follower learns of them together with the configuration.
func (k *Keeper) adoptBlocks(view store.View, now time.Time) {
	for _, r := range k.blocks.add(view.Blocks) {
		loss, changed := k.losses.Merge(quarantiner.DecodeBlock(r, now), now)
		if loss.Blocked && !changed {
			continue // The block is known.
		}
		k.blocks.setRestored(r.GetFingerprint())
		k.trials.Begin(r.GetFingerprint(), restoredTrial, now.Add(suspicionDelay), now)
		eventer.BlockAdopted.Log(now, "fingerprint", r.GetFingerprint(), "blocked", loss.Blocked, "lost", loss.IDs(), "index", view.Index)
	}
}
