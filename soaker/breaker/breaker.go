// Package breaker injects random faults into a deployment from outside its processes. A seed determines the sequence of
// faults. Faults may overlap, but faults of control hosts exclude one another, so that no more control hosts are
// impaired at a time than the system must tolerate.
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

// Breaker selects and injects the faults.
type Breaker struct {
	deployment   *stager.Deployment
	leaves       []*provider.Leaf
	observer     Observer
	leafWorkTime time.Duration
	random       *rand.Rand
	log          func(string)
	// controlMu is held while a control host is impaired, and entryMu while an entry host is.
	controlMu, entryMu sync.Mutex
	active             sync.WaitGroup
}

// Observer is told of what the checks of the soak test depend on.
type Observer interface {
	// RecordDrained records when the drain of a leaf was acknowledged, and RecordReturned that the leaf is back.
	RecordDrained(leaf string, at time.Time)
	RecordReturned(leaf string)
	// RecordStop records the time in which an entry host was stopped gracefully.
	RecordStop(address string, from, to time.Time)
	// RecordAccepted records that a control host accepted a heartbeat that names no leaf.
	RecordAccepted(control, leaf string)
}

// New returns a breaker. leafWorkTime is the time that a leaf without faults takes for a request.
func New(deployment *stager.Deployment, leaves []*provider.Leaf, leafWorkTime time.Duration, observer Observer, seed uint64, log func(string)) *Breaker {
	return &Breaker{deployment: deployment, leaves: leaves, observer: observer, leafWorkTime: leafWorkTime, random: rand.New(rand.NewPCG(seed, 11)), log: log} //nolint:gosec // Faults need no secrecy.
}

// fault is one kind of fault. apply injects it into a host or leaf, keeps it for the duration and then undoes it.
type fault struct {
	name  string
	apply func(b *Breaker, index int, duration time.Duration) error
}

var faults = []fault{
	{"kill control", controlFault(killAndRestart)},
	{"kill control with a torn log", controlFault(killAndTearLog)},
	{"wipe control", controlFault(killAndRemoveData)},
	{"stop control", controlFault(stopAndRestart)},
	{"freeze control", controlFault(suspend)},
	{"silence control", controlFault(dropBoth)},
	{"cut control one way", controlFault(dropOutbound)},
	{"delay control", controlFault(delayTraffic)},
	{"reset control", controlFault(resetConnections)},
	{"kill all controls", killAllControls},
	{"kill entry", entryFault(killAndRestart)},
	{"stop entry", stopEntry},
	{"freeze entry", entryFault(suspend)},
	{"hang up entry", entryFault(hangUp)},
	{"slow leaf", leafFault(func(b *provider.Behaviour) { b.WorkTime *= 20 })},
	{"shedding leaf", leafFault(func(b *provider.Behaviour) { b.Shed = 0.5 })},
	{"leaf that loses answers", leafFault(func(b *provider.Behaviour) { b.LoseAnswer = 0.3 })},
	{"leaf that spoils answers", leafFault(func(b *provider.Behaviour) { b.TruncateAnswer = 0.3 })},
	{"hanging leaf", leafFault(func(b *provider.Behaviour) { b.WorkTime = hangTime })},
	{"odd heartbeat", sendOddHeartbeat},
	{"leaf that leaves and returns", leaveAndReturn},
	{"leaf with extra answers", leafFault(func(b *provider.Behaviour) { b.ExtraAnswer = 0.3 })},
}

// hangTime is the time that a hanging leaf takes: most of the timeout of a request.
const hangTime = 1200 * time.Millisecond

// Run injects faults until ctx ends, and then waits until all of them are undone.
func (b *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f, index := faults[b.random.IntN(len(faults))], b.random.IntN(1000)
		duration := time.Duration(200+b.random.IntN(2500)) * time.Millisecond
		b.active.Go(func() {
			b.log(fmt.Sprintf("%s %d for %s", f.name, index, duration))
			if err := f.apply(b, index, duration); err != nil {
				b.log(fmt.Sprintf("%s: %v", f.name, err))
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+b.random.IntN(1200)) * time.Millisecond):
		}
	}
	b.active.Wait()
}

// controlFault injects a fault into one control host at a time, and then gives the host time to catch up.
func controlFault(f func(h *stager.Host, duration time.Duration) error) func(*Breaker, int, time.Duration) error {
	const catchUpTime = 4 * time.Second
	return func(b *Breaker, index int, duration time.Duration) error {
		b.controlMu.Lock()
		defer b.controlMu.Unlock()
		err := f(b.deployment.Controls[index%len(b.deployment.Controls)], duration)
		time.Sleep(catchUpTime)
		return err
	}
}

