//go:build !cgo

// Package ignorer makes the process ignore SIGHUP, which requests a reload of the settings. Without cgo it can do so
// only after the Go runtime has started.
package ignorer

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
