// Package breaker injects random faults into a stage from outside its processes, repeatably for a seed. Several may
// overlap, but no more control hosts are impaired at one time than the system has to bear.
package breaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lycheelift.example/leafd/provider"
	"lycheelift.example/soaker/proxier"
	"lycheelift.example/soaker/stager"
)

// Breaker draws the faults.
type Breaker struct {
	stage  *stager.Stage
	leaves []*provider.Leaf
	work   time.Duration
	random *rand.Rand
	log    func(string)
	// control is held while a control host is impaired, and entry while an entry host is.
	control, entry sync.Mutex
	running        sync.WaitGroup
}

// New returns a breaker; work is the leaves' usual time of a request.
func New(s *stager.Stage, leaves []*provider.Leaf, work time.Duration, seed uint64, log func(string)) *Breaker {
	return &Breaker{stage: s, leaves: leaves, work: work, random: rand.New(rand.NewPCG(seed, 11)), log: log} //nolint:gosec // Faults need no secrecy.
}

// fault is one kind of fault. It is applied to a host or leaf for a time, and undone.
type fault struct {
	name  string
	apply func(b *Breaker, number int, hold time.Duration) error
}

var faults = []fault{
	{"kill control", controlFault(kill)},
	{"kill control with a torn log", controlFault(tear)},
	{"wipe control", controlFault(wipe)},
	{"stop control", controlFault(stop)},
	{"freeze control", controlFault(freeze)},
	{"silence control", controlFault(silence)},
	{"cut control one way", controlFault(cut)},
	{"delay control", controlFault(delay)},
	{"reset control", controlFault(reset)},
	{"kill all controls", killAll},
	{"kill entry", entryFault(kill)},
	{"stop entry", entryFault(stop)},
	{"freeze entry", entryFault(freeze)},
	{"hang up entry", entryFault(hangUp)},
	{"slow leaf", leafFault(func(b *provider.Behaviour) { b.Work *= 20 })},
	{"shedding leaf", leafFault(func(b *provider.Behaviour) { b.Shed = 0.5 })},
	{"leaf that loses answers", leafFault(func(b *provider.Behaviour) { b.Lose = 0.3 })},
	{"leaf that spoils answers", leafFault(func(b *provider.Behaviour) { b.Spoil = 0.3 })},
	{"leaf with extra answers", leafFault(func(b *provider.Behaviour) { b.Extra = 0.3 })},
}

// Run injects faults until ctx ends, then waits until all are undone.
func (b *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f, number := faults[b.random.IntN(len(faults))], b.random.IntN(1000)
		hold := time.Duration(200+b.random.IntN(2500)) * time.Millisecond
		b.running.Go(func() {
			b.log(fmt.Sprintf("%s %d for %s", f.name, number, hold))
			if err := f.apply(b, number, hold); err != nil {
				b.log(fmt.Sprintf("%s: %v", f.name, err))
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+b.random.IntN(1200)) * time.Millisecond):
		}
	}
	b.running.Wait()
}

// controlFault impairs one control host at a time. After it, the host gets time to catch up.
func controlFault(f func(h *stager.Host, hold time.Duration) error) func(*Breaker, int, time.Duration) error {
	const catchUp = 4 * time.Second
	return func(b *Breaker, number int, hold time.Duration) error {
		b.control.Lock()
		defer b.control.Unlock()
		err := f(b.stage.Controls[number%len(b.stage.Controls)], hold)
		time.Sleep(catchUp)
		return err
	}
}

func entryFault(f func(h *stager.Host, hold time.Duration) error) func(*Breaker, int, time.Duration) error {
	return func(b *Breaker, number int, hold time.Duration) error {
		b.entry.Lock()
		defer b.entry.Unlock()
		return f(b.stage.Entries[number%len(b.stage.Entries)], hold)
	}
}

func leafFault(change func(*provider.Behaviour)) func(*Breaker, int, time.Duration) error {
	return func(b *Breaker, number int, hold time.Duration) error {
		l := b.leaves[number%len(b.leaves)]
		behaviour := provider.Behaviour{Work: b.work}
		change(&behaviour)
		l.Behave(behaviour)
		time.Sleep(hold)
		l.Behave(provider.Behaviour{Work: b.work})
		return nil
	}
}

func kill(h *stager.Host, hold time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	time.Sleep(hold)
	return h.Restart()
}

func tear(h *stager.Host, hold time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	if err := h.Tear(); err != nil {
		return err
	}
	time.Sleep(hold)
	return h.Restart()
}

func wipe(h *stager.Host, hold time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	if err := h.Wipe(); err != nil {
		return err
	}
	time.Sleep(hold)
	return h.Restart()
}

func stop(h *stager.Host, _ time.Duration) error {
	h.Signal(syscall.SIGTERM)
	h.Wait()
	return h.Restart()
}

func freeze(h *stager.Host, hold time.Duration) error {
	h.Signal(syscall.SIGSTOP)
	time.Sleep(hold)
	h.Signal(syscall.SIGCONT)
	return nil
}

func hangUp(h *stager.Host, _ time.Duration) error {
	h.Signal(syscall.SIGHUP)
	return nil
}

// proxied impairs what other hosts send to a control host.
func proxied(h *stager.Host, hold time.Duration, f proxier.Fault) error {
	h.Proxy.Set(f)
	time.Sleep(hold)
	h.Proxy.Set(proxier.Fault{})
	return nil
}

func silence(h *stager.Host, hold time.Duration) error {
	return proxied(h, hold, proxier.Fault{Inbound: true, Outbound: true})
}

func cut(h *stager.Host, hold time.Duration) error {
	return proxied(h, hold, proxier.Fault{Outbound: true})
}

func delay(h *stager.Host, hold time.Duration) error {
	return proxied(h, hold, proxier.Fault{Delay: 60 * time.Millisecond})
}

func reset(h *stager.Host, _ time.Duration) error {
	h.Proxy.Reset()
	return nil
}

// killAll kills every control host at one moment.
func killAll(b *Breaker, _ int, hold time.Duration) error {
	b.control.Lock()
	defer b.control.Unlock()
	for _, h := range b.stage.Controls {
		h.Signal(syscall.SIGKILL)
	}
	var err error
	for _, h := range b.stage.Controls {
		h.Wait()
	}
	time.Sleep(hold / 4)
	for _, h := range b.stage.Controls {
		if e := h.Restart(); e != nil {
			err = e
		}
	}
	time.Sleep(4 * time.Second)
	return err
}