func entryFault(f func(h *stager.Host, duration time.Duration) error) func(*Breaker, int, time.Duration) error {
	return func(b *Breaker, index int, duration time.Duration) error {
		b.entryMu.Lock()
		defer b.entryMu.Unlock()
		return f(b.deployment.Entries[index%len(b.deployment.Entries)], duration)
	}
}

func leafFault(change func(*provider.Behaviour)) func(*Breaker, int, time.Duration) error {
	return func(b *Breaker, index int, duration time.Duration) error {
		l := b.leaves[index%len(b.leaves)]
		behaviour := provider.Behaviour{WorkTime: b.leafWorkTime}
		change(&behaviour)
		l.SetBehaviour(behaviour)
		time.Sleep(duration)
		l.SetBehaviour(provider.Behaviour{WorkTime: b.leafWorkTime})
		return nil
	}
}

func killAndRestart(h *stager.Host, duration time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	time.Sleep(duration)
	return h.Restart()
}

func killAndTearLog(h *stager.Host, duration time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	if err := h.AppendTornRecord(); err != nil {
		return err
	}
	time.Sleep(duration)
	return h.Restart()
}

func killAndRemoveData(h *stager.Host, duration time.Duration) error {
	h.Signal(syscall.SIGKILL)
	h.Wait()
	if err := h.RemoveData(); err != nil {
		return err
	}
	time.Sleep(duration)
	return h.Restart()
}

func stopAndRestart(h *stager.Host, _ time.Duration) error {
	h.Signal(syscall.SIGTERM)
	h.Wait()
	return h.Restart()
}

// stopEntry stops an entry host gracefully and starts it again.
func stopEntry(b *Breaker, index int, duration time.Duration) error {
	return entryFault(func(h *stager.Host, duration time.Duration) error {
		began := time.Now()
		err := stopAndRestart(h, duration)
		b.observer.RecordStop(h.Address, began, time.Now())
		return err
	})(b, index, duration)
}

// contactWindow is the time without faults after which hosts must keep to the time limits again.
const contactWindow = 4 * time.Second

// leaveAndReturn lets a leaf leave while no host is impaired, and brings its next incarnation into use later.
func leaveAndReturn(b *Breaker, index int, duration time.Duration) error {
	b.controlMu.Lock()
	defer b.controlMu.Unlock()
	b.entryMu.Lock()
	defer b.entryMu.Unlock()
	time.Sleep(contactWindow)
	ctx, cancel := context.WithTimeout(context.Background(), contactWindow)
	defer cancel()
	l := b.leaves[index%len(b.leaves)]
	if at := l.Drain(ctx); !at.IsZero() {
		b.observer.RecordDrained(l.Name(), at)
	}
	time.Sleep(contactWindow + duration)
	b.observer.RecordReturned(l.Name())
	l.Return()
	return nil
}

func suspend(h *stager.Host, duration time.Duration) error {
	h.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.Signal(syscall.SIGCONT)
	return nil
}

func hangUp(h *stager.Host, _ time.Duration) error {
	return h.HangUp()
}

// impairProxy injects a fault into the connections between other hosts and a control host.
func impairProxy(h *stager.Host, duration time.Duration, f proxier.Fault) error {
	h.Proxy.SetFault(f)
	time.Sleep(duration)
	h.Proxy.SetFault(proxier.Fault{})
	return nil
}

func dropBoth(h *stager.Host, duration time.Duration) error {
	return impairProxy(h, duration, proxier.Fault{DropInbound: true, DropOutbound: true})
}

func dropOutbound(h *stager.Host, duration time.Duration) error {
	return impairProxy(h, duration, proxier.Fault{DropOutbound: true})
}

func delayTraffic(h *stager.Host, duration time.Duration) error {
	return impairProxy(h, duration, proxier.Fault{Delay: 60 * time.Millisecond})
}

func resetConnections(h *stager.Host, _ time.Duration) error {
	h.Proxy.Reset()
	return nil
}

// killAllControls kills every control host at the same moment.
func killAllControls(b *Breaker, _ int, duration time.Duration) error {
	b.controlMu.Lock()
	defer b.controlMu.Unlock()
	for _, h := range b.deployment.Controls {
		h.Signal(syscall.SIGKILL)
	}
	var err error
	for _, h := range b.deployment.Controls {
		h.Wait()
	}
	time.Sleep(duration / 4)
	for _, h := range b.deployment.Controls {
		if restartErr := h.Restart(); restartErr != nil {
			err = restartErr
		}
	}
	time.Sleep(4 * time.Second)
	return err
}
