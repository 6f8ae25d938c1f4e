//go:build !cgo

// Package ignorer makes the process ignore the signal that announces changed settings (SIGHUP). Without cgo it can do so
// only once the Go runtime runs.
package ignorer

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
