package budgeter

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which a window is divided.
const bucketCount = 20

// Window limits the extra calls of each service within any interval of a fixed length to a ratio of the requests in the
// interval plus a slack. Each host applies the limit to its own requests and its share of the slack, so that all hosts
// together stay within it. It is safe for concurrent use.
type Window struct {
	length  time.Duration
	ratio   float64
	stripes [stripes]windowStripe
}

type windowStripe struct {
	sync.Mutex
	services map[string]*ring
}

// ring counts the requests and extra calls of one service in a ring of buckets. Numbers holds the bucket number for
// which each position was last used.
type ring struct {
	numbers  [bucketCount]int64
	requests [bucketCount]int
	extras   [bucketCount]int
}

// NewWindow returns a window of the given length with a ratio of extra calls to requests.
func NewWindow(length time.Duration, ratio float64) *Window {
	w := &Window{length: length, ratio: ratio}
	for i := range w.stripes {
		w.stripes[i].services = make(map[string]*ring)
	}
	return w
}

// Request records one request for a service.
func (w *Window) Request(service string, now time.Time) {
	p := w.stripe(service)
	p.Lock()
	defer p.Unlock()
	s, i := p.current(service, w.bucketNumber(now))
	s.requests[i]++
}

// Spend records one extra call if the limit permits it, and reports whether it does. Slack is this host's share of the
// extra calls that are permitted without requests.
func (w *Window) Spend(service string, slack float64, now time.Time) bool {
	p := w.stripe(service)
	p.Lock()
	defer p.Unlock()
	number := w.bucketNumber(now)
	s, i := p.current(service, number)
	requests, extras := s.sum(number)
	if float64(extras+1) > w.ratio*float64(requests)+slack {
		return false
	}
	s.extras[i]++
	return true
}

// Remaining returns the number of extra calls that are permitted now.
func (w *Window) Remaining(service string, slack float64, now time.Time) float64 {
	p := w.stripe(service)
	p.Lock()
	defer p.Unlock()
	number := w.bucketNumber(now)
	s, _ := p.current(service, number)
	requests, extras := s.sum(number)
	return w.ratio*float64(requests) + slack - float64(extras)
}

// Share returns the share of the permitted extra calls that is left now, from 0 to 1.
func (w *Window) Share(service string, slack float64, now time.Time) float64 {
	p := w.stripe(service)
	p.Lock()
	defer p.Unlock()
	number := w.bucketNumber(now)
	s, _ := p.current(service, number)
	requests, extras := s.sum(number)
	permitted := w.ratio*float64(requests) + slack
	if permitted <= 0 {
		return 0
	}
	return max(0, 1-float64(extras)/permitted)
}

// bucketNumber returns the number of the bucket for a time.
func (w *Window) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(w.length/bucketCount)
}

func (w *Window) stripe(service string) *windowStripe {
	return &w.stripes[xxhash.Sum64String(service)%stripes]
}

// current returns the service's ring and the position of the current bucket, which is cleared if it was last used for
// an earlier bucket number.
func (p *windowStripe) current(service string, number int64) (*ring, int) {
	s, ok := p.services[service]
	if !ok {
		s = &ring{}
		p.services[service] = s
	}
	i := int(number % bucketCount)
	if s.numbers[i] != number {
		s.numbers[i], s.requests[i], s.extras[i] = number, 0, 0
	}
	return s, i
}

// sum returns the requests and extra calls within the window. It includes the extra calls of the oldest bucket but not
// its requests, so that no interval of the window's length exceeds the limit.
func (s *ring) sum(number int64) (requests, extras int) {
	for i := range bucketCount {
		age := number - s.numbers[i]
		if age < 0 || age >= bucketCount {
			continue
		}
		extras += s.extras[i]
		if age < bucketCount-1 {
			requests += s.requests[i]
		}
	}
	return requests, extras
}
