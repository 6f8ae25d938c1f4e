// Package templater prints settings files with every key, from the JSON schemas.
package templater

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/samber/oops"

	"lycheelift.example/schema/settings"
)

// node is the part of a JSON schema that a template shows.
type node struct {
	Type        string           `json:"type"`
	Description string           `json:"description"`
	Pattern     string           `json:"pattern"`
	Reference   string           `json:"$ref"`
	Default     json.RawMessage  `json:"default"`
	Minimum     *json.Number     `json:"minimum"`
	Maximum     *json.Number     `json:"maximum"`
	MaxItems    int              `json:"maxItems"`
	MaxEntries  int              `json:"maxProperties"`
	Required    []string         `json:"required"`
	Properties  map[string]*node `json:"properties"`
	Additional  json.RawMessage  `json:"additionalProperties"`
	Items       *node            `json:"items"`
	Definitions map[string]*node `json:"$defs"`
}

// Write prints the template of a schema file. Keys with a default are comments that show it; the others must be set.
func Write(w io.Writer, schema string) error {
	data, err := settings.Files.ReadFile(schema)
	if err != nil {
		return oops.In("templater").Wrapf(err, "schema %s", schema)
	}
	root := &node{}
	if err := json.Unmarshal(data, root); err != nil {
		return oops.In("templater").Wrapf(err, "schema %s", schema)
	}
	fmt.Fprintf(w, "# %s\n", root.Description)
	t := &template{w: w, definitions: root.Definitions}
	t.section("", root)
	return nil
}

type template struct {
	w           io.Writer
	definitions map[string]*node
}

// resolve follows a reference; the description beside it wins.
func (t *template) resolve(n *node) *node {
	name, ok := strings.CutPrefix(n.Reference, "#/$defs/")
	if !ok || t.definitions[name] == nil {
		return n
	}
	out := *t.definitions[name]
	if n.Description != "" {
		out.Description = n.Description
	}
	return &out
}

// section prints the keys of an object, then its tables: TOML needs this order.
func (t *template) section(path string, n *node) {
	var tables []string
	for _, key := range slices.Sorted(maps.Keys(n.Properties)) {
		child := t.resolve(n.Properties[key])
		if child.entries() != nil || child.Type == "object" || (child.Items != nil && t.resolve(child.Items).Type == "object") {
			tables = append(tables, key)
			continue
		}
		t.key(key, child, slices.Contains(n.Required, key))
	}
	for _, key := range tables {
		t.table(path+key, t.resolve(n.Properties[key]))
	}
}

func (t *template) table(path string, n *node) {
	fmt.Fprintln(t.w)
	if n.Description != "" {
		fmt.Fprintf(t.w, "# %s\n", n.Description)
	}
	switch inner := n.entries(); {
	case n.Items != nil:
		fmt.Fprintf(t.w, "# A list of at most %d tables.\n[[%s]]\n", n.MaxItems, path)
		t.section(path+".", t.resolve(n.Items))
	case inner != nil:
		fmt.Fprintf(t.w, "# A table for each name, at most %d.\n[%s.NAME]\n", n.MaxEntries, path)
		t.section(path+".NAME.", t.resolve(inner))
	default:
		fmt.Fprintf(t.w, "[%s]\n", path)
		t.section(path+".", n)
	}
}

// entries returns the schema of an object's entries when their names are free.
func (n *node) entries() *node {
	var out node
	if len(n.Additional) == 0 || n.Additional[0] != '{' || json.Unmarshal(n.Additional, &out) != nil {
		return nil
	}
	return &out
}

// key prints one key with its meaning, kind and bounds.
func (t *template) key(name string, n *node, required bool) {
	fmt.Fprintf(t.w, "# %s%s\n", n.Description, n.bounds())
	switch {
	case required:
		fmt.Fprintf(t.w, "%s = %s # required\n", name, n.example())
	case n.Default != nil:
		fmt.Fprintf(t.w, "# %s = %s\n", name, n.Default)
	default:
		fmt.Fprintf(t.w, "# %s = %s\n", name, n.example())
	}
}

// bounds describes the kind of value in brackets.
func (n *node) bounds() string {
	out := n.Type
	switch {
	case strings.Contains(n.Pattern, "(ms|s") || strings.Contains(n.Pattern, "(m|h)"):
		out = "duration"
	case n.Minimum != nil && n.Maximum != nil:
		out += fmt.Sprintf(", %s to %s", n.Minimum, n.Maximum)
	case n.MaxItems > 0:
		out += fmt.Sprintf(", at most %d", n.MaxItems)
	}
	return " (" + out + ")"
}

// example is an empty value of the right kind, so that a template with required keys left empty fails the check.
func (n *node) example() string {
	switch n.Type {
	case "array":
		return "[]"
	case "integer", "number":
		return "0"
	case "boolean":
		return "false"
	default:
		return `""`
	}
}
