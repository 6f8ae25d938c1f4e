package teller_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/teller"
)

func ExampleExtract() {
	log := `I0429 17:15:23.406505    6787 call.go:123] "leaf call failed" event="1012" id="ab" leaf="i-1" unsent=true` + "\n"
	lines, _ := teller.Extract("front-1", strings.NewReader(log), "ab")
	fmt.Println(lines[0].Time, lines[0].Log, lines[0].Event, lines[0].Text, lines[0].Fields)
	// Output: 0429 17:15:23.406505 front-1 1012 leaf call failed leaf="i-1" unsent=true
}

// Guards against a change of the log format that this package cannot parse.
func TestLinesOfEventsAreRead(t *testing.T) {
	var log bytes.Buffer
	output := eventer.NewOutput(&log)
	eventer.SetOutput(output)
	now := time.Unix(1000, 0)
	eventer.RequestFailed.Log(now, "id", "ab", "reason", "a \"quoted\" one")
	eventer.RequestFailed.Log(now, "id", "abc", "reason", "another request")
	eventer.CallFailed.Log(now, "detail", `id="ab"`)
	output.Close()
	lines, err := teller.Extract("front-1", &log, "ab")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Assert(t, lines[0].Event, qt.Equals, uint32(1011))
	qt.Assert(t, lines[0].Text, qt.Equals, "request not answered")
	qt.Assert(t, lines[0].Fields, qt.Equals, `reason="a \"quoted\" one"`)
}

// Guards against lines that are grouped by host instead of sorted by time.
func TestLinesAreInOrderOfTime(t *testing.T) {
	lines := []teller.Line{{Time: "0429 17:15:23.4", Log: "a"}, {Time: "0429 17:15:23.1", Log: "b"}, {Time: "0429 17:15:23.4", Log: "c"}}
	teller.SortByTime(lines)
	qt.Assert(t, lines[0].Log+lines[1].Log+lines[2].Log, qt.Equals, "bac")
}

// Guards against an endless line that exhausts memory.
func TestEndlessLine(t *testing.T) {
	_, err := teller.Extract("front-1", strings.NewReader(strings.Repeat("x", 3<<20)), "ab")
	qt.Assert(t, err, qt.IsNotNil)
}
