package checker

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/samber/oops"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"lycheelift.example/schema/settings"
)

// Schema is the file name of a JSON schema.
type Schema string

// Schemas of settings files and of the configuration document.
const (
	Entry         Schema = "entryd.schema.json"
	Control       Schema = "controld.schema.json"
	Configuration Schema = "configuration.schema.json"
	Fleet         Schema = "fleetd.schema.json"
)

var compiled = struct {
	sync.Mutex
	schemas map[Schema]*jsonschema.Schema
}{schemas: make(map[Schema]*jsonschema.Schema)}

// Document validates a JSON document against a schema. It returns nil, or a Faults value that lists every fault.
func Document(file string, schema Schema, data []byte) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Faults{{File: file, Text: "not valid JSON: " + err.Error()}}
	}
	return validate(file, schema, value)
}

func validate(file string, schema Schema, value any) error {
	compiledSchema, err := compile(schema)
	if err != nil {
		return err
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(compiledSchema.Validate(value), &invalid) {
		return nil
	}
	faults := collectFaults(file, invalid, nil)
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.Text, b.Text))
	})
	return faults
}

func compile(name Schema) (*jsonschema.Schema, error) {
	compiled.Lock()
	defer compiled.Unlock()
	if s, ok := compiled.schemas[name]; ok {
		return s, nil
	}
	raw, err := settings.Files.ReadFile(string(name))
	if err != nil {
		return nil, oops.In("checker").Wrapf(err, "unknown schema %s", name)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, oops.In("checker").Wrapf(err, "schema %s", name)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(string(name), doc); err != nil {
		return nil, oops.In("checker").Wrapf(err, "schema %s", name)
	}
	s, err := c.Compile(string(name))
	if err != nil {
		return nil, oops.In("checker").Wrapf(err, "schema %s", name)
	}
	compiled.schemas[name] = s
	return s, nil
}

func collectFaults(file string, e *jsonschema.ValidationError, faults Faults) Faults {
	if len(e.Causes) == 0 {
		// The validator lists additional properties in map order, but the fault's text must be the same on every host.
		if additional, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
			slices.Sort(additional.Properties)
		}
		printer := message.NewPrinter(language.English)
		key := strings.Join(e.InstanceLocation, ".")
		return append(faults, Fault{File: file, Key: key, Text: e.ErrorKind.LocalizedString(printer)})
	}
	for _, cause := range e.Causes {
		faults = collectFaults(file, cause, faults)
	}
	return faults
}
