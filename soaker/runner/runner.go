// Package runner runs one soak: a deployment of real processes, leaves, callers, an operator and random faults.
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

// Config describes a soak.
type Config struct {
	// Binary is the program fleetd, and Folder takes the files of the hosts.
	Binary, Folder string
	Seed           uint64
	// Subnet is the second part of the loopback addresses.
	Subnet int
	// Faults is the time for which faults are injected.
	Faults            time.Duration
	Controls, Entries int
	Shards            int
	Callers           int
	// Timed also checks bounds in time.
	Timed bool
	Log   func(string)
}

// Result is what a soak found.
type Result struct {
	Asked, Answered int
	// Faults are broken promises.
	Faults []string
}

const (
	work           = 5 * time.Millisecond
	leafInterval   = 600 * time.Millisecond
	configInterval = 300 * time.Millisecond
	// leafPort is the first port of the leaves.
	leafPort = 9000
	replicas = 3
	single   = "files"
)

// Run runs a soak and stops everything that it started.
func Run(ctx context.Context, c Config) (*Result, error) {
	stage, err := stager.New(c.Binary, c.Folder, c.Subnet, c.Controls, c.Entries)
	if err != nil {
		return nil, err
	}
	defer stage.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe := prober.New(c.promises(stage))
	leaves, err := c.leaves(ctx, stage, probe)
	if err != nil {
		return nil, err
	}
	for _, h := range stage.Hosts() {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	probe.Put(ctx, 1)
	if err := whole(ctx, stage, probe); err != nil {
		return nil, err
	}
	c.load(ctx, stage, probe, leaves)
	if err := whole(ctx, stage, probe); err != nil {
		return nil, err
	}
	probe.Finish()
	asked, answered := probe.Counts()
	return &Result{Asked: asked, Answered: answered, Faults: append(probe.Faults(), crashes(stage)...)}, nil
}

// promises says what the deployment serves.
func (c *Config) promises(stage *stager.Stage) prober.Config {
	out := prober.Config{Single: single, Top: 10, Least: 0.75, Timed: c.Timed}
	for i := range c.Shards {
		out.Shards = append(out.Shards, fmt.Sprintf("shard%d", i))
	}
	for _, h := range stage.Controls {
		out.Controls = append(out.Controls, h.Address)
	}
	var entries []string
	for _, h := range stage.Entries {
		entries = append(entries, h.Address)
	}
	out.Entries = func() []string { return entries }
	return out
}

// leaves starts the leaves of all services.
func (c *Config) leaves(ctx context.Context, stage *stager.Stage, probe *prober.Prober) ([]*provider.Leaf, error) {
	var controls []string
	for _, h := range stage.Controls {
		controls = append(controls, h.Address)
	}
	var out []*provider.Leaf
	for i := range (c.Shards + 1) * replicas {
		service := fmt.Sprintf("shard%d", i/replicas)
		if i/replicas == c.Shards {
			service = single
		}
		l := provider.New(provider.Config{
			Name: fmt.Sprintf("leaf-%d", i), Service: service, Center: string(rune('a' + i%replicas)),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(c.Subnet), 3, 1}), uint16(leafPort+i)), //nolint:gosec // Small numbers.
			Controls: func() []string { return controls }, Slots: 64, Interval: leafInterval, Seed: c.Seed + uint64(i),
			Ran: probe.Ran,
		})
		l.Behave(provider.Behaviour{Work: work})
		if err := l.Start(ctx); err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// load runs callers, the operator and the faults at the same time.
func (c *Config) load(ctx context.Context, stage *stager.Stage, probe *prober.Prober, leaves []*provider.Leaf) {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	for i := range c.Callers {
		go probe.Call(loading, i)
	}
	go probe.Configure(loading, configInterval)
	breaking, end := context.WithTimeout(ctx, c.Faults)
	defer end()
	go func() { // One leaf leaves for good in the middle.
		time.Sleep(c.Faults / 2)
		leaving := leaves[len(leaves)-1]
		if at := leaving.Drain(loading); !at.IsZero() {
			probe.Drained(leaving.Name(), at)
		}
	}()
	breaker.New(stage, leaves, work, c.Seed, c.Log).Run(breaking)
}

// whole waits until every control host reads the configuration back and every entry host answers whole.
func whole(ctx context.Context, stage *stager.Stage, probe *prober.Prober) error {
	for !probe.Read(ctx, 0) {
		if err := pause(ctx); err != nil {
			return err
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for i, h := range stage.Entries {
		for n := 0; ; n++ {
			if answers(ctx, client, h.Address, fmt.Sprintf("w%d-%d", i, n)) {
				break
			}
			if err := pause(ctx); err != nil {
				return oops.In("runner").Wrapf(err, "%s does not answer", h.Name)
			}
		}
	}
	return nil
}

func answers(ctx context.Context, client *http.Client, entry, id string) bool {
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

// crashes finds processes that ended by a fault of their own.
func crashes(stage *stager.Stage) []string {
	var out []string
	for _, h := range stage.Hosts() {
		data, err := os.ReadFile(h.Log())
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		for _, mark := range []string{"panic:", "fatal error:", "DATA RACE", `event="4004"`, `event="1004"`} {
			if at := strings.Index(string(data), mark); at >= 0 {
				out = append(out, fmt.Sprintf("%s: %s", filepath.Base(filepath.Dir(h.Log())), string(data)[at:min(len(data), at+400)]))
			}
		}
	}
	return out
}
