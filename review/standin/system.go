package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the site files of the users.
const (
	drainBound     = 3 * time.Second
	configApply    = 3 * time.Second
	contactWindow  = 4 * time.Second
	evacuation     = 5 * time.Second
	beatInterval   = 1200 * time.Millisecond
	controlMemory  = 280
	entryMemory    = 284
	internalPorts  = 16
	startTimeout   = 20 * time.Second
	pollInterval   = 50 * time.Millisecond
	restartDelay   = 800 * time.Millisecond
	metricsPort    = 9464
	addressRetries = 20
	// seedCount is the number of control hosts that the settings name.
	seedCount = 3
)

// zones are the data centres; each has one control host and one entry host.
var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// ports are the ports that are the same on all hosts.
type ports struct {
	internal, control, front, ready int
}

// host is one process of the system.
type host struct {
	role, name, zone, ip string
	command              *exec.Cmd
	exited               chan struct{}
}

// system is a small deployment on loopback addresses.
type system struct {
	*recorder

	root, folder string
	network      int
	ports        ports
	controls     []*host
	entries      []*host

	mu     sync.Mutex
	leaves []*leaf
}

// newSystem chooses free addresses and starts all hosts.
func newSystem(r *recorder) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{recorder: r, root: root, folder: folder}
	if err := s.chooseAddresses(); err != nil {
		s.close()
		return nil, err
	}
	for i, zone := range zones {
		s.controls = append(s.controls, &host{role: "control", name: "core-" + zone, zone: zone, ip: s.ip(i, 10)})
		s.entries = append(s.entries, &host{role: "entry", name: "front-" + zone, zone: zone, ip: s.ip(i, 20)})
	}
	for _, h := range s.hosts() {
		if err := s.start(h, true); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) hosts() []*host {
	return append(append([]*host{}, s.controls...), s.entries...)
}

func (s *system) ip(zone, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, zone+1, number)
}

// chooseAddresses finds a loopback network and ports on which nothing listens.
func (s *system) chooseAddresses() error {
	for range addressRetries {
		s.network = 10 + rand.IntN(240)
		base := 20000 + rand.IntN(8000)
		s.ports = ports{internal: base, control: base + internalPorts, front: base + internalPorts + 1, ready: base + internalPorts + 2}
		if s.addressesFree() {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (s *system) addressesFree() bool {
	for i := range zones {
		for _, number := range []int{10, 20} {
			for _, port := range []int{s.ports.internal, s.ports.control, s.ports.front, s.ports.ready, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(i, number), port))
				if err != nil {
					return false
				}
				_ = listener.Close()
			}
		}
	}
	return true
}

// settings returns the text that the platform makes of the templates in the folder deploy.
func (s *system) settings(h *host, first bool) string {
	seeds := make([]string, 0, len(s.controls))
	for _, c := range s.controls[:seedCount] {
		seeds = append(seeds, fmt.Sprintf("%q", s.controlAddress(c)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ncenter = %q\naddress = %q\n", h.name, h.zone, h.ip)
	fmt.Fprintf(&b, "ports = [%d,%d]\nseeds = [%s]\n", s.ports.internal, s.ports.internal+internalPorts-1, strings.Join(seeds, ","))
	if first {
		fmt.Fprintln(&b, "first = true")
	}
	if h.role == "control" {
		fmt.Fprintln(&b, "counted = true")
	}
	fmt.Fprintf(&b, "tolerance = 1\ninterval = \"1200ms\"\n")
	if h.role == "control" {
		fmt.Fprintf(&b, "memory = %d\ndata = %q\nspace = 128\n", controlMemory, filepath.Join(s.folder, h.name))
		fmt.Fprintf(&b, "\n[listen]\ncontrol = %q\n", s.controlAddress(h))
	} else {
		fmt.Fprintf(&b, "memory = %d\n\n[listen]\ncallers = %q\nready = %q\n", entryMemory, s.frontAddress(h), s.readyAddress(h))
	}
	fmt.Fprintf(&b, "metrics = \"%s:%d\"\n", h.ip, metricsPort)
	fmt.Fprint(&b, "\n[bounds]\ndrain = \"3000ms\"\ngrace = \"6s\"\nratio = 0.2\nslack = 58\nwindow = \"10s\"\ncold = 1.5\ncoldslack = 5\n")
	return b.String()
}

func (s *system) controlAddress(h *host) string { return fmt.Sprintf("%s:%d", h.ip, s.ports.control) }
func (s *system) frontAddress(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, s.ports.front) }
func (s *system) readyAddress(h *host) string   { return fmt.Sprintf("%s:%d", h.ip, s.ports.ready) }

// start starts a host with the command of the deploy file.
func (s *system) start(h *host, first bool) error {
	path := filepath.Join(s.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(h, first)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(s.folder, h.name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command("target/fleetd", h.role)
	h.command.Dir = s.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEELIFT_BOOT=" + path}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(h.command, h.exited)
	s.add("%s started", h.name)
	return nil
}

// signal sends a signal to a process that this program started.
func (s *system) signal(h *host, sig syscall.Signal) {
	select {
	case <-h.exited:
	default:
		s.add("%s gets %s", h.name, sig)
		_ = h.command.Process.Signal(sig)
	}
}

// killAll kills the processes of all hosts at the same moment and starts them again.
func (s *system) killAll() error {
	return s.killHosts(s.hosts())
}

// killHosts kills the processes of some hosts at the same moment and starts them again.
func (s *system) killHosts(hosts []*host) error {
	for _, h := range hosts {
		s.signal(h, syscall.SIGKILL)
	}
	for _, h := range hosts {
		<-h.exited
	}
	time.Sleep(restartDelay)
	for _, h := range hosts {
		if err := s.start(h, false); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that was started and removes the temporary folder.
func (s *system) close() {
	s.mu.Lock()
	leaves := s.leaves
	s.mu.Unlock()
	for _, l := range leaves {
		l.stop()
	}
	for _, h := range s.hosts() {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range s.hosts() {
			if data, err := os.ReadFile(filepath.Join(s.folder, h.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.folder)
}

// awaitReady waits until all entry hosts answer their readiness check with 200.
func (s *system) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, h := range s.entries {
		for !s.ready(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", h.name)
			}
			time.Sleep(pollInterval)
		}
	}
	s.add("all entry hosts are ready")
	return nil
}

func (s *system) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.readyAddress(h) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
