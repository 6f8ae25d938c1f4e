package transporter

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// reloadInterval is the minimum time between two checks of the certificate files for changes.
const reloadInterval = time.Second

// Files names the files of a process's TLS identity, all PEM.
type Files struct {
	// Certificate holds the process's certificate chain.
	Certificate string
	// Key holds the private key.
	Key string
	// Authority holds the CA certificates that sign the system's certificates.
	Authority string
}

// Identity is a TLS identity that is reloaded when its files change, so that keys can be rotated without a restart.
// It is safe for concurrent use.
type Identity struct {
	files Files
	clock func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	pair      *tls.Certificate
	pool      *x509.CertPool
}

// NewIdentity loads a TLS identity from the files.
func NewIdentity(files Files, clock func() time.Time) (*Identity, error) {
	i := &Identity{files: files, clock: clock}
	if err := i.load(clock()); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) load(now time.Time) error {
	changed, err := i.newestModTime()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return oops.In("transporter").Wrapf(err, "load certificate")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return oops.In("transporter").Wrapf(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return oops.In("transporter").Errorf("%s contains no PEM certificate", i.files.Authority)
	}
	i.pair, i.pool, i.lastCheck, i.modTime = &pair, pool, now, changed
	return nil
}

// newestModTime returns the latest modification time of the files.
func (i *Identity) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, oops.In("transporter").Wrapf(err, "stat identity file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// current returns the key pair and CA pool in use, after reloading them when the files have changed. If the new files
// cannot be loaded, the previous pair and pool stay in use, because a half-written file must not stop the process.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	now := i.clock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.lastCheck) >= reloadInterval {
		i.lastCheck = now
		if changed, err := i.newestModTime(); err == nil && changed.After(i.modTime) {
			_ = i.load(now)
		}
	}
	return i.pair, i.pool
}

// Server returns the TLS configuration of a listener. With required set, clients without a certificate are rejected.
func (i *Identity) Server(required bool) *tls.Config {
	client := tls.VerifyClientCertIfGiven
	if required {
		client = tls.RequireAndVerifyClientCert
	}
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, pool := i.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}, Time: i.clock,
			Certificates: []tls.Certificate{*pair}, ClientAuth: client, ClientCAs: pool,
		}, nil
	}
	return base
}

// Client returns the TLS configuration of outgoing connections. The server's chain is verified against the CA
// certificates that are current at the time of the handshake.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := i.current()
			return pair, nil
		},
		// VerifyConnection verifies chain and name instead, because RootCAs cannot change once the configuration is in use.
		InsecureSkipVerify: true, //nolint:gosec // See VerifyConnection.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := i.current()
			intermediates := x509.NewCertPool()
			for _, c := range state.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
				DNSName: state.ServerName, Roots: pool, Intermediates: intermediates, CurrentTime: i.clock(),
			})
			return oops.In("transporter").Wrapf(err, "verify %s", state.ServerName)
		},
	}
}
