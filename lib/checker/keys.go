package checker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"

	"lycheelift.example/schema/settings"
)

// Key describes one settings key that a schema defines.
type Key struct {
	// Path is the dotted path. NAME stands for an arbitrary name and [] for a list element.
	Path string
	// Type is the JSON type.
	Type string
	// Required is true when the key has no default and must be present.
	Required bool
	// Default is the default as JSON text; empty when there is none.
	Default string
	// Permitted describes the permitted range or pattern.
	Permitted string
	// Description explains the value and its unit.
	Description string
}

// schemaNode contains the JSON schema keywords that this project uses.
type schemaNode struct {
	Ref                  string                 `json:"$ref"`
	Type                 string                 `json:"type"`
	Description          string                 `json:"description"`
	Default              json.RawMessage        `json:"default"`
	Pattern              string                 `json:"pattern"`
	Minimum              *json.Number           `json:"minimum"`
	Maximum              *json.Number           `json:"maximum"`
	MinItems             *int                   `json:"minItems"`
	MaxItems             *int                   `json:"maxItems"`
	Properties           map[string]*schemaNode `json:"properties"`
	Required             []string               `json:"required"`
	Items                *schemaNode            `json:"items"`
	AdditionalProperties json.RawMessage        `json:"additionalProperties"`
	Defs                 map[string]*schemaNode `json:"$defs"`
}

// Keys returns every key of a schema, sorted by path.
func Keys(schema Schema) ([]Key, error) {
	raw, err := settings.Files.ReadFile(string(schema))
	if err != nil {
		return nil, oops.In("checker").Wrapf(err, "unknown schema %s", schema)
	}
	root := &schemaNode{}
	if err := json.Unmarshal(raw, root); err != nil {
		return nil, oops.In("checker").Wrapf(err, "schema %s", schema)
	}
	w := keyWalker{defs: root.Defs}
	w.walk("", root, false)
	slices.SortFunc(w.keys, func(a, b Key) int { return strings.Compare(a.Path, b.Path) })
	return w.keys, nil
}

type keyWalker struct {
	defs map[string]*schemaNode
	keys []Key
}

func (w *keyWalker) walk(path string, n *schemaNode, required bool) {
	if n.Ref != "" {
		n = w.defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
	}
	for name, child := range n.Properties {
		w.walk(join(path, name), child, slices.Contains(n.Required, name))
	}
	if n.Items != nil && n.Items.Ref != "" {
		w.walk(path+"[]", n.Items, false)
	}
	if named := additionalSchema(n); named != nil {
		w.walk(join(path, "NAME"), named, false)
	}
	if path != "" && len(n.Properties) == 0 {
		w.keys = append(w.keys, Key{
			Path: path, Type: n.Type, Required: required, Default: string(n.Default), Permitted: permittedText(n), Description: n.Description,
		})
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func additionalSchema(n *schemaNode) *schemaNode {
	out := &schemaNode{}
	if len(n.AdditionalProperties) == 0 || json.Unmarshal(n.AdditionalProperties, out) != nil {
		return nil
	}
	return out
}

func permittedText(n *schemaNode) string {
	switch {
	case n.Minimum != nil && n.Maximum != nil:
		return fmt.Sprintf("%s to %s", *n.Minimum, *n.Maximum)
	case n.MaxItems != nil && n.MinItems != nil:
		return fmt.Sprintf("%d to %d elements", *n.MinItems, *n.MaxItems)
	case n.MaxItems != nil:
		return fmt.Sprintf("at most %d elements", *n.MaxItems)
	case n.Pattern != "":
		return "`" + strings.ReplaceAll(n.Pattern, "|", `\|`) + "`"
	default:
		return ""
	}
}
