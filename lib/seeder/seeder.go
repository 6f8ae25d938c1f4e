// Package seeder makes property tests reproducible.
package seeder

import (
	"flag"
	"testing"
)

// Run runs a package's tests with a fixed seed for the library rapid, unless the command line sets one. It returns the exit
// code.
func Run(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	return m.Run()
}
