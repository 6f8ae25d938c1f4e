// Package stager runs a deployment of real processes on loopback, for tests and measurements that need complete hosts.
package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/reserver"
	"lycheelift.example/lib/transporter"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Layout describes the programs and the size of a deployment.
type Layout struct {
	Binaries string
	Folder   string
	Centers  int
	// Hosts is the number of entry hosts in each data centre.
	Hosts int
	// Shards is the number of shards of service desk, each of which has one replica in every data centre. With 0, no leaves
	// are started.
	Shards int
	// Grace is the time for which a stopping host fails its readiness check before it refuses queries, so that the load
	// balancer can react.
	Grace time.Duration
}

// Host is one entry host.
type Host struct {
	Name          string
	Center        string
	CallerAddress string
	PeerAddress   string

	settingsFile string
	process      *process
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// slotsPerLeaf is far above the load, because these tests are about hosts and not about the limits of leaves. Without
// leases, two hosts may briefly call the same leaf while its owner changes.
const slotsPerLeaf = 32

// announceHostsPerCenter is the number of entry hosts in each data centre to which the stand-ins announce themselves. If
// they announced to all of 81 hosts, 486 stand-ins would hold 39,000 connections.
const announceHostsPerCenter = 3

// Deployment is a set of running processes: one control host, entry hosts and stand-in backend servers.
type Deployment struct {
	Hosts []*Host

	layout          Layout
	client          *http.Client
	operatorAddress string
	controlAddress  string
	recordAddress   string
	controlProcess  *process
	leafProcess     *process
	version         uint64
	mu              sync.Mutex
	processes       []*process
}

// Start starts every process and submits the first configuration. Close must be called even if Start returns an error.
func Start(ctx context.Context, l Layout) (*Deployment, error) {
	const pingInterval = 5 * time.Second
	d := &Deployment{layout: l, version: 1, client: transporter.NewClient(transporter.PingPolicy{Interval: pingInterval, Timeout: pingInterval})}
	addresses, err := reserver.Addresses(3 + 2*l.Centers*l.Hosts)
	if err != nil {
		return d, err
	}
	d.operatorAddress, d.controlAddress, d.recordAddress = addresses[0], addresses[1], addresses[2]
	for i := range l.Centers * l.Hosts {
		d.Hosts = append(d.Hosts, &Host{
			Name: fmt.Sprintf("entry-%03d", i), Center: fmt.Sprintf("center-%d", i/l.Hosts), CallerAddress: addresses[3+2*i], PeerAddress: addresses[4+2*i],
		})
	}
	if err := d.startControl(); err != nil {
		return d, err
	}
	for _, h := range d.Hosts {
		if err := d.writeSettings(h); err != nil {
			return d, err
		}
		if err := d.StartHost(h); err != nil {
			return d, err
		}
	}
	if err := d.AwaitReachable(ctx); err != nil {
		return d, err
	}
	if err := awaitListener(ctx, d.operatorAddress); err != nil {
		return d, err
	}
	if _, err := d.Patch(ctx, d.initialConfiguration()); err != nil {
		return d, err
	}
	return d, d.startLeaves()
}

func (d *Deployment) startProcess(name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(d.layout.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	p := &process{command: exec.CommandContext(context.Background(), filepath.Join(d.layout.Binaries, program), args...), done: make(chan struct{})} //nolint:gosec // The programs are this project's own.
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, oops.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return p, nil
}

func (d *Deployment) startControl() error {
	text := fmt.Sprintf("name = \"control-1\"\ndata = %q\n[listen]\noperators = %q\npeers = %q\n[tls]\noff = true\n[[members]]\nname = \"control-1\"\naddress = %q\n",
		filepath.Join(d.layout.Folder, "control"), d.operatorAddress, d.controlAddress, d.controlAddress)
	path := filepath.Join(d.layout.Folder, "control.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return oops.Wrap(err)
	}
	var err error
	d.controlProcess, err = d.startProcess("control", "controld", "--settings", path)
	return err
}

// writeSettings writes the settings of a host. Its seeds are the other hosts of its data centre.
func (d *Deployment) writeSettings(h *Host) error {
	var seeds []string
	for _, other := range d.Hosts {
		if other.Center == h.Center && other != h {
			seeds = append(seeds, fmt.Sprintf("%q", other.PeerAddress))
		}
	}
	text := fmt.Sprintf("name = %q\ncenter = %q\ncontrol = [%q]\nseeds = [%s]\ngrace = %q\n[listen]\ncallers = %q\npeers = %q\n[tls]\noff = true\n",
		h.Name, h.Center, d.controlAddress, strings.Join(seeds, ", "), fmt.Sprintf("%dms", d.layout.Grace.Milliseconds()), h.CallerAddress, h.PeerAddress)
	h.settingsFile = filepath.Join(d.layout.Folder, h.Name+".toml")
	return oops.Wrap(os.WriteFile(h.settingsFile, []byte(text), 0o600))
}

// StartHost starts an entry host that is not running.
func (d *Deployment) StartHost(h *Host) error {
	var err error
	h.process, err = d.startProcess(h.Name, "entryd", "--settings", h.settingsFile)
	return err
}

func (d *Deployment) startLeaves() error {
	if d.layout.Shards == 0 {
		return nil
	}
	var centers, entries []string
	for i := range d.layout.Centers {
		centers = append(centers, fmt.Sprintf("center-%d", i))
	}
	for i, h := range d.Hosts {
		// Each stand-in opens a connection to each host to which it announces itself.
		if i%d.layout.Hosts < announceHostsPerCenter {
			entries = append(entries, h.CallerAddress)
		}
	}
	var err error
	d.leafProcess, err = d.startProcess("leaves", "leafd", "--service", "desk", "--shards", fmt.Sprint(d.layout.Shards), "--replicas", fmt.Sprint(len(centers)),
		"--centers", strings.Join(centers, ","), "--entries", strings.Join(entries, ","), "--slots", fmt.Sprint(slotsPerLeaf), "--control", d.recordAddress)
	return err
}

func (d *Deployment) initialConfiguration() map[string]any {
	centers, hosts := map[string]any{}, map[string]any{}
	for _, h := range d.Hosts {
		centers[h.Center] = map[string]any{"region": "north"}
		hosts[h.Name] = map[string]any{"center": h.Center, "address": h.PeerAddress}
	}
	return map[string]any{"centers": centers, "hosts": hosts, "services": map[string]any{"desk": map[string]any{}}}
}

// Patch submits a patch based on the current version and returns the time at which its acceptance was received.
func (d *Deployment) Patch(ctx context.Context, body map[string]any) (time.Time, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	out, err := operatorv1connect.NewOperatorServiceClient(d.client, "http://"+d.operatorAddress).Patch(ctx, &operatorv1.PatchRequest{
		Patch: &statev1.Patch{Id: fmt.Sprintf("stage-%d", d.version), Base: d.version, Body: data, Author: "stager"},
	})
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	if out.GetResult().GetVerdict() != statev1.Verdict_VERDICT_ACCEPTED {
		return time.Time{}, oops.Errorf("patch: %s %v", out.GetResult().GetVerdict(), out.GetResult().GetFaults())
	}
	d.version = out.GetResult().GetVersion()
	return time.Now(), nil
}

// Version returns the version of the newest accepted configuration.
func (d *Deployment) Version() uint64 { return d.version }

// SetCenterOut submits a patch that takes a data centre out of service or puts it back.
func (d *Deployment) SetCenterOut(ctx context.Context, center string, out bool) (time.Time, error) {
	return d.Patch(ctx, map[string]any{"centers": map[string]any{center: map[string]any{"out": out}}})
}

// Inspect returns a host's view of the configuration, the members and the leaves.
func (d *Deployment) Inspect(ctx context.Context, h *Host) (*operatorv1.InspectResponse, error) {
	return operatorv1connect.NewHostServiceClient(d.client, "http://"+h.CallerAddress).Inspect(ctx, &operatorv1.InspectRequest{})
}

// Remove sets or clears the local removal on one host.
func (d *Deployment) Remove(ctx context.Context, h *Host, removed bool) error {
	_, err := operatorv1connect.NewHostServiceClient(d.client, "http://"+h.CallerAddress).Remove(ctx, &operatorv1.RemoveRequest{Removed: removed, Author: "stager"})
	return oops.Wrap(err)
}

// Ready reports whether a host accepts queries.
func (d *Deployment) Ready(ctx context.Context, h *Host) bool {
	data, err := d.Get(ctx, "http://"+h.CallerAddress+"/ready")
	return err == nil && bytes.HasPrefix(data, []byte("ready"))
}

// Get fetches a URL of one of the processes and returns the response body.
func (d *Deployment) Get(ctx context.Context, url string) ([]byte, error) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var buffer bytes.Buffer
	_, err = buffer.ReadFrom(response.Body)
	return buffer.Bytes(), oops.Wrap(err)
}

// LeafRecord holds some of the counters of a stand-in backend server.
type LeafRecord struct {
	Leaf     string    `json:"leaf"`
	Calls    int64     `json:"calls"`
	LastCall time.Time `json:"last"`
	// Crashes is the number of calls that crashed the server.
	Crashes int `json:"crashes"`
	// Keys counts the runs of each idempotency key.
	Keys map[string]int `json:"keys"`
}

// ControlLeaves sends a control request to the stand-in backend servers. path includes the query string.
func (d *Deployment) ControlLeaves(ctx context.Context, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.recordAddress+path, nil)
	if err != nil {
		return oops.Wrap(err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("%s: %s", path, response.Status)
	}
	return nil
}

// Query sends one query to a host.
func (d *Deployment) Query(ctx context.Context, h *Host, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	return callerv1connect.NewQueryServiceClient(d.client, "http://"+h.CallerAddress).Query(ctx, in)
}

// Answers returns the recorded answers.
func (d *Deployment) Answers(ctx context.Context) (*operatorv1.AnswersResponse, error) {
	return operatorv1connect.NewOperatorServiceClient(d.client, "http://"+d.operatorAddress).Answers(ctx, &operatorv1.AnswersRequest{})
}

// Records returns the records of the stand-ins in a data centre.
func (d *Deployment) Records(ctx context.Context, center string) ([]LeafRecord, error) {
	data, err := d.Get(ctx, "http://"+d.recordAddress+"/record")
	if err != nil {
		return nil, err
	}
	var all, out []LeafRecord
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, oops.Wrap(err)
	}
	for _, r := range all {
		// Replica n of a shard is in data centre n.
		if strings.HasSuffix(r.Leaf, strings.TrimPrefix(center, "center")) {
			out = append(out, r)
		}
	}
	return out, nil
}

