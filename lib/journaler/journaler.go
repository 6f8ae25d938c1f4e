// Package journaler stores the replicated log in checksummed files: append-only segments, one snapshot
// and the hard state.
//
// Each sync writes one frame, so a crash can tear only the last frame of the last segment. Open truncates
// an unreadable frame there. An unreadable frame that is followed by a readable one was synced before
// and is reported as damage, because truncating it would lose acknowledged records. A damaged last frame
// cannot be distinguished from a torn one (Alagappan et al., Protocol-Aware Recovery for Consensus-Based
// Storage, FAST 2018, section 3.3).
//
// A process that was killed leaves files whose last bytes and names may not be durable yet, although the next
// process reads them. Open therefore syncs every file that it reads, and the folder, before their content counts.
//
// After a failed write or sync, the state of the file is unknown and a further sync may wrongly succeed
// (Rebello et al., Can Applications Recover from fsync Failures?, USENIX ATC 2020). The journal therefore
// rejects every operation after the first failure.
package journaler

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	stateName       = "state"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	// segmentSize is the size in bytes at which a new segment is started. A restart reads all segments, and
	// compaction deletes whole segments only.
	segmentSize = 4 << 20
)

// ErrFailed is the error of every operation after the first failed write or sync.
var ErrFailed = errors.New("the journal has failed and acknowledges nothing until the process is restarted")

// Content is the content of a journal at the time it was opened.
type Content struct {
	State    *statev1.HardState
	Snapshot *statev1.Snapshot // nil without a snapshot
	Records  []*statev1.Record // the records after the snapshot
	// Commit is the highest index that is known to be committed.
	Commit uint64
	// Cut is the size in bytes of the torn tail that was removed.
	Cut int64
}

type segment struct {
	name string
	last uint64 // highest index in the segment
}

// Journal writes the files of one replica. It is not safe for concurrent use.
type Journal struct {
	fs            FileSystem
	file          File
	size          int64
	sequence      uint64 // of the newest segment
	firstSequence uint64 // sequence of the first valid segment
	segments      []segment
	snapshot      string
	failed        error
}

// Open reads the files, makes them durable, removes a torn tail and returns the content. The error is a *DamageError when synced
// data is unreadable.
func Open(fs FileSystem) (*Journal, *Content, error) {
	names, err := fs.List()
	if err != nil {
		return nil, nil, oops.In("journaler").Wrapf(err, "list the data folder")
	}
	slices.Sort(names)
	j, c := &Journal{fs: fs}, &Content{State: &statev1.HardState{}}
	// The names must be durable before the files that a rename has made obsolete are removed.
	if err := fs.Sync(); err != nil {
		return nil, nil, oops.In("journaler").Wrapf(err, "sync the data folder")
	}
	if err := j.readState(c); err != nil {
		return nil, nil, err
	}
	if err := j.readSnapshot(names, c); err != nil {
		return nil, nil, err
	}
	if err := j.readSegments(names, c); err != nil {
		return nil, nil, err
	}
	return j, c, j.removeObsolete(names)
}

func (j *Journal) readState(c *Content) error {
	data, err := ReadDurable(j.fs, stateName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return oops.In("journaler").Wrapf(err, "read %s", stateName)
	}
	return decodeFile(stateName, data, c.State)
}

func (j *Journal) readSnapshot(names []string, c *Content) error {
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		j.snapshot = name // Names sort by index, so the last one is the newest.
	}
	if j.snapshot == "" {
		return nil
	}
	if _, err := fmt.Sscanf(j.snapshot, snapshotPrefix+"%d-%d", new(uint64), &j.firstSequence); err != nil {
		return &DamageError{File: j.snapshot, Text: "not the name of a snapshot"}
	}
	data, err := ReadDurable(j.fs, j.snapshot)
	if err != nil {
		return oops.In("journaler").Wrapf(err, "read %s", j.snapshot)
	}
	c.Snapshot = &statev1.Snapshot{}
	return decodeFile(j.snapshot, data, c.Snapshot)
}

// decodeFile decodes a single-frame file. Such a file is durable before it is renamed to its final name, so an
// invalid frame is damage and not a torn write.
func decodeFile(name string, data []byte, into proto.Message) error {
	payload, _, ok := decodeFrame(data)
	if !ok {
		return &DamageError{File: name, Text: "wrong checksum"}
	}
	if err := proto.Unmarshal(payload, into); err != nil {
		return &DamageError{File: name, Text: err.Error()}
	}
	return nil
}

