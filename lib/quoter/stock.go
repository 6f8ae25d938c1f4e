package quoter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// seenTimeout is the time after its last request for which a tenant has tokens in stock.
	seenTimeout = 5 * time.Second
	// demandPeriod is the time over which the demand of a tenant is averaged, and stockPeriod the time for which its stock is to
	// suffice: the usual duration of an election.
	demandPeriod = 2 * time.Second
	stockPeriod  = time.Second
	// maxStock bounds the tokens of a tenant in stock on one host.
	maxStock = 256
	// stockRetry is the time after which tokens for the stock are asked for again when there were none.
	stockRetry = time.Second
	// backgroundInterval is the time between two requests for which nobody waits.
	backgroundInterval = 100 * time.Millisecond
	// answerWait is how long a request for tokens holds back the next one, and failureWait how long a failed one does.
	answerWait  = 25 * time.Millisecond
	failureWait = 10 * time.Millisecond
	// Tokens in stock are renewed when renewNumerator/renewDenominator of their validity is left: more than a second.
	renewNumerator, renewDenominator = 3, 5
	// maxTenants bounds the tenants in one request, so that its size is bounded. The rest goes with the next one.
	maxTenants = 256
)

// Token permits one request of a tenant. The zero value belongs to a tenant without a quota.
type Token struct {
	tenant       string
	epoch, stamp uint64
	lot          *heldLot
}

// Verdict is the result for one waiting request.
type Verdict struct {
	ID uint64
	// Granted is true when the request may run with Token. If it is false, RetryAfter is the time after which a token is
	// expected; 0 means that the coordinator does not know the tenant.
	Granted    bool
	Token      Token
	RetryAfter time.Duration
}

// Flight is a request to the coordinator that has not ended.
type Flight struct {
	Request *Request
	sent    time.Time
	waiting map[string][]uint64
	renewed []*heldLot
	// hedge is true if the flight repeats what another one asks for.
	hedge bool
}

// Stock is the state of an entry host. It is not safe for concurrent use.
type Stock struct {
	epoch      uint64
	tenants    map[string]*holding
	waiters    map[uint64]string
	nextID     uint64
	sent       time.Time
	quietUntil time.Time
}

// holding is the state of one tenant on this host.
type holding struct {
	lots    []*heldLot
	waiting []uint64
	// returned counts tokens by stamp whose requests have not run.
	returned map[uint64]int
	// demand is the average number of requests per second at the time seen.
	demand     float64
	seen       time.Time
	stockAfter time.Time
}

// heldLot is the tokens in stock of one response.
type heldLot struct {
	epoch, stamp uint64
	left         int
	// used is the number of tokens used since the last settlement.
	used    int
	expires time.Time
	// validity is the time from the sending of the request, or of its last renewal, to expires.
	validity time.Duration
}

func (l *heldLot) valid(now time.Time) bool {
	return now.Before(l.expires)
}

// NewStock returns an empty stock.
func NewStock() *Stock {
	return &Stock{tenants: make(map[string]*holding), waiters: make(map[uint64]string)}
}

func (s *Stock) holding(tenant string) *holding {
	h, ok := s.tenants[tenant]
	if !ok {
		h = &holding{returned: make(map[uint64]int)}
		s.tenants[tenant] = h
	}
	return h
}

// Take counts a request of a tenant and takes a token out of the stock, if there is one.
func (s *Stock) Take(tenant string, now time.Time) (Token, bool) {
	h := s.holding(tenant)
	h.count(now)
	for _, l := range h.lots {
		if l.left > 0 && l.valid(now) {
			l.left--
			l.used++
			return Token{tenant: tenant, epoch: l.epoch, stamp: l.stamp, lot: l}, true
		}
	}
	return Token{}, false
}

// count adds a request to the demand.
func (h *holding) count(now time.Time) {
	h.demand = h.demandAt(now) + 1/demandPeriod.Seconds()
	h.seen = now
}

func (h *holding) demandAt(now time.Time) float64 {
	return h.demand * math.Exp(-now.Sub(h.seen).Seconds()/demandPeriod.Seconds())
}

// target returns the number of tokens that the stock should hold.
func (h *holding) target(now time.Time) int {
	if h.seen.IsZero() || now.Sub(h.seen) >= seenTimeout {
		return 0
	}
	return min(maxStock, max(1, int(math.Ceil(h.demandAt(now)*stockPeriod.Seconds()))))
}

// Wait adds a request that waits for a token and returns its number.
func (s *Stock) Wait(tenant string) uint64 {
	s.nextID++
	h := s.holding(tenant)
	h.waiting = append(h.waiting, s.nextID)
	s.waiters[s.nextID] = tenant
	return s.nextID
}

