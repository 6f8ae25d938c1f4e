package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/quarantiner"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// blocked returns a ledger in which a fingerprint is blocked, and the time of the last loss.
func blocked(t *testing.T) (*quarantiner.Ledger, time.Time) {
	l := quarantiner.NewLedger()
	for i := range 3 {
		note(l, 7, fmt.Sprint(i), i)
	}
	at := now.Add(2 * time.Second)
	qt.Assert(t, l.Blocked(7, at) > 0, qt.IsTrue)
	return l, at
}

// All hosts are killed and come back, with a wall clock that was set meanwhile. Guards against a block that is forgotten, against
// more than one request that runs before it holds again, and against an end that depends on a wall clock.
func TestOneLostRequestAfterARestartBlocksAgain(t *testing.T) {
	for _, step := range []time.Duration{-24 * time.Hour, 0, time.Minute, 24 * time.Hour} {
		l, at := blocked(t)
		record := quarantiner.EncodeBlock(l.Blocks(at)[0], nil, at)
		restart := func() {
			at = at.Add(step)
			l = quarantiner.NewLedger()
			l.Merge(quarantiner.DecodeBlock(record, at), at)
		}
		for _, id := range []string{"again", "once more"} {
			restart()
			qt.Assert(t, l.Blocked(7, at), qt.Equals, time.Duration(0))
			qt.Assert(t, l.Suspected(7, at), qt.IsTrue)
			began := at.Add(time.Second)
			at = began.Add(time.Millisecond)
			l.RecordLoss(7, id, began, at)
			qt.Assert(t, l.Blocked(7, at), qt.Equals, quarantiner.BlockTime)
			record = quarantiner.EncodeBlock(l.Blocks(at)[0], record, at)
			qt.Assert(t, record.GetLost(), qt.HasLen, 3)
		}
		restart()
		qt.Assert(t, l.Blocked(7, at), qt.Equals, quarantiner.BlockTime)
	}
}

// A host that starts applies the log in parts, and sees a record and then one that confirms it. Guards against losses of both that add up
// to a block, so that no request could show that the block is wrong.
func TestRecordsOfABlockDoNotAddUp(t *testing.T) {
	l, at := blocked(t)
	at = at.Add(10 * time.Second)
	first := quarantiner.EncodeBlock(l.Blocks(at)[0], nil, at)
	l = quarantiner.NewLedger()
	l.Merge(quarantiner.DecodeBlock(first, at), at)
	at = at.Add(time.Minute)
	l.RecordLoss(7, "again", at.Add(-time.Millisecond), at)
	second := quarantiner.EncodeBlock(l.Blocks(at)[0], first, at)
	qt.Assert(t, second.GetConfirmed(), qt.Equals, uint32(1))
	at = at.Add(time.Hour)
	l = quarantiner.NewLedger()
	for _, record := range []*statev1.Block{first, second, first} {
		l.Merge(quarantiner.DecodeBlock(record, at), at)
		qt.Assert(t, l.Suspected(7, at), qt.IsTrue)
	}
	began := at.Add(time.Second)
	l.RecordLoss(7, "once more", began, began.Add(time.Millisecond))
	qt.Assert(t, l.Blocked(7, began) > 0, qt.IsTrue)
}

// Leaves reset connections until a sound request is blocked, and all hosts are killed. Guards against a wrong block that lasts
// longer because it is recorded.
func TestAnswerAfterARestartEndsTheBlock(t *testing.T) {
	l, at := blocked(t)
	record := quarantiner.EncodeBlock(l.Blocks(at)[0], nil, at)
	l = quarantiner.NewLedger()
	l.Merge(quarantiner.DecodeBlock(record, at), at)
	_, changed := l.RecordAnswer(7, at)
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, l.Suspected(7, at), qt.IsFalse)
	l.Merge(quarantiner.DecodeBlock(record, at), at)
	qt.Assert(t, l.Suspected(7, at), qt.IsFalse)
	qt.Assert(t, l.Suspected(7, at.Add(quarantiner.BlockTime)), qt.IsFalse)
}

// Guards against records that differ between hosts, are lost in a snapshot, or grow without bound.
func TestBlocksAreBoundedAndSaved(t *testing.T) {
	var b quarantiner.Blocks
	qt.Assert(t, b.Apply(&statev1.Blocks{Removed: []uint64{1}}), qt.IsFalse)
	for f := range uint64(1000) {
		b.Apply(&statev1.Blocks{Set: []*statev1.Block{{Fingerprint: 1000 - f}}})
	}
	qt.Assert(t, b.List(), qt.HasLen, 256)
	qt.Assert(t, b.Apply(&statev1.Blocks{Set: []*statev1.Block{{Fingerprint: 900, Confirmed: 1}}, Removed: []uint64{1000, 1000}}), qt.IsTrue)
	state := &statev1.State{}
	b.Save(state)
	var restored quarantiner.Blocks
	restored.Load(state)
	qt.Assert(t, restored.List(), qt.HasLen, 255)
	for i, r := range restored.List() {
		qt.Assert(t, r.GetFingerprint(), qt.Equals, uint64(745+i))
		qt.Assert(t, r.GetConfirmed() == 1, qt.Equals, r.GetFingerprint() == 900)
	}
}

// A block has ended while its host was down. Guards against a message without lost requests, or with odd ages, that stops a host.
func TestOddRecordsAreHarmless(t *testing.T) {
	for _, record := range []*statev1.Block{nil, {Fingerprint: 7}, {Fingerprint: 7, Confirmed: 9}, {Fingerprint: 7, Lost: []*statev1.LostRequest{{Id: "a"}, {Id: "a"}}}} {
		l := quarantiner.NewLedger()
		l.Merge(quarantiner.DecodeBlock(record, now), now)
		qt.Assert(t, l.Blocked(7, now), qt.Equals, time.Duration(0))
	}
}
