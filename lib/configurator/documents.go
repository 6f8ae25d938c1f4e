package configurator

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// DefaultChanges is the default number of newest changes in the audit trail of documents.
const DefaultChanges = 1000

// Documents is the replicated state of configurations that are submitted as full documents. The document with the
// highest version is in force. It is not safe for concurrent use.
type Documents struct {
	current *statev1.Document
	changes []*statev1.Change
	keep    int
}

// NewDocuments returns an empty state.
func NewDocuments() *Documents {
	return &Documents{keep: DefaultChanges}
}

// Apply puts a document into force if its version is higher than the current one. Any other document is either a resend
// or superseded by a newer one, and changes only the audit trail.
func (d *Documents) Apply(document *statev1.Document, now time.Time) *statev1.DocumentResult {
	applied := document.GetVersion() > d.current.GetVersion()
	digest := sha256.Sum256(document.GetBody())
	d.Audit(&statev1.Change{
		Time: timestamppb.New(now), Author: document.GetAuthor(), Version: document.GetVersion(),
		Digest: digest[:], Length: uint64(len(document.GetBody())), Applied: applied,
	})
	if applied {
		d.current = document
	}
	return &statev1.DocumentResult{Applied: applied, Version: d.current.GetVersion()}
}

// Audit adds a change to the audit trail.
func (d *Documents) Audit(change *statev1.Change) {
	d.changes = append(d.changes, change)
	if len(d.changes) > d.keep {
		d.changes = append(make([]*statev1.Change, 0, d.keep), d.changes[len(d.changes)-d.keep:]...)
	}
}

// Current returns the document in force, or nil.
func (d *Documents) Current() *statev1.Document {
	return d.current
}

// Changes returns the audit trail, oldest entry first.
func (d *Documents) Changes() []*statev1.Change {
	return d.changes
}

// Save writes the state to a snapshot. The messages are shared and must not be modified.
func (d *Documents) Save(state *statev1.State) {
	state.Document = d.current
	state.Changes = append(state.Changes, d.changes...)
}

// Load replaces the state with that of a snapshot.
func (d *Documents) Load(state *statev1.State) {
	d.current = state.GetDocument()
	d.changes = state.GetChanges()
}
