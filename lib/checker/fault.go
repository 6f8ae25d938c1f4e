// Package checker decodes and validates settings files and configuration documents and reports every fault in them.
package checker

import (
	"fmt"
	"strings"
)

// Fault describes one value that violates the schema.
type Fault struct {
	// File is the path or name of the document.
	File string
	// Key is the dotted path of the value; empty means the whole document.
	Key string
	// Text describes the violation and what is permitted.
	Text string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Text)
}

// Faults is the error that lists every fault of a document.
type Faults []Fault

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
