package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newPatch submits a change against a numbered version.
func newPatch(s *shared) *cobra.Command {
	p := &statev1.Patch{}
	c := &cobra.Command{
		Use:     "patch FILE",
		Short:   "Submit a JSON merge patch against a numbered version",
		Example: "  lycheelift patch out.json --base 7 --reason 'power work in gal-2' --control 127.0.0.1:7400",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return oops.Wrapf(err, "read the patch")
			}
			p.Body = body
			if p.GetId() == "" {
				p.Id = rand.Text()
			}
			result, err := s.submit(cmd.Context(), p)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), result, func(w io.Writer) { printResult(w, result) })
		},
	}
	f := c.Flags()
	f.Uint64Var(&p.Base, "base", 0, "version that the patch builds on")
	f.StringVar(&p.Id, "id", "", "patch identity; give the same one to resend")
	f.StringVar(&p.Author, "author", login(), "author of the patch")
	f.StringVar(&p.Reason, "reason", "", "reason for the change")
	f.BoolVar(&p.Dry, "dry", false, "decide the patch without applying it")
	return c
}

func login() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// submit tries each control host in turn; the patch's identity makes that safe.
func (s *shared) submit(ctx context.Context, p *statev1.Patch) (*statev1.PatchResult, error) {
	err := oops.Errorf("--control is required")
	for _, address := range s.control {
		request, cancel := context.WithTimeout(ctx, s.timeout)
		out, e := operatorv1connect.NewOperatorServiceClient(s.client, "http://"+address).Patch(request, &operatorv1.PatchRequest{Patch: p})
		cancel()
		if e == nil {
			return out.GetResult(), nil
		}
		err = oops.Wrapf(e, "control host %s", address)
	}
	return nil, err
}

func printResult(w io.Writer, r *statev1.PatchResult) {
	fmt.Fprintf(w, "%s  version %d\n", r.GetVerdict(), r.GetVersion())
	for _, f := range r.GetFaults() {
		fmt.Fprintf(w, "  %s\n", f)
	}
	if len(r.GetDifference()) > 0 {
		fmt.Fprintf(w, "  difference: %s\n", r.GetDifference())
	}
}
