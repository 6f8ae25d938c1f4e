// Package collector reads what the stand-in backend servers counted, to compare it with what was asked of them.
package collector

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/samber/oops"
)

// Counts is the sum over the leaves of some services.
type Counts struct {
	// Calls is the number of calls received, Ran the number run to their end.
	Calls int64 `json:"calls"`
	Ran   int64 `json:"ran"`
	Shed  int64 `json:"shed"`
	// Crashes is the number of servers that crashed.
	Crashes int64 `json:"crashes"`
	// Duplicates is the number of runs of a leaf beyond the first for one idempotency key.
	Duplicates int64 `json:"duplicates"`
}

// leaf is the part of a stand-in's record that is used.
type leaf struct {
	Leaf    string         `json:"leaf"`
	Calls   int64          `json:"calls"`
	Ran     int64          `json:"ran"`
	Shed    int64          `json:"shed"`
	Crashes int64          `json:"crashes"`
	Keys    map[string]int `json:"keys"`
}

// Read sums the records of the leaves of the services, from the control addresses of stand-in processes.
func Read(ctx context.Context, addresses, services []string) (Counts, error) {
	var out Counts
	for _, address := range addresses {
		leaves, err := read(ctx, address)
		if err != nil {
			return out, err
		}
		for _, l := range leaves {
			if belongs(l.Leaf, services) {
				out.add(l)
			}
		}
	}
	return out, nil
}

func read(ctx context.Context, address string) ([]leaf, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", nil)
	if err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var out []leaf
	if err := json.NewDecoder(response.Body).Decode(&out); err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	return out, nil
}

// belongs reports whether a leaf, named service-shard-replica, serves one of the services.
func belongs(name string, services []string) bool {
	for _, s := range services {
		rest, ok := strings.CutPrefix(name, s+"-")
		if ok && strings.Count(rest, "-") == 1 {
			return true
		}
	}
	return false
}

func (c *Counts) add(l leaf) {
	c.Calls += l.Calls
	c.Ran += l.Ran
	c.Shed += l.Shed
	c.Crashes += l.Crashes
	for _, n := range l.Keys {
		c.Duplicates += int64(n - 1)
	}
}

// Since returns what was counted after an earlier reading.
func (c Counts) Since(before Counts) Counts {
	return Counts{
		Calls: c.Calls - before.Calls, Ran: c.Ran - before.Ran, Shed: c.Shed - before.Shed,
		Crashes: c.Crashes - before.Crashes, Duplicates: c.Duplicates - before.Duplicates,
	}
}

// Extra returns the calls beyond one for each shard of each query, as a part of those.
func (c Counts) Extra(queries int64, shards int) float64 {
	if queries == 0 || shards == 0 {
		return 0
	}
	return float64(c.Calls)/(float64(queries)*float64(shards)) - 1
}