// Cancel ends the wait of a request. A token that arrives for it later is returned.
func (s *Stock) Cancel(id uint64) {
	tenant, ok := s.waiters[id]
	if !ok {
		return
	}
	delete(s.waiters, id)
	h := s.holding(tenant)
	h.waiting = slices.DeleteFunc(h.waiting, func(w uint64) bool { return w == id })
}

// Release returns the token of a request that has not run and never will.
func (s *Stock) Release(t Token, now time.Time) {
	if t.tenant == "" || t.epoch != s.epoch {
		return
	}
	if l := t.lot; l != nil && l.used > 0 && l.valid(now) {
		l.used--
		l.left++
		return
	}
	s.holding(t.tenant).returned[t.stamp]++
}

// Next returns a request to the coordinator, or nil when none is due.
func (s *Stock) Next(now time.Time) *Flight {
	if len(s.tenants) == 0 || now.Before(s.quietUntil) {
		return nil
	}
	if len(s.waiters) == 0 && now.Sub(s.sent) < backgroundInterval {
		return nil
	}
	f := &Flight{Request: &Request{Epoch: s.epoch}, sent: now, waiting: make(map[string][]uint64)}
	names := slices.Sorted(maps.Keys(s.tenants))
	// Tenants for which requests wait go first.
	slices.SortStableFunc(names, func(a, b string) int {
		return min(len(s.tenants[b].waiting), 1) - min(len(s.tenants[a].waiting), 1)
	})
	for _, name := range names {
		if len(f.Request.Asks) == maxTenants {
			break
		}
		s.ask(f, name, now)
	}
	if len(f.Request.Asks) == 0 {
		return nil
	}
	s.sent, s.quietUntil = now, now.Add(answerWait)
	return f
}

// ask adds what is to be asked and settled for a tenant to a request. It forgets a tenant about which nothing is left to say.
func (s *Stock) ask(f *Flight, tenant string, now time.Time) {
	h := s.tenants[tenant]
	target := h.target(now)
	a := Ask{Tenant: tenant, Wanted: len(h.waiting)}
	held := 0
	kept := h.lots[:0]
	for _, l := range h.lots {
		if l.epoch != s.epoch && !l.valid(now) {
			continue
		}
		keep := l.valid(now) && l.left > 0
		needed := keep && held < target
		if keep {
			held += l.left
		}
		if settlement, ok := l.settle(keep, needed, now); ok && l.epoch == s.epoch {
			a.Settlements = append(a.Settlements, settlement)
			if settlement.Renew {
				f.renewed = append(f.renewed, l)
			}
		}
		if keep || l.epoch != s.epoch {
			kept = append(kept, l)
		}
	}
	clear(h.lots[len(kept):])
	h.lots = kept
	for stamp, count := range h.returned {
		a.Settlements = append(a.Settlements, Settlement{Stamp: stamp, Unrun: count})
	}
	clear(h.returned)
	if held < target && !now.Before(h.stockAfter) {
		a.Stock = target - held
	}
	if a.Wanted == 0 && a.Stock == 0 && len(a.Settlements) == 0 {
		if target == 0 && len(h.lots) == 0 {
			delete(s.tenants, tenant)
		}
		return
	}
	if len(h.waiting) > 0 {
		f.waiting[tenant], h.waiting = h.waiting, nil
	}
	f.Request.Asks = append(f.Request.Asks, a)
}

// settle returns what the coordinator is to be told about tokens in stock, and false if there is nothing to tell. Tokens that
// are not needed are kept until they expire, because no others can be obtained if the leader is lost.
func (l *heldLot) settle(keep, needed bool, now time.Time) (Settlement, bool) {
	out := Settlement{Stamp: l.stamp, Used: l.used}
	l.used = 0
	if !keep {
		out.Unused = l.left
		l.left = 0
		return out, out.Used+out.Unused > 0
	}
	out.Renew = needed && l.expires.Sub(now) <= l.validity*renewNumerator/renewDenominator
	return out, out.Used > 0 || out.Renew
}

// Hedge returns a request that asks again for the tokens for which requests of a flight still wait, or nil if none does. It is
// meant for another path to the coordinator. Tokens that arrive by both paths are returned.
func (s *Stock) Hedge(f *Flight, now time.Time) *Flight {
	out := &Flight{Request: &Request{Epoch: s.epoch}, sent: now, waiting: make(map[string][]uint64), hedge: true}
	for _, a := range f.Request.Asks {
		ids := slices.DeleteFunc(slices.Clone(f.waiting[a.Tenant]), func(id uint64) bool {
			_, waits := s.waiters[id]
			return !waits
		})
		if len(ids) == 0 {
			continue
		}
		out.waiting[a.Tenant] = ids
		out.Request.Asks = append(out.Request.Asks, Ask{Tenant: a.Tenant, Wanted: len(ids)})
	}
	if len(out.Request.Asks) == 0 {
		return nil
	}
	return out
}

