// Package templater generates template settings files, with every key, from JSON schemas.
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

// node is a JSON schema with the keywords that a template uses.
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

// Write writes the template for a schema file. Optional keys are commented out, with their default if they have one;
// required keys are not.
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

// resolve follows a reference. A description next to the reference takes precedence.
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

// section prints the keys of an object and then its tables, in the order that TOML requires.
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

// entries returns the schema of the entries of an object with arbitrary keys, or nil for other schemas.
func (n *node) entries() *node {
	var out node
	if len(n.Additional) == 0 || n.Additional[0] != '{' || json.Unmarshal(n.Additional, &out) != nil {
		return nil
	}
	return &out
}

// key prints one key with its description, type and bounds.
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

// bounds returns the type and the bounds of a value, in parentheses.
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

// example returns an empty value of the right type. A template whose required keys are still empty fails the check.
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