// Signal sends a signal to a host's process.
func (h *Host) Signal(s syscall.Signal) error { return h.process.command.Process.Signal(s) }

// Pid returns the process ID.
func (h *Host) Pid() int { return h.process.command.Process.Pid }

// Wait waits until the host's process has exited and returns its error.
func (h *Host) Wait() error {
	<-h.process.done
	return h.process.err
}

// SignalControl sends a signal to the control host.
func (d *Deployment) SignalControl(s syscall.Signal) error {
	return d.controlProcess.command.Process.Signal(s)
}

// AwaitReachable waits until every host responds.
func (d *Deployment) AwaitReachable(ctx context.Context) error {
	return d.Await(ctx, func(h *Host) bool {
		_, err := d.Inspect(ctx, h)
		return err == nil
	})
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// awaitListener waits until a process listens on an address, because the control host may start later than all others.
func awaitListener(ctx context.Context, address string) error {
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			return oops.Wrap(conn.Close())
		}
		select {
		case <-ctx.Done():
			return oops.Wrapf(err, "nothing listens on %s", address)
		case <-time.After(pollInterval):
		}
	}
}

// Await waits until a condition has held on each host in turn.
func (d *Deployment) Await(ctx context.Context, holds func(*Host) bool) error {
	for _, h := range d.Hosts {
		for !holds(h) {
			select {
			case <-ctx.Done():
				return oops.Errorf("%s: condition does not hold: %w", h.Name, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Close kills every process that the deployment started.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.processes {
		<-p.done
	}
}

// Log returns the last part of a host's log.
func (d *Deployment) Log(h *Host) string {
	const maxBytes = 8000
	data, err := os.ReadFile(filepath.Join(d.layout.Folder, h.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}
