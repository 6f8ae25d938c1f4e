package configurator

import (
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// DefaultAudits is the default number of newest audit entries kept. At 480 accepted and as many rejected changes
	// per day, that is ten days.
	DefaultAudits = 10000
	// DefaultAuditBytes is the default size limit of the audit trail, so that a flood of large rejected patches cannot
	// exhaust memory.
	DefaultAuditBytes = 32 << 20
)

// trail is the audit trail. It is also used to recognise resent patches: as long as the trail holds the entry of a
// patch, a resend gets the first result. After that, a resend of an accepted patch is a conflict, because its base is
// no longer the newest version, so it cannot be applied twice.
type trail struct {
	keep    int
	bytes   int
	size    int
	audits  []*statev1.Audit
	results map[string]*statev1.Audit // first decision by patch identity
}

func (t *trail) add(a *statev1.Audit) {
	t.audits = append(t.audits, a)
	t.size += proto.Size(a)
	if a.GetResult().GetVerdict() != statev1.Verdict_VERDICT_REUSED {
		t.results[a.GetPatch().GetId()] = a
	}
	t.trim()
}

// trim removes the oldest entries beyond the limits, but never the newest entry.
func (t *trail) trim() {
	for len(t.audits) > 1 && (len(t.audits) > t.keep || t.size > t.bytes) {
		oldest := t.audits[0]
		t.audits[0] = nil
		t.audits = t.audits[1:]
		t.size -= proto.Size(oldest)
		if id := oldest.GetPatch().GetId(); t.results[id] == oldest {
			delete(t.results, id)
		}
	}
}

// firstDecision returns the first decision on a patch with an identity.
func (t *trail) firstDecision(id string) (*statev1.Audit, bool) {
	a, ok := t.results[id]
	return a, ok
}

// list returns at most limit of the newest entries whose version is at least from, oldest first. A limit of zero means
// all.
func (t *trail) list(from uint64, limit int) []*statev1.Audit {
	var out []*statev1.Audit
	for _, a := range t.audits {
		if a.GetResult().GetVersion() >= from {
			out = append(out, a)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}
