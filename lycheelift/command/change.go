package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"lycheelift.example/lib/commander"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// addPatchFlags adds the flags for the base, identity, author and reason of a patch.
func addPatchFlags(c *cobra.Command, p *statev1.Patch) {
	f := c.Flags()
	f.Uint64Var(&p.Base, "base", 0, "version that the change builds on; the newest when 0")
	f.StringVar(&p.Id, "id", "", "identity of the change; give the one of an earlier try to resend it")
	f.StringVar(&p.Author, "author", currentUser(), "author of the change")
	f.StringVar(&p.Reason, "reason", "", "reason for the change")
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// newest returns the newest version.
func (s *shared) newest(ctx context.Context) (*statev1.Version, error) {
	var out *statev1.Version
	err := s.tryEach(ctx, func(ctx context.Context, c operatorClient) error {
		response, err := c.Show(ctx, &operatorv1.ShowRequest{})
		out = response.GetVersion()
		return err
	})
	return out, err
}

// submit fills in the base and the identity of a patch and sends it to the control hosts in turn until one responds. The
// identity makes the resends idempotent.
func (s *shared) submit(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	if p.GetId() != "" && p.GetBase() == 0 {
		return nil, usageError("a resend with --id needs the --base of the first try")
	}
	if p.GetBase() == 0 {
		v, err := s.newest(ctx)
		if err != nil {
			return nil, err
		}
		p.Base = v.GetNumber()
	}
	if p.GetId() == "" {
		p.Id = rand.Text()
	}
	var out *statev1.PatchResult
	err := s.tryEach(ctx, func(ctx context.Context, c operatorClient) error {
		response, err := c.Patch(ctx, &operatorv1.PatchRequest{Patch: p})
		out = response.GetResult()
		return err
	})
	if err != nil && commander.Code(err) == commander.ExitUnreachable {
		return nil, exitError(commander.ExitUnreachable, "%w\nit is not known whether the change was made; resend it with --id %s --base %d", err, p.GetId(), p.GetBase())
	}
	return out, err
}

// printVerdict prints a result and returns an error with advice if the patch was refused.
func (s *shared) printVerdict(w io.Writer, p *statev1.Patch, r *statev1.PatchResult) error {
	if err := s.print(w, r, func(w io.Writer) { printResult(w, p, r) }); err != nil {
		return err
	}
	return verdictError(p, r)
}

func verdictError(p *statev1.Patch, r *statev1.PatchResult) error {
	switch r.GetVerdict() {
	case statev1.Verdict_VERDICT_ACCEPTED:
		return nil
	case statev1.Verdict_VERDICT_CONFLICT:
		return exitError(commander.ExitConflict, "conflict: version %d is in place of the base %d; read the difference and submit again with --base %d", r.GetVersion(), p.GetBase(), r.GetVersion())
	case statev1.Verdict_VERDICT_REUSED:
		return exitError(commander.ExitConflict, "the identity %s belongs to another patch; submit again without --id", p.GetId())
	case statev1.Verdict_VERDICT_INVALID, statev1.Verdict_VERDICT_UNSPECIFIED:
	}
	return exitError(commander.ExitUsage, "refused with %d faults, nothing was changed; correct them and submit again", len(r.GetFaults()))
}

func printResult(w io.Writer, p *statev1.Patch, r *statev1.PatchResult) {
	dry := ""
	if p.GetDry() {
		dry = "  (dry run: nothing was changed)"
	}
	fmt.Fprintf(w, "%s  version %d%s\n", verdict(r.GetVerdict()), r.GetVersion(), dry)
	for _, f := range r.GetFaults() {
		fmt.Fprintf(w, "  %s\n", f)
	}
	if len(r.GetDifference()) > 0 {
		fmt.Fprintf(w, "  difference: %s\n", r.GetDifference())
	}
}

// verdict returns the lower-case name of a verdict, such as accepted.
func verdict(v statev1.Verdict) string {
	return strings.ToLower(strings.TrimPrefix(v.String(), "VERDICT_"))
}
