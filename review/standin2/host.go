package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roles of fleetd, as in the deploy file.
const (
	roleEntry   = "entry"
	roleControl = "control"
)

// host is one process of fleetd with its own loopback address.
type host struct {
	name, role, zone, ip string
	settings, output     string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is a set of hosts that know the same seeds.
type deployment struct {
	folder string
	prefix string
	// Ports are the same on every host, as on the platform.
	peerPort, controlPort, callerPort, readyPort int
	hosts                                        []*host
	record                                       *record
}

var errNoPrefix = errors.New("no free loopback addresses")

// newDeployment reserves a range of loopback addresses and ports that nobody uses.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: r}
	for try := range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+try)%128, 1+(os.Getpid()/128+try)%250)
		base := 20000 + (os.Getpid()*7+try*13)%20000
		d.peerPort, d.controlPort, d.callerPort, d.readyPort = base, base+20, base+21, base+22
		if d.free() {
			return d, nil
		}
	}
	return nil, errNoPrefix
}

// free reports whether the ports can be bound on the first and the last address.
func (d *deployment) free() bool {
	for _, last := range []int{1, 99} {
		for _, port := range []int{d.peerPort, d.controlPort, d.callerPort, d.readyPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.prefix, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) address(h *host, port int) string {
	return fmt.Sprintf("%s:%d", h.ip, port)
}

// add adds a host, which is not started yet.
func (d *deployment) add(role, zone string) *host {
	n := len(d.hosts) + 1
	h := &host{name: fmt.Sprintf("%s-%d", role, n), role: role, zone: zone, ip: fmt.Sprintf("%s%d", d.prefix, n)}
	h.settings = filepath.Join(d.folder, h.name+".toml")
	h.output = filepath.Join(d.folder, h.name+".log")
	d.hosts = append(d.hosts, h)
	return h
}

func (d *deployment) of(role string) []*host {
	var out []*host
	for _, h := range d.hosts {
		if h.role == role {
			out = append(out, h)
		}
	}
	return out
}

// configure writes a host's settings, as the platform fills in the template of the deploy file.
func (d *deployment) configure(h *host, first bool) error {
	var seeds []string
	for _, c := range d.of(roleControl) {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", d.address(c, d.controlPort)))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ncenter = %q\naddress = %q\nports = [%d,%d]\nseeds = [%s]\n", h.name, h.zone, h.ip, d.peerPort, d.peerPort+15, strings.Join(seeds, ","))
	if first {
		b.WriteString("first = true\n")
	}
	b.WriteString("tolerance = 1\ninterval = \"1200ms\"\nmemory = 284\n")
	if h.role == roleControl {
		fmt.Fprintf(&b, "counted = true\ndata = %q\nspace = 128\n", filepath.Join(d.folder, h.name+".data"))
		fmt.Fprintf(&b, "[listen]\ncontrol = %q\n", d.address(h, d.controlPort))
	} else {
		fmt.Fprintf(&b, "[listen]\ncallers = %q\nready = %q\n", d.address(h, d.callerPort), d.address(h, d.readyPort))
	}
	b.WriteString("[bounds]\ndrain = \"3000ms\"\ngrace = \"6s\"\nratio = 0.2\nslack = 58\nwindow = \"10s\"\ncold = 1.5\ncoldslack = 5\n")
	return os.WriteFile(h.settings, []byte(b.String()), 0o600)
}

// start starts a host with the command of the deploy file.
func (d *deployment) start(h *host, first bool) error {
	if err := d.configure(h, first); err != nil {
		return err
	}
	output, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/fleetd", h.role)
	cmd.Env = append(os.Environ(), "LYCHEELIFT_BOOT="+h.settings)
	cmd.Stdout, cmd.Stderr = output, output
	// The process ends with this one, whatever happens.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	d.record.add("%s started, process %d", h.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// startAll starts all hosts for the first time.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := d.start(h, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a host's process.
func (d *deployment) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	d.record.add("%s gets %s", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill kills a host's process and waits for its end.
func (d *deployment) kill(h *host) {
	d.signal(h, syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.mu.Lock()
		cmd, done := h.cmd, h.done
		h.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// logged counts the lines of a host's output that contain a text.
func (h *host) logged(text string) int {
	data, err := os.ReadFile(h.output)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), text)
}

// sleepUntil waits until a time.
func sleepUntil(t time.Time) {
	time.Sleep(time.Until(t))
}
