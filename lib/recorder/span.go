package recorder

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// source identifies an incarnation of a host.
type source struct {
	host        string
	incarnation uint64
}

// spans returns the ranges of consecutive numbers in a batch. A closed batch adds an empty span that marks its end.
func spans(batch *statev1.AnswerBatch) []*statev1.Span {
	var out []*statev1.Span
	for _, a := range batch.GetAnswers() {
		if last := len(out) - 1; last >= 0 && out[last].GetUntil()+1 == a.GetNumber() {
			out[last].Until = a.GetNumber()
			out[last].Last = a.GetTime()
			continue
		}
		out = append(out, &statev1.Span{
			Host: batch.GetHost(), Incarnation: batch.GetIncarnation(),
			From: a.GetNumber(), Until: a.GetNumber(), First: a.GetTime(), Last: a.GetTime(),
		})
	}
	if batch.GetClosed() {
		out = append(out, &statev1.Span{
			Host: batch.GetHost(), Incarnation: batch.GetIncarnation(), From: batch.GetLast() + 1, Until: batch.GetLast(), Closed: true,
		})
	}
	return Union(out)
}

// Union merges spans that are adjacent or overlap and sorts them by host, incarnation and number.
func Union(in []*statev1.Span) []*statev1.Span {
	sorted := slices.Clone(in)
	slices.SortFunc(sorted, func(a, b *statev1.Span) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()), cmp.Compare(a.GetFrom(), b.GetFrom()))
	})
	var out []*statev1.Span
	for _, s := range sorted {
		if last := len(out) - 1; last >= 0 && adjoins(out[last], s) {
			out[last] = mergeSpans(out[last], s)
			continue
		}
		out = append(out, s)
	}
	return out
}

func adjoins(a, b *statev1.Span) bool {
	return a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation() && b.GetFrom() <= a.GetUntil()+1
}

func mergeSpans(a, b *statev1.Span) *statev1.Span {
	out := &statev1.Span{
		Host: a.GetHost(), Incarnation: a.GetIncarnation(), From: a.GetFrom(), Until: max(a.GetUntil(), b.GetUntil()),
		First: a.GetFirst(), Last: laterTimestamp(a.GetLast(), b.GetLast()), Closed: a.GetClosed() || b.GetClosed(),
	}
	return out
}

func laterTimestamp(a, b *timestamppb.Timestamp) *timestamppb.Timestamp {
	if a.AsTime().After(b.AsTime()) {
		return a
	}
	return b
}

// Gaps returns the gaps in the result of Union between two times: numbers that no control host has stored, and an open
// gap at the end of each host that has sent nothing for the time idle without closing its record.
func Gaps(union []*statev1.Span, from, until time.Time, idle time.Duration) []*statev1.Gap {
	var out []*statev1.Gap
	for i, s := range union {
		if i > 0 && sameSource(union[i-1], s) {
			if overlaps(union[i-1].GetLast().AsTime(), s.GetFirst().AsTime(), from, until) {
				out = append(out, &statev1.Gap{Host: s.GetHost(), Incarnation: s.GetIncarnation(), From: union[i-1].GetUntil() + 1, Until: s.GetFrom() - 1})
			}
		}
		final := i == len(union)-1 || !sameSource(s, union[i+1])
		last := s.GetLast().AsTime()
		if final && !s.GetClosed() && !last.Before(from) && last.Add(idle).Before(until) {
			out = append(out, &statev1.Gap{Host: s.GetHost(), Incarnation: s.GetIncarnation(), From: s.GetUntil() + 1, Open: true})
		}
	}
	return out
}

func sameSource(a, b *statev1.Span) bool {
	return source{a.GetHost(), a.GetIncarnation()} == source{b.GetHost(), b.GetIncarnation()}
}

func overlaps(first, last, from, until time.Time) bool {
	return !first.After(until) && !last.Before(from)
}
