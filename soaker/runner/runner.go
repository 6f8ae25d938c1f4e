// Package runner runs one soak test: a deployment of real processes with leaves, callers, an operator and random
// faults.
package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/leafd/provider"
	"lycheelift.example/soaker/breaker"
	"lycheelift.example/soaker/prober"
	"lycheelift.example/soaker/stager"
)

// Config describes a soak test.
type Config struct {
	// Binary is the path of the fleetd program. Folder receives the files of the hosts.
	Binary, Folder string
	Seed           uint64
	// Subnet is the second octet of the loopback addresses.
	Subnet int
	// FaultDuration is the time for which faults are injected.
	FaultDuration     time.Duration
	Controls, Entries int
	Shards            int
	Callers           int
	// CheckTiming also checks time limits.
	CheckTiming bool
	Log         func(string)
}

// Result is the result of a soak test.
type Result struct {
	Sent, Answered int
	// Violations describes each guarantee that did not hold, and each crash.
	Violations []string
}

const (
	leafWorkTime      = 5 * time.Millisecond
	heartbeatInterval = 600 * time.Millisecond
	configInterval    = 300 * time.Millisecond
	// firstLeafPort is the port of the first leaf; the others follow it.
	firstLeafPort      = 9000
	replicasPerService = 3
	singleService      = "files"
)

// Run runs a soak test and stops everything that it started.
func Run(ctx context.Context, c Config) (*Result, error) {
	deployment, err := stager.New(c.Binary, c.Folder, c.Subnet, c.Controls, c.Entries)
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe := prober.New(c.proberConfig(deployment))
	leaves, err := c.startLeaves(ctx, deployment, probe)
	if err != nil {
		return nil, err
	}
	for _, h := range deployment.Hosts() {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	probe.PutConfiguration(ctx, 1)
	if err := awaitComplete(ctx, deployment, probe); err != nil {
		return nil, err
	}
	c.runLoad(ctx, deployment, probe, leaves)
	if err := awaitComplete(ctx, deployment, probe); err != nil {
		return nil, err
	}
	probe.CheckRuns()
	sent, answered := probe.Counts()
	return &Result{Sent: sent, Answered: answered, Violations: append(probe.Violations(), findCrashes(deployment)...)}, nil
}

// proberConfig describes the deployment to the prober.
func (c *Config) proberConfig(deployment *stager.Deployment) prober.Config {
	out := prober.Config{SingleService: singleService, TopK: 10, MinCoverage: 0.75, CheckTiming: c.CheckTiming}
	for i := range c.Shards {
		out.Shards = append(out.Shards, fmt.Sprintf("shard%d", i))
	}
	for _, h := range deployment.Controls {
		out.Controls = append(out.Controls, h.Address)
	}
	var entries []string
	for _, h := range deployment.Entries {
		entries = append(entries, h.Address)
	}
	out.Entries = func() []string { return entries }
	return out
}

// startLeaves starts the leaves of all services.
func (c *Config) startLeaves(ctx context.Context, deployment *stager.Deployment, probe *prober.Prober) ([]*provider.Leaf, error) {
	var controls []string
	for _, h := range deployment.Controls {
		controls = append(controls, h.Address)
	}
	var out []*provider.Leaf
	for i := range (c.Shards + 1) * replicasPerService {
		service := fmt.Sprintf("shard%d", i/replicasPerService)
		if i/replicasPerService == c.Shards {
			service = singleService
		}
		l := provider.New(provider.Config{
			Name: fmt.Sprintf("leaf-%d", i), Service: service, Center: string(rune('a' + i%replicasPerService)),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(c.Subnet), 3, 1}), uint16(firstLeafPort+i)), //nolint:gosec // Small numbers.
			Controls: func() []string { return controls }, Slots: 64, HeartbeatInterval: heartbeatInterval, Seed: c.Seed + uint64(i),
			OnRun: probe.RecordRun,
		})
		l.SetBehaviour(provider.Behaviour{WorkTime: leafWorkTime})
		if err := l.Start(ctx); err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// runLoad runs the callers, the operator and the fault injection concurrently.
func (c *Config) runLoad(ctx context.Context, deployment *stager.Deployment, probe *prober.Prober, leaves []*provider.Leaf) {
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range c.Callers {
		go probe.SendRequests(loadContext, i)
	}
	go probe.SendConfigurations(loadContext, configInterval)
	faultContext, stopFaults := context.WithTimeout(ctx, c.FaultDuration)
	defer stopFaults()
	go func() { // Drains one leaf permanently halfway through the run. The breaker leaves that one alone.
		time.Sleep(c.FaultDuration / 2)
		drained := leaves[len(leaves)-1]
		if acknowledged := drained.Drain(loadContext); !acknowledged.IsZero() {
			probe.RecordDrained(drained.Name(), acknowledged)
		}
	}()
	breaker.New(deployment, leaves[:len(leaves)-1], leafWorkTime, probe, c.Seed, c.Log).Run(faultContext)
}

// awaitComplete waits until a control host returns the configuration and every entry host has returned a complete
// answer.
func awaitComplete(ctx context.Context, deployment *stager.Deployment, probe *prober.Prober) error {
	for !probe.CheckConfigurations(ctx, 0) {
		if err := pause(ctx); err != nil {
			return err
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for i, h := range deployment.Entries {
		for n := 0; ; n++ {
			if isComplete(ctx, client, h.Address, fmt.Sprintf("w%d-%d", i, n)) {
				break
			}
			if err := pause(ctx); err != nil {
				return oops.In("runner").Wrapf(err, "host %s does not return complete answers", h.Name)
			}
		}
	}
	return nil
}

func isComplete(ctx context.Context, client *http.Client, entry, id string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/all/"+id, nil)
	if err != nil {
		return false
	}
	request.Host = "n.example"
	request.Header.Set("Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK && response.Header.Get("Missing-Parts") == "0"
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}

// findCrashes searches the logs of the hosts for panics, fatal errors, data races and broken invariants (events 1004
// and 4004).
func findCrashes(deployment *stager.Deployment) []string {
	var out []string
	for _, h := range deployment.Hosts() {
		data, err := os.ReadFile(h.LogFile())
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE", `event="4004"`, `event="1004"`} {
			if start := strings.Index(string(data), marker); start >= 0 {
				out = append(out, fmt.Sprintf("%s: %s", filepath.Base(filepath.Dir(h.LogFile())), string(data)[start:min(len(data), start+400)]))
			}
		}
	}
	return out
}
