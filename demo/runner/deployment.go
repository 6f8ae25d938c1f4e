package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"

	"lycheelift.example/lib/authorizer"
	"lycheelift.example/lib/reserver"
)

// Size of the demo's deployment.
const (
	centerCount    = 3
	hostsPerCenter = 3
	controlCount   = 3
	shardCount     = 3
)

// host is an entry host of the deployment.
type host struct {
	name, center, callers, peers string
}

// deployment is the set of processes of the demo.
type deployment struct {
	binaries       string
	hostsPerCenter int // entry hosts in each data centre
	baseVersion    int // version on which the next patch is based
	folder         string
	identities     *identities
	hosts          []host
	operators      []string
	processes      []*process
}

func centerName(i int) string { return fmt.Sprintf("center-%d", i+1) }

// launch starts control hosts and entry hosts, and waits until the entry hosts are ready.
func launch(ctx context.Context, binaries, folder string, hostsPerCenter int, secure bool) (*deployment, error) {
	d := &deployment{binaries: binaries, folder: folder, hostsPerCenter: hostsPerCenter, baseVersion: 1}
	var err error
	if d.identities, err = newIdentities(folder, secure); err != nil {
		return d, err
	}
	free, err := reserver.Addresses(2*controlCount + 2*centerCount*hostsPerCenter)
	if err != nil {
		return d, err
	}
	next := func() string {
		out := free[0]
		free = free[1:]
		return out
	}
	if err := d.launchControl(next); err != nil {
		return d, err
	}
	if err := d.launchEntries(next); err != nil {
		return d, err
	}
	security, err := d.identities.security("platform", authorizer.Operator)
	if err != nil {
		return d, err
	}
	for _, h := range d.hosts {
		if err := waitReady(ctx, security, h.callers); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) start(name, program string, args ...string) error {
	p, err := startProcess(d.binaries, d.folder, name, program, args...)
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return err
}

func (d *deployment) launchControl(next func() string) error {
	var peers, members []string
	for i := range controlCount {
		d.operators = append(d.operators, next())
		peers = append(peers, next())
		members = append(members, fmt.Sprintf("[[members]]\nname = \"control-%d\"\naddress = %q\n", i+1, peers[i]))
	}
	for i := range controlCount {
		name := fmt.Sprintf("control-%d", i+1)
		tls, err := d.identities.settings(name)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("name = %q\ndata = %q\n[listen]\noperators = %q\npeers = %q\n%s%s",
			name, filepath.Join(d.folder, name), d.operators[i], peers[i], tls, strings.Join(members, ""))
		path := filepath.Join(d.folder, name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return oops.Wrap(err)
		}
		if err := d.start(name, "controld", "--settings", path); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(d.folder, "control.json"), mustJSON(peers), 0o600)
}

func (d *deployment) launchEntries(next func() string) error {
	control, err := os.ReadFile(filepath.Join(d.folder, "control.json"))
	if err != nil {
		return oops.Wrap(err)
	}
	for i := range centerCount * d.hostsPerCenter {
		d.hosts = append(d.hosts, host{
			name: fmt.Sprintf("entry-%d", i+1), center: centerName(i / d.hostsPerCenter), callers: next(), peers: next(),
		})
	}
	for _, h := range d.hosts {
		tls, err := d.identities.settings(h.name)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("name = %q\ncenter = %q\ncontrol = %s\ngrace = \"200ms\"\n[listen]\ncallers = %q\npeers = %q\n%s",
			h.name, h.center, control, h.callers, h.peers, tls)
		path := filepath.Join(d.folder, h.name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil { //nolint:gosec // The folder is the demo's own.
			return oops.Wrap(err)
		}
		if err := d.start(h.name, "entryd", "--settings", path); err != nil {
			return err
		}
	}
	return nil
}

// launchLeaves starts the process with the stand-ins of a service, with one replica of each shard in each of the first
// data centres.
func (d *deployment) launchLeaves(service string, shards, replicas int, args ...string) error {
	var entries, centers []string
	for i := range replicas {
		centers = append(centers, centerName(i))
	}
	for _, h := range d.hosts {
		entries = append(entries, h.callers)
	}
	args = append([]string{
		"--service", service, "--shards", fmt.Sprint(shards), "--replicas", fmt.Sprint(replicas),
		"--centers", strings.Join(centers, ","), "--entries", strings.Join(entries, ","), "--slots", "2", "--connections", "25",
	}, args...)
	flags, err := d.identities.flags("leaves-"+service, authorizer.Backend)
	if err != nil {
		return err
	}
	return d.start("leaves-"+service, "leafd", append(args, flags...)...)
}

// document returns the first configuration patch, with all data centres, hosts and the services.
func (d *deployment) document(services ...string) []byte {
	listed := map[string]any{}
	for _, s := range services {
		listed[s] = map[string]any{}
	}
	centers := map[string]any{}
	hosts := map[string]any{}
	for i := range centerCount {
		centers[centerName(i)] = map[string]any{"region": "north"}
	}
	for _, h := range d.hosts {
		hosts[h.name] = map[string]any{"center": h.center, "address": h.peers}
	}
	return mustJSON(map[string]any{"centers": centers, "hosts": hosts, "services": listed})
}

// stop stops every process, entry hosts before control hosts, and returns the first error.
func (d *deployment) stop() error {
	var first error
	for i := len(d.processes) - 1; i >= 0; i-- {
		if err := d.processes[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// mustJSON encodes values that cannot fail to encode.
func mustJSON(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}
