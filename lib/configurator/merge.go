package configurator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"reflect"

	"github.com/samber/oops"
)

// decode reads a JSON object. It keeps the text of numbers, so that encoding them again does not change them.
func decode(data []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var out map[string]any
	if err := d.Decode(&out); err != nil {
		return nil, oops.In("configurator").Wrapf(err, "not a JSON object")
	}
	if out == nil {
		return nil, oops.In("configurator").Errorf("not a JSON object")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, oops.In("configurator").Errorf("data after the JSON object")
	}
	return out, nil
}

// encode writes an object with sorted keys, so that equal documents have equal bytes on every host.
func encode(tree map[string]any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(tree); err != nil {
		return nil, oops.In("configurator").Wrapf(err, "encode")
	}
	return bytes.TrimSpace(out.Bytes()), nil
}

// merge applies a merge patch (RFC 7396) and returns the new object. It does not modify the old one.
func merge(target, patch map[string]any) map[string]any {
	out := maps.Clone(target)
	if out == nil {
		out = make(map[string]any)
	}
	for key, value := range patch {
		switch v := value.(type) {
		case nil:
			delete(out, key)
		case map[string]any:
			out[key] = merge(object(out[key]), v)
		default:
			out[key] = v
		}
	}
	return out
}

// difference returns the merge patch that transforms one object into another. Neither may contain null, which the
// schema of the configuration does not permit.
func difference(from, to map[string]any) map[string]any {
	out := make(map[string]any)
	for key := range from {
		if _, ok := to[key]; !ok {
			out[key] = nil
		}
	}
	for key, value := range to {
		old, ok := from[key]
		if !ok {
			out[key] = value
			continue
		}
		inner, isObject := value.(map[string]any)
		oldInner, wasObject := old.(map[string]any)
		switch {
		case isObject && wasObject && sameMap(oldInner, inner):
			// A merge shares unchanged parts. At 450 hosts, comparing them would cost more than everything else here.
		case isObject && wasObject:
			if d := difference(oldInner, inner); len(d) > 0 {
				out[key] = d
			}
		case !reflect.DeepEqual(old, value):
			out[key] = value
		}
	}
	return out
}

// sameMap reports whether two objects are the same map in memory.
func sameMap(a, b map[string]any) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
