package transporter

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Security creates servers and clients that use the process's TLS identity, or no TLS when there is none.
type Security struct {
	identity *Identity
}

// NewSecurity loads the TLS identity. With off set it returns a Security without TLS, and fails unless every listening
// address is on loopback.
func NewSecurity(off bool, files Files, clock func() time.Time, listening ...string) (*Security, error) {
	if !off {
		identity, err := NewIdentity(files, clock)
		if err != nil {
			return nil, err
		}
		return &Security{identity: identity}, nil
	}
	for _, text := range listening {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, oops.In("transporter").Wrapf(err, "listening address")
		}
		if !address.Addr().IsLoopback() {
			return nil, oops.In("transporter").Errorf("tls.off is permitted on loopback only, and %s is not on loopback", text)
		}
	}
	return &Security{}, nil
}

// WithoutTLS returns a Security without TLS, for simulated servers and tests on loopback.
func WithoutTLS() *Security {
	return &Security{}
}

// Open reports whether TLS is off.
func (s *Security) Open() bool {
	return s.identity == nil
}

// URL returns the base URL of an address.
func (s *Security) URL(address string) string {
	if s.Open() {
		return "http://" + address
	}
	return "https://" + address
}

// Client returns an HTTP/2 client that closes connections on which pings are not answered.
func (s *Security) Client(policy PingPolicy) *http.Client {
	client := NewClient(policy)
	if transport, ok := client.Transport.(*http.Transport); ok && !s.Open() {
		transport.TLSClientConfig = s.identity.Client()
	}
	return client
}

// Serve serves HTTP on a listener until the server is shut down. Client certificates are optional and verified when
// presented.
func (s *Security) Serve(server *http.Server, listener net.Listener) error {
	if s.Open() {
		return ignoreServerClosed(server.Serve(listener))
	}
	server.TLSConfig = s.identity.Server(false)
	return ignoreServerClosed(server.ServeTLS(listener, "", ""))
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("transporter").Wrap(err)
}

// hostUnit is the organizational unit in certificates of the system's own processes.
const hostUnit = "host"

// GRPCServer returns a gRPC server that accepts only clients with the certificate of one of the system's own processes.
func (s *Security) GRPCServer(options ...grpc.ServerOption) *grpc.Server {
	base := []grpc.ServerOption{s.credentials(), grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(connWindowBytes)}
	return grpc.NewServer(append(base, options...)...)
}

func (s *Security) credentials() grpc.ServerOption {
	if s.Open() {
		return grpc.Creds(insecure.NewCredentials())
	}
	config := s.identity.Server(true)
	getConfig := config.GetConfigForClient
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		out, err := getConfig(hello)
		if err == nil {
			out.VerifyConnection = verifyHost
		}
		return out, err
	}
	return grpc.Creds(credentials.NewTLS(config))
}

func verifyHost(state tls.ConnectionState) error {
	if !slices.ContainsFunc(state.PeerCertificates, isHost) {
		return oops.In("transporter").Errorf("no peer certificate has the organizational unit of a host")
	}
	return nil
}

func isHost(c *x509.Certificate) bool {
	return !c.IsCA && slices.Contains(c.Subject.OrganizationalUnit, hostUnit)
}

// DialOption returns the gRPC transport credentials of outgoing connections.
func (s *Security) DialOption() grpc.DialOption {
	if s.Open() {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(s.identity.Client()))
}

// Listen opens a TCP listener on an address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return listener, oops.In("transporter").Wrapf(err, "listen on %s", address)
}
