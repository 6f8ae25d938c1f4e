//go:build cgo

// Package ignorer makes the process ignore the signal that announces changed settings (SIGHUP) from before the Go
// runtime starts. The signal may come at any moment, and its default action ends the process.
package ignorer

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
