package configurator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/configurator"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func whole(version uint64, body string) *statev1.Document {
	return &statev1.Document{Version: version, Body: []byte(body), Author: "operator"}
}

// Guards against an older or a different document of the same version that replaces the one in force, and against
// a resend that is refused.
func TestHighestVersionIsInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	d := configurator.NewDocuments()
	qt.Assert(t, d.Apply(whole(7, "seven"), now).GetApplied(), qt.IsTrue)
	for _, late := range []*statev1.Document{whole(7, "seven"), whole(7, "other"), whole(5, "five")} {
		result := d.Apply(late, now)
		qt.Assert(t, result.GetApplied(), qt.IsFalse)
		qt.Assert(t, result.GetVersion(), qt.Equals, uint64(7))
	}
	qt.Assert(t, string(d.Current().GetBody()), qt.Equals, "seven")
	qt.Assert(t, d.Apply(whole(20, "twenty"), now).GetVersion(), qt.Equals, uint64(20))
	qt.Assert(t, d.Changes(), qt.HasLen, 5)
}

// Guards against a document or an audit trail that a snapshot loses.
func TestDocumentsSurviveASnapshot(t *testing.T) {
	d := configurator.NewDocuments()
	d.Apply(whole(7, "seven"), time.Unix(1000, 0))
	state := &statev1.State{}
	d.Save(state)
	other := configurator.NewDocuments()
	other.Load(state)
	qt.Assert(t, other.Current().GetVersion(), qt.Equals, uint64(7))
	qt.Assert(t, other.Changes(), qt.HasLen, 1)
	qt.Assert(t, other.Apply(whole(7, "other"), time.Unix(1001, 0)).GetApplied(), qt.IsFalse)
}
