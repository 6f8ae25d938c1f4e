// Package issuer creates certificates for the demo and for tests. Deployments use certificates of their own authority.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/transporter"
)

// validity is how long a certificate is valid before and after its time of issue.
const validity = 24 * time.Hour

// Issuer is a certificate authority.
type Issuer struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	now  time.Time
}

// New returns an authority with a new key. Its certificates are valid from one day before to one day after now.
func New(now time.Time) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, oops.In("issuer").Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-validity), NotAfter: now.Add(validity), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, oops.In("issuer").Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	return &Issuer{key: key, cert: cert, now: now}, oops.In("issuer").Wrap(err)
}

// Issue creates a certificate for a named process with a role and the given addresses. It writes the certificate, its
// private key and the authority's certificate to a folder and returns their paths.
func (i *Issuer) Issue(folder, name string, role authorizer.Role, addresses ...netip.Addr) (transporter.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: i.now.Add(-validity), NotAfter: i.now.Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, a := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(a.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	files := transporter.Files{
		Certificate: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"), Authority: filepath.Join(folder, name+".ca"),
	}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: i.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return transporter.Files{}, oops.In("issuer").Wrap(err)
		}
	}
	return files, nil
}
