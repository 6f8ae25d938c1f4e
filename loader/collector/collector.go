// Package collector reads the counters of the stand-in backend servers and compares them with the number of queries
// sent.
package collector

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/samber/oops"
)

// Counts holds counters summed over the leaves of some services.
type Counts struct {
	// Calls is the number of calls received, and Ran is the number of calls run to completion.
	Calls int64 `json:"calls"`
	Ran   int64 `json:"ran"`
	Shed  int64 `json:"shed"`
	// Crashes is the number of crashes.
	Crashes int64 `json:"crashes"`
	// Duplicates is the number of repeated runs of an idempotency key on one leaf.
	Duplicates int64 `json:"duplicates"`
}

// leafRecord holds the fields of a stand-in's record that are used here.
type leafRecord struct {
	Leaf    string         `json:"leaf"`
	Calls   int64          `json:"calls"`
	Ran     int64          `json:"ran"`
	Shed    int64          `json:"shed"`
	Crashes int64          `json:"crashes"`
	Keys    map[string]int `json:"keys"`
}

// Read fetches the records from the control addresses of the stand-in processes and sums those of the services' leaves.
func Read(ctx context.Context, addresses, services []string) (Counts, error) {
	var out Counts
	for _, address := range addresses {
		leaves, err := fetchRecords(ctx, address)
		if err != nil {
			return out, err
		}
		for _, l := range leaves {
			if servesAny(l.Leaf, services) {
				out.add(l)
			}
		}
	}
	return out, nil
}

func fetchRecords(ctx context.Context, address string) ([]leafRecord, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", nil)
	if err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var out []leafRecord
	if err := json.NewDecoder(response.Body).Decode(&out); err != nil {
		return nil, oops.Wrapf(err, "records of %s", address)
	}
	return out, nil
}

// servesAny reports whether a leaf, named service-shard-replica, serves one of the services.
func servesAny(name string, services []string) bool {
	for _, s := range services {
		suffix, ok := strings.CutPrefix(name, s+"-")
		if ok && strings.Count(suffix, "-") == 1 {
			return true
		}
	}
	return false
}

func (c *Counts) add(l leafRecord) {
	c.Calls += l.Calls
	c.Ran += l.Ran
	c.Shed += l.Shed
	c.Crashes += l.Crashes
	for _, n := range l.Keys {
		c.Duplicates += int64(n - 1)
	}
}

// Since returns the increase of the counters since an earlier reading.
func (c Counts) Since(before Counts) Counts {
	return Counts{
		Calls: c.Calls - before.Calls, Ran: c.Ran - before.Ran, Shed: c.Shed - before.Shed,
		Crashes: c.Crashes - before.Crashes, Duplicates: c.Duplicates - before.Duplicates,
	}
}

// ExtraLoad returns the number of calls in excess of one for each shard of each query, as a fraction of the latter.
func (c Counts) ExtraLoad(queries int64, shards int) float64 {
	if queries == 0 || shards == 0 {
		return 0
	}
	return float64(c.Calls)/(float64(queries)*float64(shards)) - 1
}
