package configurator

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strings"

	"lycheelift.example/lib/checker"
)

// documentName is the file name in faults of a document.
const documentName = "configuration"

// check validates a document against the schema and checks the references between its entries. It lists the faults in
// an order that is the same on every host, because faults are part of the replicated state.
func check(data []byte) (checker.Faults, error) {
	var faults checker.Faults
	if err := checker.Document(documentName, checker.Configuration, data); err != nil && !errors.As(err, &faults) {
		return nil, err
	}
	tree, err := decode(data)
	if err != nil {
		return faults, nil //nolint:nilerr // The schema check has listed this fault.
	}
	return append(faults, references(tree)...), nil
}

// checkChange lists the faults of a document that results from changing a valid one. Only the changed entries are
// validated against the schema and decoded, because the validity of an entry does not depend on others. At 450 hosts
// this takes a tenth of the time of a full check, and a restart repeats it for each change since the snapshot. If a
// section grows, the full document is checked, because the schema limits the size of sections.
func checkChange(before, after, change map[string]any) (checker.Faults, error) {
	touched := make(map[string]any)
	for section, value := range change {
		entries, ok := after[section].(map[string]any)
		if !ok || len(entries) > len(object(before[section])) {
			return checkDocument(after)
		}
		part := make(map[string]any)
		for name := range object(value) {
			if entry, ok := entries[name]; ok {
				part[name] = entry
			}
		}
		touched[section] = part
	}
	faults, err := checkSchema(touched)
	if err != nil || len(faults) > 0 {
		return append(faults, references(after)...), err
	}
	if !affectsReferences(change) {
		return nil, nil
	}
	return references(after), nil
}

// affectsReferences reports whether a change can break a reference between entries, that is, whether it changes hosts
// or control hosts or removes a data centre.
func affectsReferences(change map[string]any) bool {
	for section, value := range change {
		switch section {
		case "hosts", "control":
			return true
		case "centers":
			for _, center := range object(value) {
				if center == nil {
					return true
				}
			}
		}
	}
	return false
}

// checkDocument lists the faults of a full document.
func checkDocument(tree map[string]any) (checker.Faults, error) {
	faults, err := checkSchema(tree)
	if err != nil {
		return nil, err
	}
	return append(faults, references(tree)...), nil
}

// checkSchema validates a document against the schema, and decodes it as entry hosts do.
func checkSchema(tree map[string]any) (checker.Faults, error) {
	data, err := encode(tree)
	if err != nil {
		return nil, err
	}
	var faults checker.Faults
	if err := checker.Document(documentName, checker.Configuration, data); err != nil {
		if errors.As(err, &faults) {
			return faults, nil
		}
		return nil, err
	}
	var document Document
	if err := json.Unmarshal(data, &document.Configuration); err != nil {
		// The schema accepts 2.0 as an integer, but the decoder of entry hosts does not.
		return checker.Faults{{File: documentName, Text: "cannot be decoded: " + err.Error()}}, nil
	}
	return nil, nil
}

// references lists hosts with unknown data centres and addresses that are malformed or used twice. It reads the
// generic tree, so that these faults are also listed for documents that do not match the schema.
func references(tree map[string]any) checker.Faults {
	centers := object(tree["centers"])
	r := &referenceChecker{centers: centers, used: make(map[netip.AddrPort]string)}
	for _, section := range []struct {
		name string
		keys []string
	}{{"control", []string{"address", "operators"}}, {"hosts", []string{"address"}}} {
		entries := object(tree[section.name])
		for _, name := range sortedKeys(entries) {
			r.entry(section.name+"."+name, object(entries[name]), section.keys)
		}
	}
	slices.SortStableFunc(r.faults, func(a, b checker.Fault) int { return cmp.Compare(a.Key, b.Key) })
	return r.faults
}

type referenceChecker struct {
	centers map[string]any
	used    map[netip.AddrPort]string
	faults  checker.Faults
}

func (r *referenceChecker) entry(path string, entry map[string]any, addresses []string) {
	if center, ok := entry["center"].(string); ok {
		if _, known := r.centers[center]; !known {
			r.fault(path+".center", "unknown data centre "+center)
		}
	}
	for _, key := range addresses {
		text, ok := entry[key].(string)
		if !ok {
			continue
		}
		r.address(path+"."+key, text)
	}
}

func (r *referenceChecker) address(path, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.fault(path, "must be an IP address and a port")
		return
	}
	if other, ok := r.used[address]; ok {
		r.fault(path, "is also "+other)
		return
	}
	r.used[address] = path
}

func (r *referenceChecker) fault(key, text string) {
	r.faults = append(r.faults, checker.Fault{File: documentName, Key: key, Text: text})
}

// object returns the value as an object, or an empty one if it has another type, which the schema check reports.
func object(value any) map[string]any {
	out, ok := value.(map[string]any)
	if !ok {
		return nil
	}
	return out
}

func sortedKeys(m map[string]any) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
