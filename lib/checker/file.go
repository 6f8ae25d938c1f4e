package checker

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/samber/oops"
)

// File reads a TOML settings file, checks it against a schema and decodes it into T.
// The error is a Faults value when the file was read but breaks the schema.
func File[T any](path string, schema Schema) (T, error) {
	var out T
	data, err := os.ReadFile(path)
	if err != nil {
		return out, Faults{{File: path, Text: "cannot be read: " + unwrapPath(err)}}
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return out, Faults{{File: path, Text: "not valid TOML: " + err.Error()}}
	}
	encoded, err := json.Marshal(tree)
	if err != nil {
		return out, oops.In("checker").Wrapf(err, "settings %s", path)
	}
	if err := Document(path, schema, encoded); err != nil {
		return out, err
	}
	if err := json.Unmarshal(encoded, &out); err != nil {
		return out, Faults{{File: path, Text: err.Error()}}
	}
	return out, nil
}

func unwrapPath(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
