package eventer_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/eventer"
)

// Guards against events that the catalogue docs/EVENTS.md does not list, and catalogue entries without an event.
func TestCatalogueMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	qt.Assert(t, err, qt.IsNil)
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \|`).FindAllStringSubmatch(string(page), -1)
	listed := make(map[string]string)
	for _, r := range rows {
		listed[r[1]] = r[2]
	}
	defined := make(map[string]string)
	for _, e := range eventer.All() {
		defined[fmt.Sprint(e.Number)] = e.Text
	}
	qt.Assert(t, listed, qt.DeepEquals, defined)
}
