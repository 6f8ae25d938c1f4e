package configurator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/configurator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func document(version uint64, body string) *statev1.Document {
	return &statev1.Document{Version: version, Body: []byte(body), Author: "operator"}
}

// Guards against replacing the document in force by an older one or by a different one of the same version, and against
// a resend that does not return the version in force.
func TestHighestVersionIsInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := configurator.NewDocuments()
	qt.Assert(t, d.Apply(document(7, "seven"), now).GetApplied(), qt.IsTrue)
	for _, late := range []*statev1.Document{document(7, "seven"), document(7, "other"), document(5, "five")} {
		result := d.Apply(late, now)
		qt.Assert(t, result.GetApplied(), qt.IsFalse)
		qt.Assert(t, result.GetVersion(), qt.Equals, uint64(7))
	}
	qt.Assert(t, string(d.Current().GetBody()), qt.Equals, "seven")
	qt.Assert(t, d.Apply(document(20, "twenty"), now).GetVersion(), qt.Equals, uint64(20))
	qt.Assert(t, d.Changes(), qt.HasLen, 5)
}

// Guards against a document or an audit trail that is lost in a snapshot.
func TestDocumentsSurviveASnapshot(t *testing.T) {
	d := configurator.NewDocuments()
	d.Apply(document(7, "seven"), time.Unix(1000, 0))
	state := &statev1.State{}
	d.Save(state)
	other := configurator.NewDocuments()
	other.Load(state)
	qt.Assert(t, other.Current().GetVersion(), qt.Equals, uint64(7))
	qt.Assert(t, other.Changes(), qt.HasLen, 1)
	qt.Assert(t, other.Apply(document(7, "other"), time.Unix(1001, 0)).GetApplied(), qt.IsFalse)
}
