// Package issuer makes certificates for the demo and for tests. Deployments take theirs from their own authority.
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

// life is how long before and after its issue a certificate is valid.
const life = 24 * time.Hour

// Issuer is an authority that signs certificates.
type Issuer struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	now  time.Time
}

// New returns an authority; all its certificates are valid for a day before and after now.
func New(now time.Time) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, oops.In("issuer").Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-life), NotAfter: now.Add(life), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, oops.In("issuer").Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	return &Issuer{key: key, cert: cert, now: now}, oops.In("issuer").Wrap(err)
}

// Issue writes certificate, key and authority of a named process with a role, valid for the addresses, to a folder.
func (i *Issuer) Issue(folder, name string, role authorizer.Role, addresses ...netip.Addr) (transporter.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore: i.now.Add(-life), NotAfter: i.now.Add(life),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, a := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(a.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return transporter.Files{}, oops.In("issuer").Wrap(err)
	}
	files := transporter.Files{
		Certificate: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key"), Authority: filepath.Join(folder, name+".ca"),
	}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: private},
		files.Authority:   {Type: "CERTIFICATE", Bytes: i.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return transporter.Files{}, oops.In("issuer").Wrap(err)
		}
	}
	return files, nil
}
