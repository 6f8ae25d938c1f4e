package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"lycheelift.example/lib/commander"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newStatus returns the command that prints the control hosts, the versions in force and the late hosts.
func newStatus(s *shared) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Print control hosts, versions in force and late hosts",
		Long: "Print control hosts, versions in force and late hosts.\n" +
			"Entry hosts report to the control host that they reach, so give every control host in --control.",
		Example: "  lycheelift status --control 127.0.0.1:7400,127.0.0.2:7400,127.0.0.3:7400",
		Args:    arguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			statuses, err := s.statuses(cmd.Context())
			if err != nil {
				return err
			}
			out := union(statuses)
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printStatus(w, statuses, out) })
		},
	}
}

// statuses queries all control hosts concurrently; at least one must respond.
func (s *shared) statuses(ctx context.Context) ([]*operatorv1.StatusResponse, error) {
	if len(s.control) == 0 {
		return nil, usageError("--control is required: give the operators' addresses of the control hosts")
	}
	answers := make([]*operatorv1.StatusResponse, len(s.control))
	failures := make([]error, len(s.control))
	var wg sync.WaitGroup
	for i, address := range s.control {
		wg.Go(func() {
			failures[i] = s.callHost(ctx, address, func(ctx context.Context, c operatorClient) (err error) {
				answers[i], err = c.Status(ctx, &operatorv1.StatusRequest{})
				return err
			})
		})
	}
	wg.Wait()
	answers = slices.DeleteFunc(answers, func(a *operatorv1.StatusResponse) bool { return a == nil })
	if len(answers) == 0 {
		return nil, exitError(commander.ExitUnreachable, "no control host answered; check --control and the network, and try again: %w", failures[0])
	}
	return answers, nil
}

// union combines the responses: the newest state of the group, and the newest report of each host.
func union(statuses []*operatorv1.StatusResponse) *operatorv1.StatusResponse {
	newest := slices.MaxFunc(statuses, func(a, b *operatorv1.StatusResponse) int {
		return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetCommit(), b.GetCommit()))
	})
	out := &operatorv1.StatusResponse{
		Leader: newest.GetLeader(), Term: newest.GetTerm(), Commit: newest.GetCommit(), Members: newest.GetMembers(), Host: newest.GetHost(),
	}
	for _, s := range statuses {
		out.Version = max(out.GetVersion(), s.GetVersion())
	}
	reports := newestReports(statuses)
	for _, name := range slices.SortedFunc(maps.Keys(reports), strings.Compare) {
		out.Hosts = append(out.Hosts, reports[name])
	}
	out.Late = lateHosts(statuses, out.GetVersion())
	return out
}

func newestReports(statuses []*operatorv1.StatusResponse) map[string]*statev1.InForce {
	out := make(map[string]*statev1.InForce)
	for _, s := range statuses {
		for _, h := range s.GetHosts() {
			if old, ok := out[h.GetHost()]; !ok || old.GetVersion() < h.GetVersion() {
				out[h.GetHost()] = h
			}
		}
	}
	return out
}

// lateHosts returns the hosts that are late according to a control host with that version or a newer one, and that have
// not reported the version to any other control host.
func lateHosts(statuses []*operatorv1.StatusResponse, version uint64) []string {
	reports := newestReports(statuses)
	late := make(map[string]bool)
	anyCurrent := false
	for _, s := range statuses {
		if s.GetVersion() < version {
			continue
		}
		anyCurrent = true
		for _, name := range s.GetLate() {
			if reports[name].GetVersion() < version {
				late[name] = true
			}
		}
	}
	if !anyCurrent {
		return []string{"control"}
	}
	return slices.SortedFunc(maps.Keys(late), strings.Compare)
}

func printStatus(w io.Writer, statuses []*operatorv1.StatusResponse, out *operatorv1.StatusResponse) {
	fmt.Fprintf(w, "version %d  leader %s  term %d  commit %d\n\n", out.GetVersion(), orDash(out.GetLeader()), out.GetTerm(), out.GetCommit())
	versions := make(map[string]uint64)
	for _, s := range statuses {
		versions[s.GetHost()] = s.GetVersion()
	}
	rows := [][]string{{"CONTROL", "ADDRESS", "VOTE", "VERSION"}}
	for _, r := range out.GetMembers().GetReplicas() {
		vote, number := "yes", "-"
		if r.GetLearner() {
			vote = "no"
		}
		if v, ok := versions[r.GetHost()]; ok {
			number = fmt.Sprint(v)
		}
		rows = append(rows, []string{r.GetHost(), r.GetAddress(), vote, number})
	}
	table(w, rows)
	fmt.Fprintln(w)
	rows = [][]string{{"HOST", "VERSION", "SINCE", "STATE"}}
	reports := newestReports(statuses)
	for _, h := range out.GetHosts() {
		rows = append(rows, []string{h.GetHost(), fmt.Sprint(h.GetVersion()), h.GetSince().AsTime().Format(time.RFC3339), stateText(slices.Contains(out.GetLate(), h.GetHost()))})
	}
	for _, name := range out.GetLate() {
		if _, ok := reports[name]; !ok {
			rows = append(rows, []string{name, "-", "-", "no report"})
		}
	}
	table(w, rows)
}

func stateText(late bool) string {
	if late {
		return "late"
	}
	return "in force"
}
