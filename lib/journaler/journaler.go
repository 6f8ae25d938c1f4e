// Package journaler keeps the replicated log in checksummed files: append-only segments, one snapshot
// and the hard state.
//
// Each sync writes one frame, so that a crash can tear only the last frame of the last segment. An
// unreadable frame there is cut off at start; one that is followed by a readable frame was synced before
// and is reported as damage, because cutting it would lose acknowledged records. A damaged last frame
// can not be told from a torn one (Alagappan et al., Protocol-Aware Recovery for Consensus-Based
// Storage, FAST 2018, section 3.3).
//
// After a failed write or sync, the state of the file is not known and a further sync may wrongly succeed
// (Rebello et al., Can Applications Recover from fsync Failures?, USENIX ATC 2020). The journal therefore
// refuses everything after the first failure.
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
	stateName      = "state"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
	// segmentSize is the size in bytes at which a new segment is begun. A restart reads all segments, and
	// compaction deletes whole segments only.
	segmentSize = 4 << 20
)

// ErrFailed is the error of every operation after the first failed write or sync.
var ErrFailed = errors.New("the journal has failed and acknowledges nothing until the process is restarted")

// Content is what a journal held when it was opened.
type Content struct {
	State    *statev1.HardState
	Snapshot *statev1.Snapshot // nil without a snapshot
	Records  []*statev1.Record // the records after the snapshot
	// Commit is the highest index that is known to be committed.
	Commit uint64
	// Cut is the number of bytes of a torn tail that were removed.
	Cut int64
}

type segment struct {
	name string
	last uint64 // highest index in the segment
}

// Journal writes the files of one replica. It is not safe for concurrent use.
type Journal struct {
	fs       FileSystem
	file     File
	size     int64
	sequence uint64 // of the newest segment
	oldest   uint64 // of the first segment that counts
	segments []segment
	snapshot string
	failed   error
}

// Open reads the files, cuts a torn tail and returns what is durable. The error is a *DamageError when a
// synced part cannot be read.
func Open(fs FileSystem) (*Journal, *Content, error) {
	names, err := fs.List()
	if err != nil {
		return nil, nil, oops.In("journaler").Wrapf(err, "list the data folder")
	}
	slices.Sort(names)
	j, c := &Journal{fs: fs}, &Content{State: &statev1.HardState{}}
	if err := j.readState(c); err != nil {
		return nil, nil, err
	}
	if err := j.readSnapshot(names, c); err != nil {
		return nil, nil, err
	}
	if err := j.readSegments(names, c); err != nil {
		return nil, nil, err
	}
	return j, c, j.clean(names)
}

func (j *Journal) readState(c *Content) error {
	data, err := j.fs.Read(stateName)
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
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporary) {
			continue
		}
		j.snapshot = name // Names sort by index: the last one is the newest.
	}
	if j.snapshot == "" {
		return nil
	}
	if _, err := fmt.Sscanf(j.snapshot, snapshotPrefix+"%d-%d", new(uint64), &j.oldest); err != nil {
		return &DamageError{File: j.snapshot, Text: "not the name of a snapshot"}
	}
	data, err := j.fs.Read(j.snapshot)
	if err != nil {
		return oops.In("journaler").Wrapf(err, "read %s", j.snapshot)
	}
	c.Snapshot = &statev1.Snapshot{}
	return decodeFile(j.snapshot, data, c.Snapshot)
}

// decodeFile decodes a file that consists of one frame and was made durable before it got its name.
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
	j.sequence = max(j.oldest, 1) - 1
	var wanted []string
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &sequence); err != nil {
			return &DamageError{File: name, Text: "not the name of a segment"}
		}
		if sequence >= j.oldest {
			wanted = append(wanted, name)
			j.sequence = sequence
		}
	}
	for i, name := range wanted {
		if err := j.readSegment(name, i == len(wanted)-1, c); err != nil {
			return err
		}
	}
	return fit(c)
}

func (j *Journal) readSegment(name string, last bool, c *Content) error {
	data, err := j.fs.Read(name)
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
			return oops.In("journaler").Wrapf(j.fs.Truncate(name, int64(offset)), "cut the torn tail of %s", name)
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

// add appends a record and drops the records that it replaces.
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

// fit removes the records that the snapshot contains.
func fit(c *Content) error {
	at := c.Snapshot.GetIndex()
	if len(c.Records) == 0 {
		return nil
	}
	first := c.Records[0].GetIndex()
	if first > at+1 {
		return &DamageError{File: segmentPrefix, Text: fmt.Sprintf("the first record is %d, but the snapshot ends at %d", first, at)}
	}
	if first == at+1 {
		return nil
	}
	n := at - first // position of the record that the snapshot ends with
	if n >= uint64(len(c.Records)) {
		c.Records = nil
		return nil
	}
	if term := c.Records[n].GetTerm(); term != c.Snapshot.GetTerm() {
		return &DamageError{File: segmentPrefix, Text: fmt.Sprintf("record %d has term %d, but the snapshot has term %d", at, term, c.Snapshot.GetTerm())}
	}
	c.Records = slices.Clone(c.Records[n+1:])
	return nil
}

// clean removes files that a crash left behind.
func (j *Journal) clean(names []string) error {
	for _, name := range names {
		old := strings.HasPrefix(name, snapshotPrefix) && name != j.snapshot
		old = old || strings.HasPrefix(name, segmentPrefix) && !j.holds(name)
		if !old && !strings.HasSuffix(name, temporary) {
			continue
		}
		if err := j.fs.Remove(name); err != nil {
			return oops.In("journaler").Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

func (j *Journal) holds(name string) bool {
	return slices.ContainsFunc(j.segments, func(s segment) bool { return s.name == name })
}
