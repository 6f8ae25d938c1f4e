package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format, args...)
	fmt.Fprintln(r.file)
}

// since returns the seconds from the start of the record to a time.
func (r *record) since(t time.Time) float64 {
	return t.Sub(r.began).Seconds()
}
