package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/lib/commander"
	"lycheelift.example/lib/configurator"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// centerChange takes a data centre out of use or returns it to use.
type centerChange struct {
	*shared
	out    bool
	local  bool
	wait   time.Duration
	patch  *statev1.Patch
	center string
}

const (
	// maxSubmitAttempts bounds the submissions when unrelated changes cause conflicts.
	maxSubmitAttempts = 5
	// progressInterval is the time between two polls of the versions in force.
	progressInterval = 250 * time.Millisecond
)

func newCenterCommand(s *shared, out bool, c *cobra.Command) *cobra.Command {
	m := &centerChange{shared: s, out: out, patch: &statev1.Patch{}}
	c.Args = arguments(cobra.MaximumNArgs(1))
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if m.local {
			return m.changeLocally(cmd.Context(), cmd.OutOrStdout())
		}
		if len(args) != 1 {
			return usageError("give the name of the data centre")
		}
		m.center = args[0]
		return m.changeGlobally(cmd.Context(), cmd.OutOrStdout())
	}
	f := c.Flags()
	f.StringVar(&m.patch.Author, "author", currentUser(), "author of the change")
	f.StringVar(&m.patch.Reason, "reason", "", "reason for the change")
	f.BoolVar(&m.local, "local", false, "only on the data centre of the --entry host, when that is cut off from control")
	f.DurationVar(&m.wait, "wait", 30*time.Second, "longest wait until every host has the version in force")
	return c
}

func (m *centerChange) stateText() string {
	if m.out {
		return "out"
	}
	return "in"
}

// changeGlobally changes the configuration and waits until every host reports it in force.
func (m *centerChange) changeGlobally(ctx context.Context, w io.Writer) error {
	result, err := m.change(ctx)
	if err != nil {
		return err
	}
	if m.output == outputTable {
		fmt.Fprintf(w, "%s is %s from version %d\n", m.center, m.stateText(), result.GetVersion())
	}
	if err := m.waitInForce(ctx, w, result.GetVersion()); err != nil {
		return err
	}
	return m.print(w, result, func(w io.Writer) { fmt.Fprintf(w, "in force on every host\n") })
}

// change submits the patch, and resubmits it when a conflict was caused by an unrelated change.
func (m *centerChange) change(ctx context.Context) (*statev1.PatchResult, error) {
	m.patch.Body = fmt.Appendf(nil, `{"centers":{%q:{"out":%t}}}`, m.center, m.out)
	for range maxSubmitAttempts {
		v, err := m.newest(ctx)
		if err != nil {
			return nil, err
		}
		unchanged, err := m.inWantedState(v)
		if err != nil || unchanged {
			return &statev1.PatchResult{Verdict: statev1.Verdict_VERDICT_ACCEPTED, Version: v.GetNumber()}, err
		}
		m.patch.Base, m.patch.Id = v.GetNumber(), rand.Text()
		result, err := m.submit(ctx, m.patch)
		if err != nil {
			return nil, err
		}
		if result.GetVerdict() != statev1.Verdict_VERDICT_CONFLICT || changesCenter(result.GetDifference(), m.center) {
			return result, verdictError(m.patch, result)
		}
	}
	return nil, exitError(commander.ExitConflict, "other changes came first %d times; try again", maxSubmitAttempts)
}

// inWantedState reports whether the data centre already has the requested state.
func (m *centerChange) inWantedState(v *statev1.Version) (bool, error) {
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return false, oops.Wrapf(err, "version %d", v.GetNumber())
	}
	center, ok := document.Centers[m.center]
	if !ok {
		return false, usageError("the configuration has no data centre %s; lycheelift show lists them", m.center)
	}
	return center.Out == m.out, nil
}

// changesCenter reports whether a difference changes the data centre.
func changesCenter(difference []byte, center string) bool {
	var d struct {
		Centers map[string]any `json:"centers"`
	}
	if err := json.Unmarshal(difference, &d); err != nil {
		return true
	}
	_, ok := d.Centers[center]
	return ok
}

// waitInForce waits until no host is late, and prints the number of late hosts whenever it changes.
func (m *centerChange) waitInForce(ctx context.Context, w io.Writer, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, m.wait)
	defer cancel()
	last := -1
	for {
		late, err := m.late(ctx, version)
		if err == nil && len(late) == 0 {
			return nil
		}
		if err == nil && len(late) != last && m.output == outputTable {
			fmt.Fprintf(w, "waiting for %d hosts: %s\n", len(late), summarizeHosts(late))
			last = len(late)
		}
		select {
		case <-ctx.Done():
			return exitError(commander.ExitFailed, "version %d is made, but not every host has reported it in force within %s; look at lycheelift status", version, m.wait)
		case <-time.After(progressInterval):
		}
	}
}

func (m *centerChange) late(ctx context.Context, version uint64) ([]string, error) {
	statuses, err := m.statuses(ctx)
	if err != nil {
		return nil, err
	}
	return lateHosts(statuses, version), nil
}

// changeLocally sets or clears the local removal of a data centre through one of its entry hosts.
func (m *centerChange) changeLocally(ctx context.Context, w io.Writer) error {
	if m.entry == "" {
		return usageError("--local needs --entry: any entry host of the data centre")
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	out, err := operatorv1connect.NewHostServiceClient(m.client, m.secure.URL(m.entry)).Remove(ctx, &operatorv1.RemoveRequest{
		Removed: m.out, Author: m.patch.GetAuthor(), Reason: m.patch.GetReason(),
	})
	switch {
	case err != nil && isRefusal(err):
		return operatorError(err)
	case err != nil:
		return exitError(commander.ExitUnreachable, "entry host %s did not answer; try another host of the data centre: %w", m.entry, err)
	}
	return m.print(w, out, func(w io.Writer) {
		fmt.Fprintf(w, "the data centre of %s is %s locally, at version %d\n", m.entry, m.stateText(), out.GetVersion())
	})
}

// summarizeHosts lists the first hosts and the number of the others.
func summarizeHosts(hosts []string) string {
	const maxListed = 5
	if len(hosts) <= maxListed {
		return strings.Join(hosts, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(hosts[:maxListed], ", "), len(hosts)-maxListed)
}
