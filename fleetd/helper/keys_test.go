package helper

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
)

// Guards against keys in messages between hosts, and against a tenant, the position of its key or its priority that is lost
// on the way.
func TestMessagesCarryTheTenantAndNoKey(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := &answerer.Portion{
		Request:    &carrier.Request{ID: "1", Key: "sekret", Tenant: "acme", Header: http.Header{"X": {"1"}}, Withheld: http.Header{"Y": {"2"}}},
		KeyOrdinal: 3, Priority: 2, Version: 7,
	}
	m := encode(sent, now)
	raw, err := proto.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Contains(raw, []byte("sekret")), qt.IsFalse)
	got := decode(m, now)
	qt.Assert(t, got.Request.Tenant, qt.Equals, "acme")
	qt.Assert(t, got.KeyOrdinal+10*got.Priority, qt.Equals, 23)
	qt.Assert(t, got.Request.Header, qt.DeepEquals, sent.Request.Header)
	qt.Assert(t, got.Request.Withheld, qt.DeepEquals, sent.Request.Withheld)
}
