package replicator

import (
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// log holds the records after the index base. The base is the index of the newest snapshot, or a lower one when
// records are retained for slow followers.
type log struct {
	base, baseTerm uint64
	records        []*statev1.Record
}

func (l *log) last() uint64 {
	return l.base + uint64(len(l.records))
}

// term returns the term of the record at an index, and false when the index is not in the log.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.records[index-l.base-1].GetTerm(), true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// recordsFrom returns the records from an index on, limited to count records and size bytes, but at least one record.
func (l *log) recordsFrom(index uint64, count, size int) []*statev1.Record {
	if index <= l.base || index > l.last() {
		return nil
	}
	out := l.records[index-l.base-1:]
	out = out[:min(len(out), count)]
	total := 0
	for i, r := range out {
		total += proto.Size(r)
		if total > size && i > 0 {
			out = out[:i]
			break
		}
	}
	return out[:len(out):len(out)]
}

// truncateFrom removes the records from an index on. It copies the slice, because messages in flight share it.
func (l *log) truncateFrom(index uint64) {
	kept := l.records[:index-l.base-1]
	l.records = append(make([]*statev1.Record, 0, len(kept)+1), kept...)
}

// compact discards the records up to an index, which becomes the base. An index that is not in the log is ignored.
func (l *log) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.base {
		return
	}
	kept := l.records[index-l.base:]
	l.records = append(make([]*statev1.Record, 0, len(kept)+1), kept...)
	l.base, l.baseTerm = index, term
}

// reset empties the log and sets the base to the last record of a snapshot.
func (l *log) reset(index, term uint64) {
	*l = log{base: index, baseTerm: term}
}
