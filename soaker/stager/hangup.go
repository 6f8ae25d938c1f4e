package stager

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// handledInterval is the time between two checks whether a process handles a signal.
const handledInterval = time.Millisecond

// ErrEnded means that the process of a host has ended.
var ErrEnded = errors.New("the process has ended")

// HangUp sends SIGHUP to the process as soon as it ignores or handles the signal. Before the loader has run the constructors of
// the program, nothing in the program can prevent that SIGHUP ends it; the platform would start it again.
func (h *Host) HangUp() error {
	h.mu.Lock()
	process, exited := h.process, h.exited
	h.mu.Unlock()
	if process == nil {
		return oops.In("stager").Wrapf(ErrEnded, "%s", h.Name)
	}
	for {
		select {
		case <-exited:
			return oops.In("stager").Wrapf(ErrEnded, "%s", h.Name)
		default:
		}
		if handles(process.Process.Pid, syscall.SIGHUP) {
			return oops.In("stager").Wrap(process.Process.Signal(syscall.SIGHUP))
		}
		time.Sleep(handledInterval)
	}
}

// handles reports whether a process ignores a signal or has a handler for it.
func handles(pid int, s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // It has just ended.
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && mask&(1<<(s-1)) != 0 {
			return true
		}
	}
	return false
}
