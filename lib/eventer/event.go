// Package eventer writes numbered, structured log events and limits the rate of repeated ones.
// Every event is listed in docs/EVENTS.md.
package eventer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Level is the severity of an event.
type Level int

// Levels of events.
const (
	Info Level = iota
	Warning
	Error
)

const (
	// repeatRate is the maximum sustained number of log lines per second of one event.
	repeatRate = 5
	// repeatBurst is the maximum number of log lines of one event in a burst.
	repeatBurst = 20
	// perRequestRate and perRequestBurst are the same limits for events that are logged once per request or call.
	perRequestRate  = 50
	perRequestBurst = 200
)

// Event is one type of log event.
type Event struct {
	// Number identifies the event in the catalogue.
	Number int
	// Text is the fixed message.
	Text  string
	Level Level

	limit   *rate.Limiter
	skipped *atomic.Uint64
}

var registry = struct {
	sync.Mutex
	events map[int]Event
}{events: make(map[int]Event)}

// define registers an event. It panics when the number is already in use, which is a programming error.
func define(number int, level Level, text string) Event {
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.events[number]; ok {
		panic(fmt.Sprintf("event %d is defined twice", number))
	}
	e := Event{
		Number: number, Text: text, Level: level,
		limit: rate.NewLimiter(repeatRate, repeatBurst), skipped: &atomic.Uint64{},
	}
	registry.events[number] = e
	return e
}

// definePerRequest registers an event that is logged once per request or call, with a higher rate limit.
func definePerRequest(number int, level Level, text string) Event {
	e := define(number, level, text)
	e.limit = rate.NewLimiter(perRequestRate, perRequestBurst)
	return e
}

// All returns every event, sorted by number.
func All() []Event {
	registry.Lock()
	defer registry.Unlock()
	out := make([]Event, 0, len(registry.events))
	for _, e := range registry.events {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return a.Number - b.Number })
	return out
}

// Log writes the event with its key and value pairs. Events beyond the rate limit are not written but counted, and
// the next line of the same event reports the count.
func (e Event) Log(now time.Time, pairs ...any) {
	if !e.limit.AllowN(now, 1) {
		e.skipped.Add(1)
		return
	}
	pairs = append([]any{"event", strconv.Itoa(e.Number)}, pairs...)
	joinLines(pairs)
	if n := e.skipped.Swap(0); n > 0 {
		pairs = append(pairs, "skipped", n)
	}
	const caller = 1
	switch e.Level {
	case Error:
		klog.ErrorSDepth(caller, nil, e.Text, pairs...)
	case Warning, Info:
		klog.InfoSDepth(caller, e.Text, pairs...)
	}
}

// joinLines replaces line breaks in values, because log readers treat each line as one event.
func joinLines(pairs []any) {
	for i, v := range pairs {
		if err, ok := v.(error); ok && err != nil {
			v = err.Error()
		}
		if text, ok := v.(string); ok {
			pairs[i] = strings.ReplaceAll(text, "\n", ": ")
		}
	}
}
