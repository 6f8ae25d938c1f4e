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

// check lists the faults of a document against the schema and between its parts. The order is the same on every
// host, because faults are part of the replicated state.
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

// checkChange lists the faults of a document that a change makes out of a checked one. Only the entries that the
// change touches are checked against the schema and decoded, because an entry's validity depends on nothing else:
// at 450 hosts this takes a tenth of the whole check, and a restart repeats it for each change since the snapshot.
// A section that grows is checked whole, since the schema bounds its size.
func checkChange(before, after, change map[string]any) (checker.Faults, error) {
	touched := make(map[string]any)
	for section, value := range change {
		entries, ok := after[section].(map[string]any)
		if !ok || len(entries) > len(object(before[section])) {
			return checkWhole(after)
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

// affectsReferences reports whether a change can break a reference between entries: one of hosts or control hosts,
// or one that removes a data centre.
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

// checkWhole lists the faults of a whole document.
func checkWhole(tree map[string]any) (checker.Faults, error) {
	faults, err := checkSchema(tree)
	if err != nil {
		return nil, err
	}
	return append(faults, references(tree)...), nil
}

// checkSchema checks a document against the schema, and decodes it as entry hosts will.
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
		// The schema counts 2.0 as an integer; the decoder of entry hosts does not.
		return checker.Faults{{File: documentName, Text: "cannot be decoded: " + err.Error()}}, nil
	}
	return nil, nil
}

// references finds hosts of unknown data centres and addresses that are malformed or used twice. It reads the
// undecoded tree, so that these faults are listed beside those of the schema.
func references(tree map[string]any) checker.Faults {
	centers := object(tree["centers"])
	r := &referencer{centers: centers, used: make(map[netip.AddrPort]string)}
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

type referencer struct {
	centers map[string]any
	used    map[netip.AddrPort]string
	faults  checker.Faults
}

func (r *referencer) entry(path string, entry map[string]any, addresses []string) {
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

func (r *referencer) address(path, text string) {
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

func (r *referencer) fault(key, text string) {
	r.faults = append(r.faults, checker.Fault{File: documentName, Key: key, Text: text})
}

// object returns the value as an object; another type counts as empty, and the schema check reports it.
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
