package main

import (
	"errors"
	"fmt"
	"io"
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

// Ports of every host. All hosts have addresses of their own in the loopback range.
const (
	peerPort    = 7740
	controlPort = 8224
	callerPort  = 8226
	readyPort   = 8227
)

// host is one process of the system: an entry host or a control host.
type host struct {
	name, role, center, ip string
	folder, binary         string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// ends holds the times at which the process ended without a signal of this program. It is then started again.
	ends    []time.Time
	expects bool
}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// leafAddress returns the address of a leaf.
func (d *deployment) leafAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:8080", d.subnet, 10+n/200, 1+n%200)
}

// deployment is a small deployment of the system.
type deployment struct {
	record   *record
	folder   string
	controls []*host
	entries  []*host
	seeds    []string
	// subnet is the second octet of all addresses, and lock keeps it.
	subnet int
	lock   net.Listener
	bounds string
}

// bounds are those of the small site files.
const siteBounds = `drain = "3000ms"
grace = "6s"
ratio = 0.2
slack = 58
window = "10s"
cold = 1.5
coldslack = 5
`

// lockAddress is the address, in each subnet, on which a deployment listens for as long as it uses the subnet.
const lockAddress = "127.%d.255.1:8224"

// freeSubnet returns the second octet of loopback addresses that no other deployment uses, and the listener that keeps them.
func freeSubnet() (int, net.Listener, error) {
	for range 100 {
		subnet := 30 + rand.IntN(220)
		lock, err := net.Listen("tcp", fmt.Sprintf(lockAddress, subnet))
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", subnet, controlPort))
		if err != nil {
			_ = lock.Close()
			continue
		}
		return subnet, lock, l.Close()
	}
	return 0, nil, errors.New("no free loopback addresses")
}

// newDeployment writes the settings of a deployment.
func newDeployment(r *record, centers []string, controls, entries int, more string) (*deployment, error) {
	subnet, lock, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/fleetd")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, subnet: subnet, lock: lock, bounds: siteBounds + more}
	for i := range min(controls, 3) {
		d.seeds = append(d.seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.0.%d:%d", subnet, i+1, controlPort)))
	}
	for i := range controls {
		d.controls = append(d.controls, &host{
			name: fmt.Sprintf("core-%d", i+1), role: "control", center: centers[i%len(centers)], ip: fmt.Sprintf("127.%d.0.%d", subnet, i+1),
		})
	}
	for i := range entries {
		d.entries = append(d.entries, &host{
			name: fmt.Sprintf("front-%d", i+1), role: "entry", center: centers[i%len(centers)], ip: fmt.Sprintf("127.%d.1.%d", subnet, i+1),
		})
	}
	started = append(started, d)
	for _, h := range d.hosts() {
		h.binary, h.folder = binary, filepath.Join(folder, h.name)
		if err := os.MkdirAll(filepath.Join(h.folder, "data"), 0o750); err != nil {
			return nil, err
		}
		if err := d.writeSettings(h, true); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) hosts() []*host { return append(append([]*host{}, d.controls...), d.entries...) }

// writeSettings writes what the platform makes of the settings templates in deploy/.
func (d *deployment) writeSettings(h *host, first bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ncenter = %q\naddress = %q\nports = [%d,%d]\nseeds = [%s]\n", h.name, h.center, h.ip, peerPort, peerPort+15, strings.Join(d.seeds, ","))
	if first {
		b.WriteString("first = true\n")
	}
	if h.role == "control" {
		fmt.Fprintf(&b, "counted = true\ntolerance = 1\ninterval = \"1200ms\"\nmemory = 280\ndata = %q\nspace = 128\n", filepath.Join(h.folder, "data"))
		fmt.Fprintf(&b, "\n[listen]\ncontrol = \"%s:%d\"\nmetrics = \"%s:9464\"\n", h.ip, controlPort, h.ip)
	} else {
		fmt.Fprintf(&b, "tolerance = 1\ninterval = \"1200ms\"\nmemory = 284\n")
		fmt.Fprintf(&b, "\n[listen]\ncallers = \"%s:%d\"\nready = \"%s:%d\"\nmetrics = \"%s:9464\"\n", h.ip, callerPort, h.ip, readyPort, h.ip)
	}
	fmt.Fprintf(&b, "\n[bounds]\n%s", d.bounds)
	return os.WriteFile(filepath.Join(h.folder, "boot.toml"), []byte(b.String()), 0o600)
}

// start starts the process of a host.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(h.binary, h.role)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, "LYCHEELIFT_BOOT=" + filepath.Join(h.folder, "boot.toml")}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited, h.expects = p, exited, false
	h.mu.Unlock()
	go func() {
		_ = p.Wait()
		h.mu.Lock()
		byItself := !h.expects
		if byItself {
			h.ends = append(h.ends, time.Now())
		}
		h.mu.Unlock()
		close(exited)
		if byItself {
			time.AfterFunc(restartDelay, h.restart)
		}
	}()
	return nil
}

// restart starts the process again unless it was to end meanwhile.
func (h *host) restart() {
	h.mu.Lock()
	expects := h.expects
	h.mu.Unlock()
	if !expects {
		_ = h.start()
	}
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.expects = true
	}
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ownEnds returns how often the process has ended by itself.
func (h *host) ownEnds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ends)
}

// started are the deployments of this program.
var started []*deployment

// endAll ends all processes that this program has started.
func endAll() {
	for _, d := range started {
		d.close()
	}
}

// startAll starts all hosts.
func (d *deployment) startAll() error {
	for _, h := range d.hosts() {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder. KEEP=1 keeps it.
func (d *deployment) close() {
	for _, h := range d.hosts() {
		h.signal(syscall.SIGCONT)
		h.kill()
	}
	_ = d.lock.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// ready reports whether a host answers the readiness check of the platform.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all entry hosts are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range d.entries {
			all = all && h.ready()
		}
		if all {
			return true
		}
	}
	return false
}
