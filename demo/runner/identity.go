package runner

import (
	"fmt"
	"net/netip"
	"time"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/issuer"
	"lycheelift.example/lib/transporter"
)

// tenant is the tenant on whose behalf the demo sends queries.
const tenant = "registry"

// identities issues the TLS identities of a deployment. Without an issuer TLS is off, as it is for measurements.
type identities struct {
	folder string
	issuer *issuer.Issuer
}

func newIdentities(folder string, secure bool) (*identities, error) {
	if !secure {
		return &identities{}, nil
	}
	ca, err := issuer.New(time.Now())
	return &identities{folder: folder, issuer: ca}, err
}

// settings returns the TLS section of a daemon's settings.
func (i *identities) settings(name string) (string, error) {
	if i.issuer == nil {
		return "[tls]\noff = true\n", nil
	}
	files, err := i.files(name, authorizer.Host)
	return fmt.Sprintf("[tls]\ncertificate = %q\nkey = %q\nauthority = %q\n", files.Certificate, files.Key, files.Authority), err
}

// flags returns the TLS flags of a command that acts in a role.
func (i *identities) flags(name string, role authorizer.Role) ([]string, error) {
	if i.issuer == nil {
		return nil, nil
	}
	files, err := i.files(name, role)
	return []string{"--certificate", files.Certificate, "--key-file", files.Key, "--authority", files.Authority}, err
}

// security returns the identity of the demo itself in a role.
func (i *identities) security(name string, role authorizer.Role) (*transporter.Security, error) {
	if i.issuer == nil {
		return transporter.WithoutTLS(), nil
	}
	files, err := i.files(name, role)
	if err != nil {
		return nil, err
	}
	return transporter.NewSecurity(false, files, time.Now)
}

func (i *identities) files(name string, role authorizer.Role) (transporter.Files, error) {
	return i.issuer.Issue(i.folder, name, role, netip.MustParseAddr("127.0.0.1"))
}
