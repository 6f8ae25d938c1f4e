// Package configurator implements the versioned configuration as a replicated state machine to which patches are
// applied.
package configurator

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/samber/oops"

	"lycheelift.example/lib/ranker"
	"lycheelift.example/schema/gen/settings/configuration"
)

// Document is a valid configuration.
type Document struct {
	configuration.Configuration
}

// Parse validates and decodes a JSON document. If the document is invalid, the error is a checker.Faults value that
// lists all faults.
func Parse(data []byte) (*Document, error) {
	faults, err := check(data)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, faults
	}
	d := &Document{}
	if err := json.Unmarshal(data, &d.Configuration); err != nil {
		return nil, oops.In("configurator").Wrapf(err, "decode configuration")
	}
	return d, nil
}

func (d *Document) names() []string {
	out := make([]string, 0, len(d.Hosts))
	for name := range d.Hosts {
		out = append(out, name)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// Placement returns the hosts with their data centres and regions, sorted by name.
func (d *Document) Placement() []ranker.Host {
	out := make([]ranker.Host, 0, len(d.Hosts))
	for _, name := range d.names() {
		center := d.Hosts[name].Center
		out = append(out, ranker.Host{Name: name, Center: center, Region: d.Centers[center].Region})
	}
	return out
}

// Address returns the peer address of a host.
func (d *Document) Address(host string) (netip.AddrPort, bool) {
	h, ok := d.Hosts[host]
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(h.Address)
	return address, err == nil
}

// OutOfService reports whether a data centre is out of service. An unknown data centre counts as out of service.
func (d *Document) OutOfService(center string) bool {
	c, ok := d.Centers[center]
	return !ok || c.Out
}
