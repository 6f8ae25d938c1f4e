// Package stager runs a deployment of real processes on loopback, for tests and measurements of whole hosts.
package stager

import (
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/samber/oops"

	"lycheelift.example/lib/transporter"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// Layout is the size of a deployment.
type Layout struct {
	Binaries string
	Folder   string
	Centers  int
	// Hosts is the number of entry hosts of each data centre.
	Hosts int
	// Shards is the number of shards of service desk; each data centre has a replica of each. 0 starts no leaves.
	Shards int
	// Grace is the balancer's time of a graceful stop.
	Grace time.Duration
}

// Host is one entry host.
type Host struct {
	Name    string
	Center  string
	Callers string
	Peers   string

	settings string
	process  *process
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// leafSlots is far above the load: without leases two hosts may call a leaf for a moment while it changes its owner,
// and these tests are about hosts, not about the limits of leaves.
const leafSlots = 32

// announceHosts is the number of entry hosts of each data centre to which the stand-ins announce. With all of 81 hosts,
// 486 stand-ins would hold 39,000 connections.
const announceHosts = 3

// Deployment is a running set of processes: one control host, entry hosts and stand-in backend servers.
type Deployment struct {
	Hosts []*Host

	layout    Layout
	client    *http.Client
	operators string
	control   string
	record    string
	controld  *process
	leaves    *process
	base      uint64
	mu        sync.Mutex
	all       []*process
}

// Start starts every process and puts the first configuration in force. Close must be called also after an error.
func Start(ctx context.Context, l Layout) (*Deployment, error) {
	const silence = 5 * time.Second
	d := &Deployment{layout: l, base: 1, client: transporter.Client(transporter.Silence{Idle: silence, Answer: silence})}
	free, err := ports(3 + 2*l.Centers*l.Hosts)
	if err != nil {
		return d, err
	}
	d.operators, d.control, d.record = free[0], free[1], free[2]
	for i := range l.Centers * l.Hosts {
		d.Hosts = append(d.Hosts, &Host{
			Name: fmt.Sprintf("entry-%03d", i), Center: fmt.Sprintf("center-%d", i/l.Hosts), Callers: free[3+2*i], Peers: free[4+2*i],
		})
	}
	if err := d.startControl(); err != nil {
		return d, err
	}
	for _, h := range d.Hosts {
		if err := d.configure(h); err != nil {
			return d, err
		}
		if err := d.StartHost(h); err != nil {
			return d, err
		}
	}
	if err := d.Reachable(ctx); err != nil {
		return d, err
	}
	if err := listening(ctx, d.operators); err != nil {
		return d, err
	}
	if _, err := d.Patch(ctx, d.document()); err != nil {
		return d, err
	}
	return d, d.startLeaves()
}

func (d *Deployment) run(name, program string, args ...string) (*process, error) {
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
	d.all = append(d.all, p)
	return p, nil
}

func (d *Deployment) startControl() error {
	text := fmt.Sprintf("name = \"control-1\"\ndata = %q\n[listen]\noperators = %q\npeers = %q\n[tls]\noff = true\n[[members]]\nname = \"control-1\"\naddress = %q\n",
		filepath.Join(d.layout.Folder, "control"), d.operators, d.control, d.control)
	path := filepath.Join(d.layout.Folder, "control.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return oops.Wrap(err)
	}
	var err error
	d.controld, err = d.run("control", "controld", "--settings", path)
	return err
}

// configure writes a host's settings; its seeds are the other hosts of its data centre.
func (d *Deployment) configure(h *Host) error {
	var seeds []string
	for _, other := range d.Hosts {
		if other.Center == h.Center && other != h {
			seeds = append(seeds, fmt.Sprintf("%q", other.Peers))
		}
	}
	text := fmt.Sprintf("name = %q\ncenter = %q\ncontrol = [%q]\nseeds = [%s]\ngrace = %q\n[listen]\ncallers = %q\npeers = %q\n[tls]\noff = true\n",
		h.Name, h.Center, d.control, strings.Join(seeds, ", "), fmt.Sprintf("%dms", d.layout.Grace.Milliseconds()), h.Callers, h.Peers)
	h.settings = filepath.Join(d.layout.Folder, h.Name+".toml")
	return oops.Wrap(os.WriteFile(h.settings, []byte(text), 0o600))
}

// StartHost starts an entry host that does not run.
func (d *Deployment) StartHost(h *Host) error {
	var err error
	h.process, err = d.run(h.Name, "entryd", "--settings", h.settings)
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
		// Each stand-in opens a connection to each host that it announces to.
		if i%d.layout.Hosts < announceHosts {
			entries = append(entries, h.Callers)
		}
	}
	var err error
	d.leaves, err = d.run("leaves", "leafd", "--service", "desk", "--shards", fmt.Sprint(d.layout.Shards), "--replicas", fmt.Sprint(len(centers)),
		"--centers", strings.Join(centers, ","), "--entries", strings.Join(entries, ","), "--slots", fmt.Sprint(leafSlots), "--control", d.record)
	return err
}

func (d *Deployment) document() map[string]any {
	centers, hosts := map[string]any{}, map[string]any{}
	for _, h := range d.Hosts {
		centers[h.Center] = map[string]any{"region": "north"}
		hosts[h.Name] = map[string]any{"center": h.Center, "address": h.Peers}
	}
	return map[string]any{"centers": centers, "hosts": hosts, "services": map[string]any{"desk": map[string]any{}}}
}

// Patch submits a change on the current version and returns when it was accepted.
func (d *Deployment) Patch(ctx context.Context, body map[string]any) (time.Time, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	out, err := operatorv1connect.NewOperatorServiceClient(d.client, "http://"+d.operators).Patch(ctx, &operatorv1.PatchRequest{
		Patch: &statev1.Patch{Id: fmt.Sprintf("stage-%d", d.base), Base: d.base, Body: data, Author: "stager"},
	})
	if err != nil {
		return time.Time{}, oops.Wrap(err)
	}
	if out.GetResult().GetVerdict() != statev1.Verdict_VERDICT_ACCEPTED {
		return time.Time{}, oops.Errorf("patch: %s %v", out.GetResult().GetVerdict(), out.GetResult().GetFaults())
	}
	d.base = out.GetResult().GetVersion()
	return time.Now(), nil
}

// Version returns the newest accepted version.
func (d *Deployment) Version() uint64 { return d.base }

// Out patches a data centre out or in.
func (d *Deployment) Out(ctx context.Context, center string, out bool) (time.Time, error) {
	return d.Patch(ctx, map[string]any{"centers": map[string]any{center: map[string]any{"out": out}}})
}

// Inspect asks a host what it knows.
func (d *Deployment) Inspect(ctx context.Context, h *Host) (*operatorv1.InspectResponse, error) {
	return operatorv1connect.NewHostServiceClient(d.client, "http://"+h.Callers).Inspect(ctx, &operatorv1.InspectRequest{})
}

// Remove sets or lifts the local removal at one host.
func (d *Deployment) Remove(ctx context.Context, h *Host, removed bool) error {
	_, err := operatorv1connect.NewHostServiceClient(d.client, "http://"+h.Callers).Remove(ctx, &operatorv1.RemoveRequest{Removed: removed, Author: "stager"})
	return oops.Wrap(err)
}

// Ready asks a host whether it takes queries.
func (d *Deployment) Ready(ctx context.Context, h *Host) bool {
	data, err := d.Get(ctx, "http://"+h.Callers+"/ready")
	return err == nil && bytes.HasPrefix(data, []byte("ready"))
}

// Get reads a page of a process.
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

// Record is a part of what a stand-in counted.
type Record struct {
	Leaf  string    `json:"leaf"`
	Calls int64     `json:"calls"`
	Last  time.Time `json:"last"`
	// Crashes is the number of calls that crashed the server.
	Crashes int `json:"crashes"`
	// Keys counts the runs of each idempotency key.
	Keys map[string]int `json:"keys"`
}

// Switch changes the stand-ins: path names the switch with its query.
func (d *Deployment) Switch(ctx context.Context, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.record+path, nil)
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

// Ask sends one query to a host.
func (d *Deployment) Ask(ctx context.Context, h *Host, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	return callerv1connect.NewQueryServiceClient(d.client, "http://"+h.Callers).Query(ctx, in)
}

// Answers searches the record of answers.
func (d *Deployment) Answers(ctx context.Context) (*operatorv1.AnswersResponse, error) {
	return operatorv1connect.NewOperatorServiceClient(d.client, "http://"+d.operators).Answers(ctx, &operatorv1.AnswersRequest{})
}

// Records returns the records of the stand-ins of a data centre.
func (d *Deployment) Records(ctx context.Context, center string) ([]Record, error) {
	data, err := d.Get(ctx, "http://"+d.record+"/record")
	if err != nil {
		return nil, err
	}
	var all, out []Record
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

// Pid returns the process identity.
func (h *Host) Pid() int { return h.process.command.Process.Pid }

// Wait waits until the host's process has ended and returns its error.
func (h *Host) Wait() error {
	<-h.process.done
	return h.process.err
}

// SignalControl sends a signal to the control host.
func (d *Deployment) SignalControl(s syscall.Signal) error {
	return d.controld.command.Process.Signal(s)
}

// Reachable waits until every host serves.
func (d *Deployment) Reachable(ctx context.Context) error {
	return d.Until(ctx, func(h *Host) bool {
		_, err := d.Inspect(ctx, h)
		return err == nil
	})
}

// pollInterval is the time between two looks whether a condition holds.
const pollInterval = 10 * time.Millisecond

// listening waits until a process listens on an address: the control host may start after all others.
func listening(ctx context.Context, address string) error {
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

// Until waits until a condition holds at every host.
func (d *Deployment) Until(ctx context.Context, holds func(*Host) bool) error {
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

// Close ends every process that the deployment started.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.all {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.all {
		<-p.done
	}
}

// Log returns the end of a host's log.
func (d *Deployment) Log(h *Host) string {
	const most = 8000
	data, err := os.ReadFile(filepath.Join(d.layout.Folder, h.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}

// Ports are taken below the range from which systems choose ports of outgoing connections, so that no connection of
// another process takes one before the host listens on it.
const (
	firstPort = 10000
	lastPort  = 30000
)

// ports finds free loopback addresses by listening on each of them for a moment.
func ports(n int) ([]string, error) {
	out := make([]string, 0, n)
	for _, i := range rand.Perm(lastPort - firstPort) { //nolint:gosec // Any free port will do.
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+i)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return nil, oops.Errorf("fewer than %d free ports", n)
}