func (j *Journal) readSegments(names []string, c *Content) error {
	j.sequence = max(j.firstSequence, 1) - 1
	var valid []string
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &sequence); err != nil {
			return &DamageError{File: name, Text: "not the name of a segment"}
		}
		if sequence >= j.firstSequence {
			valid = append(valid, name)
			j.sequence = sequence
		}
	}
	for i, name := range valid {
		if err := j.readSegment(name, i == len(valid)-1, c); err != nil {
			return err
		}
	}
	return trimRecords(c)
}

func (j *Journal) readSegment(name string, last bool, c *Content) error {
	data, err := ReadDurable(j.fs, name)
	if err != nil {
		return oops.In("journaler").Wrapf(err, "read %s", name)
	}
	s := segment{name: name}
	for offset := 0; offset < len(data); {
		payload, size, ok := decodeFrame(data[offset:])
		if !ok {
			if !last || containsFrame(data[offset+1:]) {
				return &DamageError{File: name, Offset: int64(offset), Text: "wrong checksum"}
			}
			c.Cut = int64(len(data) - offset)
			j.segments = append(j.segments, s)
			return oops.In("journaler").Wrapf(j.fs.Truncate(name, int64(offset)), "truncate the torn tail of %s", name)
		}
		batch := &statev1.Batch{}
		if err := proto.Unmarshal(payload, batch); err != nil {
			return &DamageError{File: name, Offset: int64(offset), Text: err.Error()}
		}
		c.Commit = max(c.Commit, batch.GetCommit())
		for _, r := range batch.GetRecords() {
			if err := c.add(r); err != nil {
				return &DamageError{File: name, Offset: int64(offset), Text: err.Error()}
			}
			s.last = max(s.last, r.GetIndex())
		}
		offset += size
	}
	j.segments = append(j.segments, s)
	return nil
}

// add appends a record and removes the records that it replaces.
func (c *Content) add(r *statev1.Record) error {
	for n := len(c.Records); n > 0 && c.Records[n-1].GetIndex() >= r.GetIndex(); n-- {
		c.Records = c.Records[:n-1]
	}
	if n := len(c.Records); n > 0 && c.Records[n-1].GetIndex()+1 != r.GetIndex() {
		if r.GetIndex() > c.Snapshot.GetIndex()+1 {
			return fmt.Errorf("record %d follows record %d", r.GetIndex(), c.Records[n-1].GetIndex())
		}
		c.Records = nil // A snapshot was installed between the two records.
	}
	c.Records = append(c.Records, r)
	return nil
}

// trimRecords removes the records that the snapshot already covers.
func trimRecords(c *Content) error {
	snapshotIndex := c.Snapshot.GetIndex()
	if len(c.Records) == 0 {
		return nil
	}
	first := c.Records[0].GetIndex()
	if first > snapshotIndex+1 {
		return &DamageError{File: segmentPrefix, Text: fmt.Sprintf("the first record is %d, but the snapshot ends at %d", first, snapshotIndex)}
	}
	if first == snapshotIndex+1 {
		return nil
	}
	n := snapshotIndex - first // position of the last record that the snapshot covers
	if n >= uint64(len(c.Records)) {
		c.Records = nil
		return nil
	}
	if term := c.Records[n].GetTerm(); term != c.Snapshot.GetTerm() {
		return &DamageError{File: segmentPrefix, Text: fmt.Sprintf("record %d has term %d, but the snapshot has term %d", snapshotIndex, term, c.Snapshot.GetTerm())}
	}
	c.Records = slices.Clone(c.Records[n+1:])
	return nil
}

// removeObsolete removes obsolete and temporary files that remained after a crash.
func (j *Journal) removeObsolete(names []string) error {
	for _, name := range names {
		old := strings.HasPrefix(name, snapshotPrefix) && name != j.snapshot
		old = old || strings.HasPrefix(name, segmentPrefix) && !j.hasSegment(name)
		if !old && !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := j.fs.Remove(name); err != nil {
			return oops.In("journaler").Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

func (j *Journal) hasSegment(name string) bool {
	return slices.ContainsFunc(j.segments, func(s segment) bool { return s.name == name })
}
