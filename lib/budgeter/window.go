package budgeter

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// steps is the number of counters in which a window is kept.
const steps = 20

// Window bounds the extra calls of each service within any span of a fixed length: a share of the requests in the
// span and a slack. Each host keeps to its own requests and to its part of the slack, so that all hosts together keep
// to the bound. It is safe for concurrent use.
type Window struct {
	length time.Duration
	ratio  float64
	parts  [parts]windowPart
}

type windowPart struct {
	sync.Mutex
	services map[string]*span
}

// span counts the requests and extra calls of one service in a ring of counters.
type span struct {
	step     [steps]int64
	requests [steps]int
	extras   [steps]int
}

// NewWindow returns a window of a length with a ratio of extra calls to requests.
func NewWindow(length time.Duration, ratio float64) *Window {
	w := &Window{length: length, ratio: ratio}
	for i := range w.parts {
		w.parts[i].services = make(map[string]*span)
	}
	return w
}

// Request counts one request for a service.
func (w *Window) Request(service string, now time.Time) {
	p := w.part(service)
	p.Lock()
	defer p.Unlock()
	s, i := p.at(service, w.number(now))
	s.requests[i]++
}

// Spend counts one extra call if the bound permits it, and reports whether it does. Slack is this host's part of the
// calls that are permitted without requests.
func (w *Window) Spend(service string, slack float64, now time.Time) bool {
	p := w.part(service)
	p.Lock()
	defer p.Unlock()
	number := w.number(now)
	s, i := p.at(service, number)
	requests, extras := s.sum(number)
	if float64(extras+1) > w.ratio*float64(requests)+slack {
		return false
	}
	s.extras[i]++
	return true
}

// Left returns the extra calls that are permitted now.
func (w *Window) Left(service string, slack float64, now time.Time) float64 {
	p := w.part(service)
	p.Lock()
	defer p.Unlock()
	number := w.number(now)
	s, _ := p.at(service, number)
	requests, extras := s.sum(number)
	return w.ratio*float64(requests) + slack - float64(extras)
}

// number returns the counter's number at a time.
func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / int64(w.length/steps)
}

func (w *Window) part(service string) *windowPart {
	return &w.parts[xxhash.Sum64String(service)%parts]
}

// at returns the service's span and its present counter, emptied when it was last used one window ago.
func (p *windowPart) at(service string, number int64) (*span, int) {
	s, ok := p.services[service]
	if !ok {
		s = &span{}
		p.services[service] = s
	}
	i := int(number % steps)
	if s.step[i] != number {
		s.step[i], s.requests[i], s.extras[i] = number, 0, 0
	}
	return s, i
}

// sum counts what lies within the window. Requests of the oldest counter are left out and its extra calls counted,
// so that no span of the window's length holds more than the bound.
func (s *span) sum(number int64) (requests, extras int) {
	for i := range steps {
		age := number - s.step[i]
		if age < 0 || age >= steps {
			continue
		}
		extras += s.extras[i]
		if age < steps-1 {
			requests += s.requests[i]
		}
	}
	return requests, extras
}
