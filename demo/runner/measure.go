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
)

// size is a fan-out to measure.
type size struct {
	services int
	shards   int
	replicas int
	// pack is the number of shards that a leaf holds, and slots its calls at one time.
	pack, slots string
	// each is the number of entry hosts of a data centre.
	each     int
	rate     string
	duration string
	// announce is the time between announcements: with many leaves they would take up much of the machine.
	announce string
}

// sizes holds today's services of 3 leaves, and the fan-out of the design size: wide with 99 leaves that hold 10 shards
// each, because the 1980 servers of wider take more of one machine than the queries do.
var sizes = map[string]size{
	"small": {services: 5, shards: 3, replicas: 3, pack: "1", slots: "2", each: 3, rate: "200", duration: "25s", announce: "500ms"},
	"wide":  {services: 1, shards: 990, replicas: 2, pack: "10", slots: "16", each: 1, rate: "3", duration: "30s", announce: "500ms"},
	"wider": {services: 1, shards: 990, replicas: 2, pack: "1", slots: "2", each: 1, rate: "3", duration: "30s", announce: "1500ms"},
}

// stage is one load on a running deployment.
type stage struct {
	name string
	// slow is the part of slow calls, hedge the part of calls that may be hedged.
	slow  string
	hedge float64
	// canary sends new requests to one leaf first; distinct is the number of different requests.
	canary   bool
	distinct string
}

// few and many are numbers of different requests: of the first all are known to be good after the warm-up, of the
// second none.
const (
	few  = "1"
	many = "1000000"
)

var stages = []stage{
	{name: "no-stragglers", slow: "0", hedge: 0.05, canary: true, distinct: few},
	{name: "stragglers-unhedged", slow: straggling, hedge: 0, canary: true, distinct: few},
	{name: "stragglers-hedged", slow: straggling, hedge: 0.05, canary: true, distinct: few},
	{name: "new-requests-no-canary", slow: "0", hedge: 0.05, canary: false, distinct: many},
	{name: "new-requests-canary", slow: "0", hedge: 0.05, canary: true, distinct: many},
}

// straggling is 1% of calls that take 20 times as long.
const straggling = "0.01"

// Measure runs the tail measurement of one size: without stragglers, with them and no hedging, with both, and new
// requests without and with a canary.
// Reports and a plot are written to the folder.
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
	d, err := launch(ctx, binaries, logs, s.each, false)
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

// measurement is one size on a running deployment.
type measurement struct {
	*deployment

	size     size
	w        io.Writer
	folder   string
	name     string
	services []string
	records  []string
	reports  []string
}

func (m *measurement) run(ctx context.Context) error {
	if err := m.prepare(ctx); err != nil {
		return err
	}
	for _, p := range stages {
		if err := m.set(ctx, p); err != nil {
			return err
		}
		if err := m.drive(ctx, p, "warm-up", "5s"); err != nil {
			return err
		}
		if err := m.drive(ctx, p, p.name, m.size.duration); err != nil {
			return err
		}
	}
	args := append([]string{"plot", "--out", filepath.Join(m.folder, m.name+".png")}, m.reports...)
	return run(ctx, m.w, m.binaries, "loader", args...)
}

// prepare starts the stand-ins and the first configuration.
func (m *measurement) prepare(ctx context.Context) error {
	free, err := ports(m.size.services)
	if err != nil {
		return err
	}
	for i, address := range free {
		service := fmt.Sprintf("%s%d", m.name, i+1)
		m.services = append(m.services, service)
		m.records = append(m.records, address)
		err := m.launchLeaves(service, m.size.shards, m.size.replicas,
			"--control", address, "--pack", m.size.pack, "--slots", m.size.slots, "--announce", m.size.announce, "--latency", "2ms", "--seed", fmt.Sprint(1000*i))
		if err != nil {
			return err
		}
	}
	if err := m.patch(ctx, m.w, m.document(m.services...), "first configuration"); err != nil {
		return err
	}
	time.Sleep(2 * settle)
	return nil
}

// set changes the part of slow calls on the stand-ins, and hedging and canaries in the configuration.
func (m *measurement) set(ctx context.Context, p stage) error {
	for _, address := range m.records {
		target := "http://" + address + "/behave?set=" + url.QueryEscape(`{"slow":`+p.slow+`,"factor":20}`)
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
		services[s] = map[string]any{"hedge": p.hedge, "canary": p.canary}
	}
	if err := m.patch(ctx, m.w, mustJSON(map[string]any{"services": services}), p.name); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// drive sends one load; only loads that are not for warming up leave a report.
func (m *measurement) drive(ctx context.Context, p stage, name, duration string) error {
	var entries []string
	for _, h := range m.hosts {
		entries = append(entries, h.callers)
	}
	args := []string{
		"--name", name, "--service", strings.Join(m.services, ","), "--entries", strings.Join(entries, ","),
		"--records", strings.Join(m.records, ","), "--shards", fmt.Sprint(m.size.shards), "--rate", m.size.rate, "--duration", duration, "--distinct", p.distinct, "--body", name,
	}
	if duration == m.size.duration {
		report := filepath.Join(m.folder, m.name+"-"+name+".json")
		m.reports = append(m.reports, report)
		args = append(args, "--report", report)
	}
	return run(ctx, m.w, m.binaries, "loader", args...)
}
