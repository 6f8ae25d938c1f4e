// Package stager runs real control and entry hosts as processes on loopback, each with its own addresses.
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

// Every host uses the same ports, at its own address.
const (
	peerPort    = 7740
	controlPort = 8224
	callerPort  = 8226
	readyPort   = 8227
)

// Host is a control or entry host: one process and its files.
type Host struct {
	Name   string
	Center string
	// Address is the address for callers on an entry host, and for leaves and operators on a control host.
	Address string
	// Ready is the address of the readiness check, on entry hosts only.
	Ready string
	// Proxy forwards the connections of other hosts to a control host; entry hosts have none.
	Proxy *proxier.Proxy

	role, folder, binary string
	mu                   sync.Mutex
	process              *exec.Cmd
	exited               chan struct{}
	// Restarts is the number of restarts.
	Restarts int
}

// entriesPerCenter is the number of entry hosts in a data centre. With three, each host has the other two gather
// portions of its queries.
const entriesPerCenter = 3

// Deployment is a set of control and entry hosts.
type Deployment struct {
	Controls, Entries []*Host

	bounds []string
}

// New writes the settings of a deployment and starts the proxies of its control hosts, but no process. subnet is the
// second octet of the loopback addresses, and bounds are further lines of the settings' section of that name.
func New(binary, folder string, subnet, controls, entries int, bounds ...string) (*Deployment, error) {
	d := &Deployment{bounds: append([]string{"slack = 58"}, bounds...)}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.0.%d:%d", subnet, i+1, controlPort)))
	}
	for i := range controls {
		h := &Host{Name: fmt.Sprintf("control-%d", i+1), role: "control"}
		advertisedIP, localIP := fmt.Sprintf("127.%d.0.%d", subnet, i+1), fmt.Sprintf("127.%d.1.%d", subnet, i+1)
		h.Address = fmt.Sprintf("%s:%d", advertisedIP, controlPort)
		proxy, err := proxier.New(fmt.Sprintf("%s:%d", advertisedIP, peerPort), fmt.Sprintf("%s:%d", localIP, peerPort))
		if err != nil {
			return nil, err
		}
		h.Proxy = proxy
		listen := fmt.Sprintf("control = %q\npeers = \"%s:%d\"\n", h.Address, localIP, peerPort)
		if err := d.writeSettings(h, binary, folder, i, advertisedIP, seeds, listen); err != nil {
			return nil, err
		}
		d.Controls = append(d.Controls, h)
	}
	for i := range entries {
		h := &Host{Name: fmt.Sprintf("entry-%d", i+1), role: "entry"}
		localIP := fmt.Sprintf("127.%d.2.%d", subnet, i+1)
		h.Address, h.Ready = fmt.Sprintf("%s:%d", localIP, callerPort), fmt.Sprintf("%s:%d", localIP, readyPort)
		listen := fmt.Sprintf("callers = %q\nready = %q\n", h.Address, h.Ready)
		if err := d.writeSettings(h, binary, folder, i/entriesPerCenter, localIP, seeds, listen); err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, h)
	}
	return d, nil
}

func (d *Deployment) writeSettings(h *Host, binary, folder string, centerNumber int, address string, seeds []string, listen string) error {
	h.binary, h.folder, h.Center = binary, filepath.Join(folder, h.Name), string(rune('a'+centerNumber%3))
	if err := os.MkdirAll(h.folder, 0o750); err != nil {
		return oops.In("stager").Wrap(err)
	}
	text := fmt.Sprintf("name = %q\ncenter = %q\naddress = %q\nports = [%d, %d]\nseeds = [%s]\nfirst = true\ntolerance = 1\ndata = %q\nportion = 1\n[listen]\n%s[bounds]\n%s\n",
		h.Name, h.Center, address, peerPort, peerPort+9, strings.Join(seeds, ", "), h.dataFolder(), listen, strings.Join(d.bounds, "\n"))
	return oops.In("stager").Wrap(os.WriteFile(h.settingsFile(), []byte(text), 0o600))
}

func (h *Host) settingsFile() string { return filepath.Join(h.folder, "fleetd.toml") }
func (h *Host) dataFolder() string   { return filepath.Join(h.folder, "data") }

// LogFile is the path of the file that receives the output of the process.
func (h *Host) LogFile() string { return filepath.Join(h.folder, "log") }

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	defer func() { _ = log.Close() }()
	process := exec.CommandContext(context.Background(), h.binary, h.role, "--settings", h.settingsFile()) //nolint:gosec // The program under test.
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return oops.In("stager").Wrapf(err, "start %s", h.Name)
	}
	h.process = process
	exited := make(chan struct{})
	h.exited = exited
	go func(p *exec.Cmd) {
		_ = p.Wait()
		close(exited)
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

// Wait waits until the process has exited.
func (h *Host) Wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Restart starts the process again. It first sets first to false in the settings, because the system has been started
// before.
func (h *Host) Restart() error {
	text, err := os.ReadFile(h.settingsFile())
	if err != nil {
		return oops.In("stager").Wrap(err)
	}
	text = []byte(strings.Replace(string(text), "first = true", "first = false", 1))
	if err := os.WriteFile(h.settingsFile(), text, 0o600); err != nil { //nolint:gosec // The file is this program's own.
		return oops.In("stager").Wrap(err)
	}
	h.Restarts++
	return h.Start()
}

// RemoveData deletes the data folder of a stopped host.
func (h *Host) RemoveData() error {
	return oops.In("stager").Wrap(os.RemoveAll(h.dataFolder()))
}

// AppendTornRecord appends an incomplete record, as an interrupted write may leave it, to the newest file of the
// replicated log of a stopped host.
func (h *Host) AppendTornRecord() error {
	names, err := filepath.Glob(filepath.Join(h.dataFolder(), "log", "log-*"))
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

// Hosts returns the control hosts, followed by the entry hosts.
func (d *Deployment) Hosts() []*Host {
	return append(append([]*Host(nil), d.Controls...), d.Entries...)
}

// Stop kills every process that the deployment has started and closes the proxies.
func (d *Deployment) Stop() {
	for _, h := range d.Hosts() {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		h.Wait()
		if h.Proxy != nil {
			h.Proxy.Close()
		}
	}
}
