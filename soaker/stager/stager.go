// Package stager runs real control and entry hosts as processes on loopback, each at addresses of its own.
package stager

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/samber/oops"

	"lycheelift.example/soaker/proxier"
)

// Ports are the same on every host.
const (
	peerPort    = 7740
	controlPort = 8224
	callerPort  = 8226
	readyPort   = 8227
)

// Host is one process and its files.
type Host struct {
	Name   string
	Center string
	// Address is where callers (entry) or leaves and operators (control) reach the host.
	Address string
	// Ready is the address of the readiness check (entry).
	Ready string
	// Proxy carries what other hosts send to a control host.
	Proxy *proxier.Proxy

	role, folder, binary string
	mu                   sync.Mutex
	process              *exec.Cmd
	ended                chan struct{}
	// Restarts counts the starts after the first.
	Restarts int
}

// neighbours is the number of entry hosts in a data centre. With three of them, one asks the other two for portions of
// its queries.
const neighbours = 3

// Stage is a deployment. Subnet is the second part of its loopback addresses.
type Stage struct {
	Controls, Entries []*Host
}

// New writes the settings of a deployment; nothing is started.
func New(binary, folder string, subnet, controls, entries int) (*Stage, error) {
	s := &Stage{}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.0.%d:%d", subnet, i+1, controlPort)))
	}
	for i := range controls {
		h := &Host{Name: fmt.Sprintf("control-%d", i+1), role: "control"}
		advertised, own := fmt.Sprintf("127.%d.0.%d", subnet, i+1), fmt.Sprintf("127.%d.1.%d", subnet, i+1)
		h.Address = fmt.Sprintf("%s:%d", advertised, controlPort)
		proxy, err := proxier.New(fmt.Sprintf("%s:%d", advertised, peerPort), fmt.Sprintf("%s:%d", own, peerPort))
		if err != nil {
			return nil, err
		}
		h.Proxy = proxy
		listen := fmt.Sprintf("control = %q\npeers = \"%s:%d\"\n", h.Address, own, peerPort)
		if err := s.write(h, binary, folder, i, advertised, seeds, listen); err != nil {
			return nil, err
		}
		s.Controls = append(s.Controls, h)
	}
	for i := range entries {
		h := &Host{Name: fmt.Sprintf("entry-%d", i+1), role: "entry"}
		own := fmt.Sprintf("127.%d.2.%d", subnet, i+1)
		h.Address, h.Ready = fmt.Sprintf("%s:%d", own, callerPort), fmt.Sprintf("%s:%d", own, readyPort)
		listen := fmt.Sprintf("callers = %q\nready = %q\n", h.Address, h.Ready)
		if err := s.write(h, binary, folder, i/neighbours, own, seeds, listen); err != nil {
			return nil, err
		}
		s.Entries = append(s.Entries, h)
	}
	return s, nil
}

func (s *Stage) write(h *Host, binary, folder string, number int, address string, seeds []string, listen string) error {
	h.binary, h.folder, h.Center = binary, filepath.Join(folder, h.Name), string(rune('a'+number%3))
	if err := os.MkdirAll(h.folder, 0o750); err != nil {
		return oops.In("stager").Wrap(err)
	}
	text := fmt.Sprintf("name = %q\ncenter = %q\naddress = %q\nports = [%d, %d]\nseeds = [%s]\nfirst = true\ntolerance = 1\ndata = %q\nportion = 1\n[listen]\n%s[bounds]\nslack = 58\n",
		h.Name, h.Center, address, peerPort, peerPort+9, strings.Join(seeds, ", "), h.data(), listen)
	return oops.In("stager").Wrap(os.WriteFile(h.settings(), []byte(text), 0o600))
}

func (h *Host) settings() string { return filepath.Join(h.folder, "fleetd.toml") }
func (h *Host) data() string     { return filepath.Join(h.folder, "data") }

// Log is the path of what the process wrote.
func (h *Host) Log() string { return filepath.Join(h.folder, "log") }

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	defer func() { _ = log.Close() }()
	process := exec.CommandContext(context.Background(), h.binary, h.role, "--settings", h.settings()) //nolint:gosec // The program under test.
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return oops.In("stager").Wrapf(err, "start %s", h.Name)
	}
	h.process = process
	ended := make(chan struct{})
	h.ended = ended
	go func(p *exec.Cmd) {
		_ = p.Wait()
		close(ended)
	}(h.process)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// Wait returns when the process has ended.
func (h *Host) Wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Restart starts the process again. The system as a whole has been started before.
func (h *Host) Restart() error {
	text, err := os.ReadFile(h.settings())
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	text = []byte(strings.Replace(string(text), "first = true", "first = false", 1))
	if err := os.WriteFile(h.settings(), text, 0o600); err != nil { //nolint:gosec // The file is this program's own.
		return oops.In("stager").Wrap(err)
	}
	h.Restarts++
	return h.Start()
}

// Wipe empties the data folder of a stopped host.
func (h *Host) Wipe() error {
	return oops.In("stager").Wrap(os.RemoveAll(h.data()))
}

// Tear appends what a write that was cut off may leave to the newest file of the log of a stopped host.
func (h *Host) Tear() error {
	names, err := filepath.Glob(filepath.Join(h.data(), "log", "log-*"))
	if err != nil || len(names) == 0 {
		return oops.In("stager").Wrap(err)
	}
	file, err := os.OpenFile(names[len(names)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	_, err = file.WriteString("LYJ1\x00\x00\x01\x00torn")
	return oops.In("stager").Wrap(firstError(err, file.Close()))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Hosts returns all hosts.
func (s *Stage) Hosts() []*Host {
	return append(append([]*Host(nil), s.Controls...), s.Entries...)
}

// Stop ends every process that the stage has started.
func (s *Stage) Stop() {
	for _, h := range s.Hosts() {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		h.Wait()
		if h.Proxy != nil {
			h.Proxy.Close()
		}
	}
}
