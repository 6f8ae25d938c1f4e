// Package eventer writes numbered, structured log events and bounds the rate of repeated ones.
// Every event stands in docs/EVENTS.md.
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
	// repeatRate is the number of lines of one event that may be written a second.
	repeatRate = 5
	// repeatBurst is the number of lines of one event that may be written at once.
	repeatBurst = 20
	// frequentRate and frequentBurst are the same for events of single requests and calls.
	frequentRate  = 50
	frequentBurst = 200
)

// Event is a kind of log line.
type Event struct {
	// Number identifies the event in the catalogue.
	Number int
	// Text is the fixed message.
	Text string
	// Level is the severity.
	Level Level

	limit   *rate.Limiter
	skipped *atomic.Uint64
}

var registry = struct {
	sync.Mutex
	events map[int]Event
}{events: make(map[int]Event)}

// define registers an event; two events with one number are a programming error.
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

// frequent registers an event of which there is one for each request or call.
func frequent(number int, level Level, text string) Event {
	e := define(number, level, text)
	e.limit = rate.NewLimiter(frequentRate, frequentBurst)
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

// Log writes the event with its key and value pairs. Repeats beyond the rate are counted and the count is
// written with the next line.
func (e Event) Log(now time.Time, pairs ...any) {
	if !e.limit.AllowN(now, 1) {
		e.skipped.Add(1)
		return
	}
	pairs = append([]any{"event", strconv.Itoa(e.Number)}, pairs...)
	flatten(pairs)
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

// flatten puts texts of several lines into one, because a reader takes each line of the log for an event.
func flatten(pairs []any) {
	for i, v := range pairs {
		if err, ok := v.(error); ok && err != nil {
			v = err.Error()
		}
		if text, ok := v.(string); ok {
			pairs[i] = strings.ReplaceAll(text, "\n", ": ")
		}
	}
}
