// Package explainer serves the operators' question where a request would be sent now, and asks it of running hosts.
package explainer

import (
	"context"
	"crypto/ecdh"
	"crypto/hpke"
	"strings"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/eventer"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// Explainer explains a request without sending it.
type Explainer interface {
	Explain(r *carrier.Request) *answerer.Explanation
}

// keyUsage separates encrypted API keys from other uses of the same scheme.
const keyUsage = "lycheelift explain API key"

// Service explains requests to operators.
type Service struct {
	peerv1.UnimplementedExplainServiceServer

	host      string
	explainer Explainer
	clock     func() time.Time
	private   hpke.PrivateKey
}

// NewService returns the service of a host with a new key pair, to which operators encrypt API keys.
func NewService(host string, e Explainer, clock func() time.Time) (*Service, error) {
	private, err := hpke.DHKEM(ecdh.X25519()).GenerateKey()
	if err != nil {
		return nil, oops.In("explainer").Wrapf(err, "generate a key pair")
	}
	return &Service{host: host, explainer: e, clock: clock, private: private}, nil
}

// Identify returns the host's name and public key.
func (s *Service) Identify(context.Context, *peerv1.IdentifyRequest) (*peerv1.IdentifyResponse, error) {
	return &peerv1.IdentifyResponse{Host: s.host, Public: s.private.PublicKey().Bytes()}, nil
}

// Explain explains a request. It returns InvalidArgument if the target is not a path, and FailedPrecondition if the API key
// was encrypted for another process.
func (s *Service) Explain(_ context.Context, m *peerv1.ExplainRequest) (*peerv1.ExplainResponse, error) {
	now := s.clock()
	r := &carrier.Request{
		Method: string(m.GetMethod()), Host: string(m.GetHost()), Target: string(m.GetTarget()), Body: m.GetBody(), Received: now,
		Timeout: m.GetTimeout().AsDuration(),
	}
	if !strings.HasPrefix(r.Target, "/") {
		return nil, status.Error(codes.InvalidArgument, "the target does not begin with a slash")
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	if sealed := m.GetSealed(); len(sealed) > 0 {
		key, err := hpke.Open(s.private, hpke.HKDFSHA256(), hpke.AES128GCM(), []byte(keyUsage), sealed)
		if err != nil {
			return nil, status.Error(codes.FailedPrecondition, "the API key is not encrypted for this process")
		}
		r.Key = string(key)
	}
	explanation := s.explainer.Explain(r)
	route, tenant := "", ""
	if explanation.Route != nil {
		route = explanation.Route.Name
	}
	if explanation.Tenant != nil {
		tenant = explanation.Tenant.Name
	}
	eventer.RequestExplained.Log(now, "route", route, "tenant", tenant, "check", explanation.Check, "version", explanation.Version)
	return encode(explanation), nil
}

// seal encrypts an API key with a host's public key.
func seal(public []byte, key string) ([]byte, error) {
	recipient, err := hpke.DHKEM(ecdh.X25519()).NewPublicKey(public)
	if err != nil {
		return nil, oops.In("explainer").Wrapf(err, "read the host's public key")
	}
	sealed, err := hpke.Seal(recipient, hpke.HKDFSHA256(), hpke.AES128GCM(), []byte(keyUsage), []byte(key))
	return sealed, oops.In("explainer").Wrapf(err, "encrypt the API key")
}
