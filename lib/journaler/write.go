package journaler

import (
	"fmt"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Err returns the failure that stopped the journal, or nil.
func (j *Journal) Err() error {
	return j.failed
}

// guard runs a write. After the first failure, it rejects all further writes with that error.
func (j *Journal) guard(write func() error) error {
	if j.failed != nil {
		return j.failed
	}
	if err := write(); err != nil {
		j.failed = oops.In("journaler").Wrapf(fmt.Errorf("%w: %w", ErrFailed, err), "write the journal")
	}
	return j.failed
}

// SaveState makes the hard state durable.
func (j *Journal) SaveState(s *statev1.HardState) error {
	return j.guard(func() error { return j.replace(stateName, s) })
}

// replace writes a single-frame file under a temporary name and renames it once it is durable.
func (j *Journal) replace(name string, content proto.Message) error {
	payload, err := proto.Marshal(content)
	if err != nil {
		return oops.Wrap(err)
	}
	file, err := j.fs.Create(name + temporarySuffix)
	if err != nil {
		return oops.Wrap(err)
	}
	if err := write(file, encodeFrame(payload)); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return oops.Wrap(err)
	}
	if err := j.fs.Rename(name+temporarySuffix, name); err != nil {
		return oops.Wrap(err)
	}
	return j.fs.Sync()
}

func write(file File, frame []byte) error {
	if _, err := file.Write(frame); err != nil {
		return oops.Wrap(err)
	}
	return file.Sync()
}

// Append makes records and the commit index durable with one sync. If the index of the first record is already in the
// log, the records replace all existing ones from that index on.
func (j *Journal) Append(records []*statev1.Record, commit uint64) error {
	if len(records) == 0 {
		return j.failed
	}
	return j.guard(func() error { return j.append(records, commit) })
}

func (j *Journal) append(records []*statev1.Record, commit uint64) error {
	if j.file == nil || j.size >= segmentSize {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	payload, err := proto.Marshal(&statev1.Batch{Records: records, Commit: commit})
	if err != nil {
		return oops.Wrap(err)
	}
	frame := encodeFrame(payload)
	if err := write(j.file, frame); err != nil {
		return err
	}
	j.size += int64(len(frame))
	s := &j.segments[len(j.segments)-1]
	s.last = max(s.last, records[len(records)-1].GetIndex())
	return nil
}

// rotate starts a new segment.
func (j *Journal) rotate() error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return oops.Wrap(err)
		}
	}
	j.sequence++
	name := fmt.Sprintf("%s%016d", segmentPrefix, j.sequence)
	file, err := j.fs.Create(name)
	if err != nil {
		return oops.Wrap(err)
	}
	j.file, j.size = file, 0
	j.segments = append(j.segments, segment{name: name})
	return j.fs.Sync()
}

// Compact makes a snapshot durable and deletes the segments whose records it contains.
func (j *Journal) Compact(s *statev1.Snapshot) error {
	return j.guard(func() error {
		keep := 0
		for keep < len(j.segments) && j.segments[keep].last <= s.GetIndex() {
			keep++
		}
		return j.save(s, keep)
	})
}

// Install makes a snapshot durable that replaces the whole log.
func (j *Journal) Install(s *statev1.Snapshot) error {
	return j.guard(func() error { return j.save(s, len(j.segments)) })
}

// save writes a new snapshot and deletes the old one and the first segments, as many as obsolete says. The name of the
// snapshot contains the sequence of the first valid segment, so that a single rename activates both, whichever
// deletions are durable at a crash.
func (j *Journal) save(s *statev1.Snapshot, obsolete int) error {
	sequence := j.sequence + 1
	if obsolete < len(j.segments) {
		sequence = j.sequence - uint64(len(j.segments)-1-obsolete) //nolint:gosec // Segments are numbered without gaps.
	}
	name := fmt.Sprintf("%s%020d-%016d", snapshotPrefix, s.GetIndex(), sequence)
	if err := j.replace(name, s); err != nil {
		return err
	}
	old := j.snapshot
	j.snapshot = name
	if err := j.rotate(); err != nil {
		return err
	}
	for _, removed := range j.segments[:obsolete] {
		if err := j.fs.Remove(removed.name); err != nil {
			return oops.Wrap(err)
		}
	}
	j.segments = j.segments[obsolete:]
	if old != "" && old != name {
		if err := j.fs.Remove(old); err != nil {
			return oops.Wrap(err)
		}
	}
	return j.fs.Sync()
}

// Close closes the open segment.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return oops.In("journaler").Wrap(j.file.Close())
}
