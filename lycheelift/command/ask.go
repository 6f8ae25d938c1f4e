package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/timestamppb"

	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
)

// newAsk sends one question as a caller would.
func newAsk(s *shared) *cobra.Command {
	in := &callerv1.QueryRequest{}
	var deadline time.Duration
	var issued string
	c := &cobra.Command{
		Use:     "ask SERVICE BODY",
		Short:   "Ask one question and print the answer with its coverage",
		Example: "  lycheelift ask desk 'name=Lotca' --entry 127.0.0.1:7001 --least 1",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			in.Service, in.Body = args[0], []byte(args[1])
			if in.GetId() == "" {
				in.Id = rand.Text()
			}
			if in.GetKey() != "" {
				at, err := issue(issued, time.Now())
				if err != nil {
					return err
				}
				in.Issued = timestamppb.New(at)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), deadline)
			defer cancel()
			out, err := callerv1connect.NewQueryServiceClient(s.client, s.secure.URL(s.entry)).Query(ctx, in)
			if err != nil {
				return oops.Wrapf(err, "ask %s", s.entry)
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printAnswer(w, out) })
		},
	}
	f := c.Flags()
	f.DurationVar(&deadline, "deadline", time.Second, "time in which the answer is needed")
	f.Float64Var(&in.Least, "least", 0, "least coverage accepted, 0 to 1")
	f.StringVar(&in.Key, "key", "", "idempotency key: the request runs at most once")
	f.StringVar(&issued, "issued", "", "time at which the key was issued, RFC 3339; now when empty; a resend states the same time")
	f.StringVar(&in.Id, "id", "", "request identity; made up when empty")
	f.StringVar(&in.Tenant, "tenant", "", "tenant on whose behalf to ask")
	return c
}

// issue returns the time at which a key was issued.
func issue(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return now, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return at, oops.Wrapf(err, "--issued")
}

func printAnswer(w io.Writer, out *callerv1.QueryResponse) {
	coverage := out.GetCoverage()
	fmt.Fprintf(w, "%s  coverage %d/%d  snapshot %d  configuration %d  host %s\n",
		out.GetOutcome(), coverage.GetAnswered(), coverage.GetTotal(), out.GetSnapshot(), out.GetVersion(), out.GetHost())
	if out.GetReplayed() {
		fmt.Fprintln(w, "  this is the outcome of an earlier request with the same key")
	}
	for _, m := range coverage.GetMissing() {
		fmt.Fprintf(w, "  missing shard %d: %s\n", m.GetShard(), m.GetReason())
	}
	for _, p := range out.GetParts() {
		fmt.Fprintf(w, "  shard %d: %s\n", p.GetShard(), p.GetBody())
	}
}
