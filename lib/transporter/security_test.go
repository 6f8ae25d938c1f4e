package transporter_test

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/issuer"
	"lycheelift.example/lib/transporter"
)

var day = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

func newAuthority(t *testing.T) *issuer.Issuer {
	out, err := issuer.New(day)
	qt.Assert(t, err, qt.IsNil)
	return out
}

func issue(t *testing.T, a *issuer.Issuer, folder, name, role string) transporter.Files {
	files, err := a.Issue(folder, name, authorizer.Role(role), netip.MustParseAddr("127.0.0.1"))
	qt.Assert(t, err, qt.IsNil)
	return files
}

// serve starts a server that answers 200 to peers with the operator role and 403 to others.
func serve(t *testing.T, s *transporter.Security) string {
	listener, err := transporter.Listen(context.Background(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := transporter.NewServer(authorizer.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if authorizer.Require(r.Context(), authorizer.Operator) != nil {
			w.WriteHeader(http.StatusForbidden)
		}
	}), s.Open()))
	go func() { _ = s.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func get(t *testing.T, s *transporter.Security, address string) (int, error) {
	client := s.Client(transporter.PingPolicy{Interval: time.Second, Timeout: time.Second})
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.URL(address), nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against access without the required role, and against accepting certificates of another authority.
func TestRolesAndAuthoritiesAreChecked(t *testing.T) {
	clock := func() time.Time { return day }
	authority := newAuthority(t)
	server, err := transporter.NewSecurity(false, issue(t, authority, t.TempDir(), "control-1", "host"), clock)
	qt.Assert(t, err, qt.IsNil)
	address := serve(t, server)
	status := func(a *issuer.Issuer, role string) (int, error) {
		s, err := transporter.NewSecurity(false, issue(t, a, t.TempDir(), "peer", role), clock)
		qt.Assert(t, err, qt.IsNil)
		return get(t, s, address)
	}
	code, err := status(authority, "operator")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	code, err = status(authority, "caller")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusForbidden)
	_, err = status(newAuthority(t), "operator")
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against a key rotation that needs a restart, and against a process that stops because of a half-written file.
func TestIdentityFollowsItsFiles(t *testing.T) {
	now := day
	folder := t.TempDir()
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	s, err := transporter.NewSecurity(false, issue(t, authority, folder, "control-1", "host"), func() time.Time { return now })
	qt.Assert(t, err, qt.IsNil)
	address := serve(t, s)
	client, err := transporter.NewSecurity(false, issue(t, otherAuthority, t.TempDir(), "peer", "operator"), func() time.Time { return day })
	qt.Assert(t, err, qt.IsNil)
	_, err = get(t, client, address)
	qt.Assert(t, err, qt.IsNotNil)

	touch := func(at time.Time) {
		for _, suffix := range []string{".crt", ".key", ".ca"} {
			qt.Assert(t, os.Chtimes(filepath.Join(folder, "control-1"+suffix), at, at), qt.IsNil)
		}
	}
	qt.Assert(t, os.WriteFile(filepath.Join(folder, "control-1.crt"), []byte("half"), 0o600), qt.IsNil)
	touch(time.Now().Add(time.Hour))
	now = now.Add(time.Minute)
	_, err = get(t, client, address)
	qt.Assert(t, err, qt.IsNotNil)

	issue(t, otherAuthority, folder, "control-1", "host")
	touch(time.Now().Add(2 * time.Hour))
	now = now.Add(time.Minute)
	code, err := get(t, client, address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
}

// Guards against disabling TLS on an address that other machines can reach.
func TestTLSOffIsRefusedBeyondLoopback(t *testing.T) {
	_, err := transporter.NewSecurity(true, transporter.Files{}, time.Now, "127.0.0.1:1", "10.0.0.1:1")
	qt.Assert(t, err, qt.ErrorMatches, ".*10.0.0.1:1 is not on loopback")
}
