package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/reserver"
)

// size is a deployment size to measure.
type size struct {
	services int
	shards   int
	replicas int
	// shardsPerLeaf is the number of shards that a leaf holds, and slots its number of concurrent calls.
	shardsPerLeaf, slots string
	// hostsPerCenter is the number of entry hosts in each data centre.
	hostsPerCenter int
	rate           string
	duration       string
	// announceInterval is the time between two announcements of a leaf. It is longer with many leaves, whose announcements
	// would otherwise use much of the machine.
	announceInterval string
}

// sizes holds small, with services of 3 leaves as in use today, and the fan-out of the design size. wide has 99 leaves
// that hold 10 shards each, because the 1980 servers of wider use more of one machine than the queries do.
var sizes = map[string]size{
	"small": {services: 5, shards: 3, replicas: 3, shardsPerLeaf: "1", slots: "2", hostsPerCenter: 3, rate: "200", duration: "25s", announceInterval: "500ms"},
	"wide":  {services: 1, shards: 990, replicas: 2, shardsPerLeaf: "10", slots: "16", hostsPerCenter: 1, rate: "3", duration: "30s", announceInterval: "500ms"},
	"wider": {services: 1, shards: 990, replicas: 2, shardsPerLeaf: "1", slots: "2", hostsPerCenter: 1, rate: "3", duration: "30s", announceInterval: "1500ms"},
}

// stage is a load on a running deployment, with the behaviour and configuration that it runs under.
type stage struct {
	name string
	// slowFraction is the fraction of slow calls, hedgeFraction the fraction of calls that may be hedged.
	slowFraction  string
	hedgeFraction float64
	// canary sends new requests to one leaf first. distinctRequests is the number of different requests.
	canary           bool
	distinctRequests string
}

// Numbers of different requests. With oneRequest, every request is known to be good after the warm-up; with
// manyRequests, none is.
const (
	oneRequest   = "1"
	manyRequests = "1000000"
)

var stages = []stage{
	{name: "no-stragglers", slowFraction: "0", hedgeFraction: 0.05, canary: true, distinctRequests: oneRequest},
	{name: "stragglers-unhedged", slowFraction: stragglerFraction, hedgeFraction: 0, canary: true, distinctRequests: oneRequest},
	{name: "stragglers-hedged", slowFraction: stragglerFraction, hedgeFraction: 0.05, canary: true, distinctRequests: oneRequest},
	{name: "new-requests-no-canary", slowFraction: "0", hedgeFraction: 0.05, canary: false, distinctRequests: manyRequests},
	{name: "new-requests-canary", slowFraction: "0", hedgeFraction: 0.05, canary: true, distinctRequests: manyRequests},
}

// stragglerFraction makes 1% of calls slow; these take 20 times as long.
const stragglerFraction = "0.01"

// Measure measures the tail latency of one size: without stragglers, with stragglers and no hedging, with stragglers and
// hedging, and with new requests without and with a canary. It writes reports and a plot to the folder.
func Measure(ctx context.Context, w io.Writer, binaries, folder, name string) (err error) {
	s, ok := sizes[name]
	if !ok {
		return oops.Errorf("no size is named %q", name)
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return oops.Wrap(err)
	}
	logs, err := os.MkdirTemp("", "lycheelift-measure-")
	if err != nil {
		return oops.Wrap(err)
	}
	d, err := launch(ctx, binaries, logs, s.hostsPerCenter, false)
	defer func() {
		if stopped := d.stop(); err == nil {
			err = stopped
		}
		fmt.Fprintf(w, "logs are in %s\n", logs)
	}()
	if err != nil {
		return err
	}
	m := &measurement{deployment: d, size: s, w: w, folder: folder, name: name}
	return m.run(ctx)
}

// measurement is the measurement of one size on a running deployment.
type measurement struct {
	*deployment

	size             size
	w                io.Writer
	folder           string
	name             string
	services         []string
	controlAddresses []string
	reports          []string
}

func (m *measurement) run(ctx context.Context) error {
	if err := m.prepare(ctx); err != nil {
		return err
	}
	for _, p := range stages {
		if err := m.configureStage(ctx, p); err != nil {
			return err
		}
		if err := m.runLoader(ctx, p, "warm-up", "5s"); err != nil {
			return err
		}
		if err := m.runLoader(ctx, p, p.name, m.size.duration); err != nil {
			return err
		}
	}
	args := append([]string{"plot", "--out", filepath.Join(m.folder, m.name+".png")}, m.reports...)
	return runProgram(ctx, m.w, m.binaries, "loader", args...)
}

// prepare starts the stand-ins and applies the first configuration.
func (m *measurement) prepare(ctx context.Context) error {
	free, err := reserver.Addresses(m.size.services)
	if err != nil {
		return err
	}
	for i, address := range free {
		service := fmt.Sprintf("%s%d", m.name, i+1)
		m.services = append(m.services, service)
		m.controlAddresses = append(m.controlAddresses, address)
		err := m.launchLeaves(service, m.size.shards, m.size.replicas,
			"--control", address, "--pack", m.size.shardsPerLeaf, "--slots", m.size.slots, "--announce", m.size.announceInterval, "--latency", "2ms", "--seed", fmt.Sprint(1000*i))
		if err != nil {
			return err
		}
	}
	if err := m.patch(ctx, m.w, m.document(m.services...), "first configuration"); err != nil {
		return err
	}
	time.Sleep(2 * settleTime)
	return nil
}

// configureStage sets the fraction of slow calls on the stand-ins, and hedging and canaries in the configuration.
func (m *measurement) configureStage(ctx context.Context, p stage) error {
	for _, address := range m.controlAddresses {
		target := "http://" + address + "/behave?set=" + url.QueryEscape(`{"slow":`+p.slowFraction+`,"factor":20}`)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
		if err != nil {
			return oops.Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return oops.Wrap(err)
		}
		_ = response.Body.Close()
	}
	services := map[string]any{}
	for _, s := range m.services {
		services[s] = map[string]any{"hedge": p.hedgeFraction, "canary": p.canary}
	}
	if err := m.patch(ctx, m.w, mustJSON(map[string]any{"services": services}), p.name); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// runLoader runs one load. Only loads of the size's full duration write a report, not warm-up loads.
func (m *measurement) runLoader(ctx context.Context, p stage, name, duration string) error {
	var entries []string
	for _, h := range m.hosts {
		entries = append(entries, h.callers)
	}
	args := []string{
		"--name", name, "--service", strings.Join(m.services, ","), "--entries", strings.Join(entries, ","),
		"--records", strings.Join(m.controlAddresses, ","), "--shards", fmt.Sprint(m.size.shards), "--rate", m.size.rate, "--duration", duration, "--distinct", p.distinctRequests, "--body", name,
	}
	if duration == m.size.duration {
		report := filepath.Join(m.folder, m.name+"-"+name+".json")
		m.reports = append(m.reports, report)
		args = append(args, "--report", report)
	}
	return runProgram(ctx, m.w, m.binaries, "loader", args...)
}
