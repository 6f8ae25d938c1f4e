package checker

import (
	"encoding/json"
	"errors"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/samber/oops"
)

// File reads a TOML settings file, validates it against a schema and decodes it into T. A file that cannot be read or
// parsed or that violates the schema gives a Faults error.
func File[T any](path string, schema Schema) (T, error) {
	var out T
	data, err := os.ReadFile(path)
	if err != nil {
		return out, Faults{{File: path, Text: "cannot be read: " + withoutPath(err)}}
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

func withoutPath(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
