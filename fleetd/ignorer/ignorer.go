//go:build cgo

// Package ignorer makes the process ignore SIGHUP, which requests a reload of the settings, before the Go runtime
// starts. The signal may arrive at any time, and its default action terminates the process.
package ignorer

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
