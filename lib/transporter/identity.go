package transporter

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// reloadInterval is the least time between two looks at the certificate files.
const reloadInterval = time.Second

// Files names the files of a process's TLS identity, all PEM.
type Files struct {
	// Certificate holds the process's certificate chain.
	Certificate string
	// Key holds the private key.
	Key string
	// Authority holds the certificates that sign the system's certificates.
	Authority string
}

// Identity is a TLS identity that follows its files, so that keys change without a restart.
// It is safe for concurrent use.
type Identity struct {
	files Files
	clock func() time.Time

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// NewIdentity loads the files.
func NewIdentity(files Files, clock func() time.Time) (*Identity, error) {
	i := &Identity{files: files, clock: clock}
	if err := i.load(clock()); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) load(now time.Time) error {
	changed, err := i.modified()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return oops.In("transporter").Wrapf(err, "load certificate")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return oops.In("transporter").Wrapf(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return oops.In("transporter").Errorf("%s holds no certificate", i.files.Authority)
	}
	i.pair, i.pool, i.checked, i.changed = &pair, pool, now, changed
	return nil
}

// modified returns the newest modification time of the files.
func (i *Identity) modified() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, oops.In("transporter").Wrapf(err, "identity file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// current returns the newest loadable pair and pool. Files that cannot be loaded leave the previous ones in use,
// because a half-written file must not stop the process.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	now := i.clock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.checked) >= reloadInterval {
		i.checked = now
		if changed, err := i.modified(); err == nil && changed.After(i.changed) {
			_ = i.load(now)
		}
	}
	return i.pair, i.pool
}

// Server returns the TLS settings of a listener. With required set, a peer without a certificate is turned away.
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

// Client returns the TLS settings of outgoing connections. The server's chain is verified against the authority
// as it is at the time of the handshake.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := i.current()
			return pair, nil
		},
		// Chain and name are verified in VerifyConnection, because RootCAs cannot change after the configuration is made.
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
