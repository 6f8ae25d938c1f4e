// Package runner starts a small deployment on loopback, runs load against it and stops it.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/loader/driver"
	"lycheelift.example/loader/reporter"
)

const (
	// settleTime is the time in which a configuration version and the announcements reach every host and the leaves get
	// owners. Lease granters that have just learned of their cell grant no lease for one lease term of 2 s.
	settleTime = 4 * time.Second
	// queriesPerSecond is the load of the demo.
	queriesPerSecond = 150
	phaseDuration    = 4 * time.Second
)

// Run runs the demo with the programs in the folder binaries. It keeps the logs if an error occurs.
func Run(ctx context.Context, w io.Writer, binaries string) (err error) {
	folder, err := os.MkdirTemp("", "lycheelift-demo-")
	if err != nil {
		return oops.Wrap(err)
	}
	d, err := launch(ctx, binaries, folder, hostsPerCenter, true)
	defer func() {
		if stopped := d.stop(); err == nil {
			err = stopped
		}
		if err == nil {
			err = os.RemoveAll(folder)
		} else {
			fmt.Fprintf(w, "logs are kept in %s\n", folder)
		}
	}()
	if err != nil {
		return err
	}
	if err := d.launchLeaves("desk", shardCount, centerCount); err != nil {
		return err
	}
	return d.runScenario(ctx, w)
}

func (d *deployment) runScenario(ctx context.Context, w io.Writer) error {
	fmt.Fprintf(w, "%d entry hosts in %d data centres, %d control hosts, %d shards of service desk\n", len(d.hosts), centerCount, controlCount, shardCount)
	if err := d.patch(ctx, w, d.document("desk"), "first configuration"); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for _, question := range []string{"name=Lotca", "name=Sirena", "tag=4711"} {
		if err := d.runLycheelift(ctx, w, authorizer.Caller, "ask", "desk", question, "--tenant", tenant, "--least", "1", "--entry", d.hosts[0].callers); err != nil {
			return err
		}
	}
	for range 2 {
		if err := d.runLycheelift(ctx, w, authorizer.Caller, "ask", "desk", "stamp=licence-17", "--tenant", tenant, "--key", "licence-17", "--issued", time.Now().Format(time.DateOnly)+"T00:00:00Z", "--entry", d.hosts[1].callers); err != nil {
			return err
		}
	}
	security, err := d.identities.security(tenant, authorizer.Caller)
	if err != nil {
		return err
	}
	load := driver.New(security)
	results := []*driver.Result{d.load(ctx, load, "before")}
	for _, out := range []bool{true, false} {
		command := map[bool]string{true: "out", false: "in"}[out]
		err := d.runLycheelift(ctx, w, authorizer.Operator, command, centerName(1), "--reason", "power work", "--control", strings.Join(d.operators, ","))
		if err != nil {
			return err
		}
		results = append(results, d.load(ctx, load, command+" "+centerName(1)))
	}
	reporter.Table(w, results)
	return d.runLycheelift(ctx, w, authorizer.Analyst, "answers", "--limit", "5", "--control", strings.Join(d.operators, ","))
}

// runLycheelift runs the lycheelift command in a role.
func (d *deployment) runLycheelift(ctx context.Context, w io.Writer, role authorizer.Role, args ...string) error {
	flags, err := d.identities.flags(map[bool]string{true: tenant, false: string(role)}[role == authorizer.Caller], role)
	if err != nil {
		return err
	}
	return runProgram(ctx, w, d.binaries, "lycheelift", append(args, flags...)...)
}

func (d *deployment) patch(ctx context.Context, w io.Writer, body []byte, reason string) error {
	baseVersion := d.baseVersion
	d.baseVersion++
	path := filepath.Join(d.folder, fmt.Sprintf("patch-%d.json", baseVersion))
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return oops.Wrap(err)
	}
	return d.runLycheelift(ctx, w, authorizer.Operator, "patch", path, "--base", fmt.Sprint(baseVersion), "--author", "demo", "--reason", reason,
		"--control", strings.Join(d.operators, ","))
}

// load sends queries to the hosts of the data centres that stay in service, as the platform's load balancer does.
func (d *deployment) load(ctx context.Context, load *driver.Driver, name string) *driver.Result {
	var entries []string
	for _, h := range d.hosts {
		if h.center != centerName(1) {
			entries = append(entries, h.callers)
		}
	}
	return load.Run(ctx, driver.Load{
		Name: name, Tenant: tenant, Services: []string{"desk"}, Body: "name=Lotca", Distinct: 1, Entries: entries,
		Rate: queriesPerSecond, Duration: phaseDuration, Deadline: time.Second,
	})
}