// Answer processes the answer to a request and returns the results for the requests that waited for it.
func (s *Stock) Answer(f *Flight, r *Response, now time.Time) []Verdict {
	if r.Epoch < s.epoch {
		s.Fail(f, now) // A former leader's answer.
		return nil
	}
	if r.Epoch > s.epoch {
		s.startEpoch(r.Epoch)
	}
	if f.sent.Equal(s.sent) {
		s.quietUntil = time.Time{}
	}
	var out []Verdict
	for i := range r.Grants {
		g := &r.Grants[i]
		if i >= len(f.Request.Asks) || f.Request.Asks[i].Tenant != g.Tenant {
			break // Not an answer to this request.
		}
		out = append(out, s.distribute(f, r, g, now)...)
		s.store(f, r, g, f.Request.Asks[i].Stock > 0, now)
	}
	return out
}

// startEpoch forgets what cannot be settled any more. Tokens in stock stay valid until they expire.
func (s *Stock) startEpoch(epoch uint64) {
	s.epoch = epoch
	for _, h := range s.tenants {
		clear(h.returned)
		h.stockAfter = time.Time{}
	}
}

// distribute gives the tokens of a grant to the requests that waited for them.
func (s *Stock) distribute(f *Flight, r *Response, g *Grant, now time.Time) []Verdict {
	var out []Verdict
	tokens, denied := g.Tokens, 0
	usable := now.Sub(f.sent) < UseWithin
	for _, id := range f.waiting[g.Tenant] {
		if _, ok := s.waiters[id]; !ok {
			continue // It no longer waits.
		}
		v := Verdict{ID: id}
		switch {
		case g.Unlimited:
			v.Granted = true
		case g.Unknown:
		case tokens > 0 && usable:
			tokens--
			v.Granted, v.Token = true, Token{tenant: g.Tenant, epoch: r.Epoch, stamp: r.Stamp}
		case tokens > 0: // The answer is too late.
			if !f.hedge {
				h := s.holding(g.Tenant)
				h.waiting = append(h.waiting, id)
			}
			continue
		default:
			v.RetryAfter = max(g.Retry+time.Duration(denied)*g.Step, time.Millisecond)
			denied++
		}
		delete(s.waiters, id)
		out = append(out, v)
	}
	if tokens > 0 {
		s.holding(g.Tenant).returned[r.Stamp] += tokens
	}
	return out
}

// store puts the tokens of a grant into the stock and prolongs those that were renewed. asked is true when tokens for the
// stock were asked for.
func (s *Stock) store(f *Flight, r *Response, g *Grant, asked bool, now time.Time) {
	h := s.holding(g.Tenant)
	for _, l := range f.renewed {
		if g.Renewed && l.epoch == r.Epoch && slices.Contains(h.lots, l) {
			l.expires = f.sent.Add(r.Validity)
		}
	}
	switch {
	case !asked:
		return
	case g.Stock == 0:
		h.stockAfter = now.Add(stockRetry)
		return
	}
	h.stockAfter = time.Time{}
	h.lots = append(h.lots, &heldLot{epoch: r.Epoch, stamp: r.Stamp, left: g.Stock, expires: f.sent.Add(r.Validity), validity: r.Validity})
}

// Fail processes the failure of a request. The requests that waited for it wait for the next one, or for the flight that a hedge
// repeats.
func (s *Stock) Fail(f *Flight, now time.Time) {
	if f.hedge {
		return
	}
	for tenant, ids := range f.waiting {
		h := s.holding(tenant)
		for _, id := range ids {
			if _, ok := s.waiters[id]; ok {
				h.waiting = append(h.waiting, id)
			}
		}
	}
	if f.sent.Equal(s.sent) {
		s.quietUntil = now.Add(failureWait)
	}
}

// Held returns the number of tokens of a tenant that are in stock and valid.
func (s *Stock) Held(tenant string, now time.Time) int {
	held := 0
	if h, ok := s.tenants[tenant]; ok {
		for _, l := range h.lots {
			if l.valid(now) {
				held += l.left
			}
		}
	}
	return held
}

// Inspect returns the number of tokens of a tenant that are in stock and valid, and when the first of them expire; the zero time
// if there are none. It changes nothing.
func (s *Stock) Inspect(tenant string, now time.Time) (tokens int, expires time.Time) {
	h, ok := s.tenants[tenant]
	if !ok {
		return 0, time.Time{}
	}
	for _, l := range h.lots {
		if l.left == 0 || !l.valid(now) {
			continue
		}
		tokens += l.left
		if expires.IsZero() || l.expires.Before(expires) {
			expires = l.expires
		}
	}
	return tokens, expires
}
