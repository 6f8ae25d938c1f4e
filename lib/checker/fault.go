// Package checker decodes settings files and configuration documents and lists every fault in them.
package checker

import (
	"fmt"
	"strings"
)

// Fault is one value that breaks the schema.
type Fault struct {
	// File is the path or the name of the document.
	File string
	// Key is the dotted path of the value; empty means the document as a whole.
	Key string
	// Text says what is wrong and what is permitted.
	Text string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Text)
}

// Faults is the error that lists every fault of a document.
type Faults []Fault

// Error puts each fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
