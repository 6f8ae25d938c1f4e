// Package teller extracts the log lines of one request from the logs of several hosts and sorts them by time.
package teller

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line of a request.
type Line struct {
	// Time is the timestamp as it was logged, "MMDD hh:mm:ss.micros".
	Time string
	// Log is the name of the log that contains the line.
	Log string
	// Event is the event's number, Text its message, and Fields its remaining key and value pairs.
	Event  uint32
	Text   string
	Fields string
}

// headerPattern matches an event's line: severity, time, process id, source position, message, event number and fields.
// Text before it, such as a prefix that a log collector adds, is ignored.
var headerPattern = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6}) +\d+ \S+:\d+\] ("(?:[^"\\]|\\.)*") event="(\d+)" (.*)$`)

// Extract returns the event lines of a log that have the request's id, in the order of the log. It fails when reading
// fails or a line is longer than maxLineBytes.
func Extract(log string, in io.Reader, id string) ([]Line, error) {
	var out []Line
	idField := `id="` + id + `"`
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, " "+idField) {
			continue
		}
		match := headerPattern.FindStringSubmatch(text)
		if match == nil {
			continue // Not an event: another log line contains the id.
		}
		name, err := strconv.Unquote(match[2])
		if err != nil {
			name = match[2]
		}
		event, _ := strconv.ParseUint(match[3], 10, 32) // Only digits match the pattern; on overflow the result is the maximum.
		fields := strings.TrimSpace(strings.Replace(match[4], idField, "", 1))
		out = append(out, Line{Time: match[1], Log: log, Event: uint32(event), Text: name, Fields: fields})
	}
	return out, oops.In("teller").Wrapf(scanner.Err(), "read %s", log)
}

// SortByTime sorts lines by time. Lines with equal times keep their order.
func SortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
}
