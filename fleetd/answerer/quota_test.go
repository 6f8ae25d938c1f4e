package answerer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/fleetd/acquirer"
	"lycheelift.example/fleetd/answerer"
	"lycheelift.example/lib/carrier"
	"lycheelift.example/lib/router"
)

// fakeQuotas counts what an answerer asks for and returns.
type fakeQuotas struct {
	permit             acquirer.Permit
	acquired, released int
	tenant             string
}

func (q *fakeQuotas) Acquire(_ context.Context, tenant string, _ time.Duration) acquirer.Permit {
	q.acquired++
	q.tenant = tenant
	return q.permit
}

func (q *fakeQuotas) Release(acquirer.Permit) { q.released++ }

// withQuotas adds a tenant with a quota and one without to the fleet's configuration.
func (f *fleet) withQuotas() *fleet {
	document := *f.view.Table.Document()
	document.Authenticated = true
	document.Tenants = []router.Tenant{
		{Name: "limited", Keys: []router.Digest{router.NewDigest("k1")}, Rate: 2, Burst: 3}, {Name: "free", Keys: []router.Digest{router.NewDigest("k2")}},
	}
	f.view.Table = router.NewTable(&document)
	return f
}

func newLimited(f *fleet, q *fakeQuotas) *answerer.Answerer {
	bounds := answerer.Bounds{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	return answerer.New("host", "a", f, f, bounds, time.Now, answerer.WithRandom(func() float64 { return 0 }), answerer.WithQuotas(q))
}

func askWithKey(a *answerer.Answerer, path, key string) *carrier.Reply {
	reply := a.Answer(context.Background(), &carrier.Request{
		ID: "1", Method: "GET", Host: "n", Path: path, Target: path, Received: time.Now(), Timeout: 6 * time.Second, Key: key,
	})
	synctest.Wait()
	return reply
}

// Guards against requests that are let through without a token or rejected without the right status, against tokens for
// requests without a quota, against more than one token for a request, and against tokens that are lost or kept wrongly.
func TestRequestsTakeTokens(t *testing.T) {
	permitted := acquirer.Permit{Outcome: acquirer.Permitted}
	for _, c := range []struct {
		name, path, key    string
		permit             acquirer.Permit
		leaves             behaviour
		outcome            carrier.Outcome
		acquired, released int
	}{
		{name: "one leaf", path: "/one/2f", key: "k1", permit: permitted, outcome: carrier.Answered, acquired: 1},
		{name: "many leaves", path: "/all/2f", key: "k1", permit: permitted, outcome: carrier.Gathered, acquired: 1},
		{name: "not run", path: "/one/2f", key: "k1", permit: permitted, leaves: sheds, outcome: carrier.Refused, acquired: 1, released: 1},
		{name: "perhaps run", path: "/one/2f", key: "k1", permit: permitted, leaves: breaks, outcome: carrier.Failed, acquired: 1},
		{name: "over quota", path: "/one/2f", key: "k1", permit: acquirer.Permit{Outcome: acquirer.OverQuota, RetryAfter: time.Second}, outcome: carrier.OverQuota, acquired: 1},
		{name: "no coordinator", path: "/one/2f", key: "k1", permit: acquirer.Permit{Outcome: acquirer.Unavailable, RetryAfter: time.Second}, outcome: carrier.Refused, acquired: 1},
		{name: "tenant without a quota", path: "/one/2f", key: "k2", outcome: carrier.Answered},
		{name: "no key", path: "/one/2f", outcome: carrier.Unauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f, q := newFleet(10).withQuotas(), &fakeQuotas{permit: c.permit}
				if c.leaves != nil {
					for name := range f.leaves {
						f.leaves[name] = c.leaves
					}
				}
				reply := askWithKey(newLimited(f, q), c.path, c.key)
				qt.Assert(t, reply.Outcome, qt.Equals, c.outcome)
				qt.Assert(t, q.acquired, qt.Equals, c.acquired)
				qt.Assert(t, q.released, qt.Equals, c.released)
				if c.permit.RetryAfter > 0 {
					qt.Assert(t, reply.RetryAfter, qt.Equals, c.permit.RetryAfter)
					qt.Assert(t, f.called(), qt.Equals, 0)
				}
				if c.acquired > 0 {
					qt.Assert(t, q.tenant, qt.Equals, "limited")
				}
			})
		})
	}
}
