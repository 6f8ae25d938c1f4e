package quoter

import (
	"errors"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// maxTokens bounds each number of tokens in a message.
const maxTokens = 1 << 16

// ErrMessage means that a message cannot be valid.
var ErrMessage = errors.New("invalid message about quotas")

// EncodeRequest converts a request to its message.
func EncodeRequest(r *Request) *peerv1.AcquireRequest {
	out := &peerv1.AcquireRequest{Epoch: r.Epoch, Asks: make([]*peerv1.QuotaAsk, 0, len(r.Asks))}
	for _, a := range r.Asks {
		m := &peerv1.QuotaAsk{Tenant: a.Tenant, Wanted: toCount(a.Wanted), Stock: toCount(a.Stock)}
		for _, s := range a.Settlements {
			m.Settlements = append(m.Settlements, &peerv1.QuotaSettlement{
				Stamp: s.Stamp, Used: toCount(s.Used), Unused: toCount(s.Unused), Unrun: toCount(s.Unrun), Renew: s.Renew,
			})
		}
		out.Asks = append(out.Asks, m)
	}
	return out
}

// DecodeRequest converts a message to a request.
func DecodeRequest(m *peerv1.AcquireRequest) (*Request, error) {
	out := &Request{Epoch: m.GetEpoch(), Asks: make([]Ask, 0, len(m.GetAsks()))}
	valid := true
	count := func(n uint32) int {
		valid = valid && n <= maxTokens
		return int(n)
	}
	for _, a := range m.GetAsks() {
		ask := Ask{Tenant: a.GetTenant(), Wanted: count(a.GetWanted()), Stock: count(a.GetStock())}
		for _, s := range a.GetSettlements() {
			ask.Settlements = append(ask.Settlements, Settlement{
				Stamp: s.GetStamp(), Used: count(s.GetUsed()), Unused: count(s.GetUnused()), Unrun: count(s.GetUnrun()), Renew: s.GetRenew(),
			})
		}
		out.Asks = append(out.Asks, ask)
	}
	if !valid {
		return nil, ErrMessage
	}
	return out, nil
}

// EncodeResponse converts a response to its message.
func EncodeResponse(r *Response) *peerv1.AcquireResponse {
	out := &peerv1.AcquireResponse{Epoch: r.Epoch, Stamp: r.Stamp, Validity: durationpb.New(r.Validity), Grants: make([]*peerv1.QuotaGrant, 0, len(r.Grants))}
	for _, g := range r.Grants {
		m := &peerv1.QuotaGrant{
			Tenant: g.Tenant, Tokens: toCount(g.Tokens), Stock: toCount(g.Stock), Renewed: g.Renewed, Unlimited: g.Unlimited, Unknown: g.Unknown,
		}
		if g.Retry > 0 {
			m.Retry, m.Step = durationpb.New(g.Retry), durationpb.New(g.Step)
		}
		out.Grants = append(out.Grants, m)
	}
	return out
}

// DecodeResponse converts a message to a response.
func DecodeResponse(m *peerv1.AcquireResponse) (*Response, error) {
	out := &Response{Epoch: m.GetEpoch(), Stamp: m.GetStamp(), Validity: m.GetValidity().AsDuration(), Grants: make([]Grant, 0, len(m.GetGrants()))}
	valid := out.Epoch > 0 && out.Validity >= 0 && out.Validity <= time.Minute
	for _, g := range m.GetGrants() {
		valid = valid && g.GetTokens() <= maxTokens && g.GetStock() <= maxTokens && g.GetRetry().AsDuration() >= 0 && g.GetStep().AsDuration() >= 0
		out.Grants = append(out.Grants, Grant{
			Tenant: g.GetTenant(), Tokens: int(g.GetTokens()), Stock: int(g.GetStock()), Renewed: g.GetRenewed(),
			Retry: g.GetRetry().AsDuration(), Step: g.GetStep().AsDuration(), Unlimited: g.GetUnlimited(), Unknown: g.GetUnknown(),
		})
	}
	if !valid {
		return nil, ErrMessage
	}
	return out, nil
}

func toCount(n int) uint32 {
	return uint32(min(max(n, 0), maxTokens))
}
