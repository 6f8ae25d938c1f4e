package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/transporter"
)

// process is a program started by the demo.
type process struct {
	name    string
	command *exec.Cmd
}

// startProcess starts a program with its output in a log file.
func startProcess(binaries, folder, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	command := exec.CommandContext(context.Background(), filepath.Join(binaries, program), args...) //nolint:gosec // The programs are this project's own.
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, oops.Wrapf(err, "start %s", name)
	}
	return &process{name: name, command: command}, nil
}

// stop sends SIGTERM and waits for the process to exit. After stopTimeout it kills the process.
func (p *process) stop() error {
	const stopTimeout = 15 * time.Second
	_ = p.command.Process.Signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- p.command.Wait() }()
	select {
	case err := <-done:
		return oops.Wrapf(err, "%s", p.name)
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		return oops.Errorf("%s did not stop in %s", p.name, stopTimeout)
	}
}

// waitReady polls a host until it is ready.
func waitReady(ctx context.Context, security *transporter.Security, address string) error {
	const interval = 50 * time.Millisecond
	const readyTimeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := security.Client(transporter.PingPolicy{Interval: interval, Timeout: readyTimeout})
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, security.URL(address)+"/ready", nil)
		if err != nil {
			return oops.Wrap(err)
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return oops.Errorf("%s is not ready after %s", address, readyTimeout)
		case <-time.After(interval):
		}
	}
}

// runProgram prints a command line, runs it and prints its output.
func runProgram(ctx context.Context, w io.Writer, binaries, program string, args ...string) error {
	fmt.Fprintf(w, "$ %s", program)
	for _, a := range args {
		if a == "--certificate" {
			fmt.Fprint(w, " ...") // The file names of the TLS identity would clutter the output.
			break
		}
		fmt.Fprintf(w, " %s", a)
	}
	fmt.Fprintln(w)
	command := exec.CommandContext(ctx, filepath.Join(binaries, program), args...) //nolint:gosec // The programs are this project's own.
	command.Stdout, command.Stderr = w, w
	return oops.Wrapf(command.Run(), "%s", program)
}
