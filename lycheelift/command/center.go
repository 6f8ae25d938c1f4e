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

// mover takes a data centre out or brings it back in.
type mover struct {
	*shared
	out    bool
	local  bool
	wait   time.Duration
	patch  *statev1.Patch
	center string
}

const (
	// moveTries bounds the submissions after conflicts with changes of something else.
	moveTries = 5
	// progressInterval is the time between two looks at the versions in force.
	progressInterval = 250 * time.Millisecond
)

func newMover(s *shared, out bool, c *cobra.Command) *cobra.Command {
	m := &mover{shared: s, out: out, patch: &statev1.Patch{}}
	c.Args = arguments(cobra.MaximumNArgs(1))
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if m.local {
			return m.here(cmd.Context(), cmd.OutOrStdout())
		}
		if len(args) != 1 {
			return usage("give the name of the data centre")
		}
		m.center = args[0]
		return m.everywhere(cmd.Context(), cmd.OutOrStdout())
	}
	f := c.Flags()
	f.StringVar(&m.patch.Author, "author", login(), "author of the change")
	f.StringVar(&m.patch.Reason, "reason", "", "reason for the change")
	f.BoolVar(&m.local, "local", false, "only on the data centre of the --entry host, when that is cut off from control")
	f.DurationVar(&m.wait, "wait", 30*time.Second, "longest wait until every host has the version in force")
	return c
}

func (m *mover) state() string {
	if m.out {
		return "out"
	}
	return "in"
}

// everywhere changes the configuration and waits until every host reports it in force.
func (m *mover) everywhere(ctx context.Context, w io.Writer) error {
	result, err := m.change(ctx)
	if err != nil {
		return err
	}
	if m.output == outputTable {
		fmt.Fprintf(w, "%s is %s from version %d\n", m.center, m.state(), result.GetVersion())
	}
	if err := m.progress(ctx, w, result.GetVersion()); err != nil {
		return err
	}
	return m.print(w, result, func(w io.Writer) { fmt.Fprintf(w, "in force on every host\n") })
}

// change submits the patch again when a conflict comes from a change of something else.
func (m *mover) change(ctx context.Context) (*statev1.PatchResult, error) {
	m.patch.Body = fmt.Appendf(nil, `{"centers":{%q:{"out":%t}}}`, m.center, m.out)
	for range moveTries {
		v, err := m.newest(ctx)
		if err != nil {
			return nil, err
		}
		done, err := m.done(v)
		if err != nil || done {
			return &statev1.PatchResult{Verdict: statev1.Verdict_VERDICT_ACCEPTED, Version: v.GetNumber()}, err
		}
		m.patch.Base, m.patch.Id = v.GetNumber(), rand.Text()
		result, err := m.submit(ctx, m.patch)
		if err != nil {
			return nil, err
		}
		if result.GetVerdict() != statev1.Verdict_VERDICT_CONFLICT || touches(result.GetDifference(), m.center) {
			return result, refusal(m.patch, result)
		}
	}
	return nil, coded(commander.ExitConflict, "other changes came first %d times; try again", moveTries)
}

// done reports whether the data centre is in the wanted state already.
func (m *mover) done(v *statev1.Version) (bool, error) {
	document, err := configurator.Parse(v.GetDocument())
	if err != nil {
		return false, oops.Wrapf(err, "version %d", v.GetNumber())
	}
	center, ok := document.Centers[m.center]
	if !ok {
		return false, usage("the configuration has no data centre %s; lycheelift show lists them", m.center)
	}
	return center.Out == m.out, nil
}

// touches reports whether a difference changes the data centre.
func touches(difference []byte, center string) bool {
	var d struct {
		Centers map[string]any `json:"centers"`
	}
	if err := json.Unmarshal(difference, &d); err != nil {
		return true
	}
	_, ok := d.Centers[center]
	return ok
}

// progress waits until no host is late, and prints each change of their number.
func (m *mover) progress(ctx context.Context, w io.Writer, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, m.wait)
	defer cancel()
	last := -1
	for {
		late, err := m.late(ctx, version)
		if err == nil && len(late) == 0 {
			return nil
		}
		if err == nil && len(late) != last && m.output == outputTable {
			fmt.Fprintf(w, "waiting for %d hosts: %s\n", len(late), names(late))
			last = len(late)
		}
		select {
		case <-ctx.Done():
			return coded(commander.ExitFailed, "version %d is made, but not every host has reported it in force within %s; look at lycheelift status", version, m.wait)
		case <-time.After(progressInterval):
		}
	}
}

func (m *mover) late(ctx context.Context, version uint64) ([]string, error) {
	statuses, err := m.statuses(ctx)
	if err != nil {
		return nil, err
	}
	return lateHosts(statuses, version), nil
}

// here sets the local removal through an entry host.
func (m *mover) here(ctx context.Context, w io.Writer) error {
	if m.entry == "" {
		return usage("--local needs --entry: any entry host of the data centre")
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	out, err := operatorv1connect.NewHostServiceClient(m.client, m.secure.URL(m.entry)).Remove(ctx, &operatorv1.RemoveRequest{
		Removed: m.out, Author: m.patch.GetAuthor(), Reason: m.patch.GetReason(),
	})
	switch {
	case err != nil && decided(err):
		return answered(err)
	case err != nil:
		return coded(commander.ExitUnreachable, "entry host %s did not answer; try another host of the data centre: %w", m.entry, err)
	}
	return m.print(w, out, func(w io.Writer) {
		fmt.Fprintf(w, "the data centre of %s is %s locally, at version %d\n", m.entry, m.state(), out.GetVersion())
	})
}

// names lists the first hosts and counts the others.
func names(hosts []string) string {
	const most = 5
	if len(hosts) <= most {
		return strings.Join(hosts, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(hosts[:most], ", "), len(hosts)-most)
}
