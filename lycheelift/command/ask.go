package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/commander"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	"lycheelift.example/schema/gen/lycheelift/caller/v1/callerv1connect"
)

// newAsk returns the command that sends one request as a caller does.
func newAsk(s *shared) *cobra.Command {
	in := &callerv1.QueryRequest{}
	var deadline time.Duration
	var issued string
	c := &cobra.Command{
		Use:   "ask SERVICE BODY",
		Short: "Ask one question and print the answer with its coverage",
		Example: "  lycheelift ask desk 'name=Lotca' --entry 127.0.0.1:7001 --least 1\n" +
			"  lycheelift ask desk 'stamp=4711' --key k1 --issued 2026-01-02T15:04:05Z --entry 127.0.0.1:7001",
		Args: arguments(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			in.Service, in.Body = args[0], []byte(args[1])
			if in.GetId() == "" {
				in.Id = rand.Text()
			}
			if err := stampKey(in, issued); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), deadline)
			defer cancel()
			out, err := callerv1connect.NewQueryServiceClient(s.client, s.secure.URL(s.entry)).Query(ctx, in)
			if err != nil {
				return askFailure(s.entry, in, err)
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printAnswer(w, out) })
		},
	}
	f := c.Flags()
	f.DurationVar(&deadline, "deadline", time.Second, "time in which the answer is needed")
	f.Float64Var(&in.Least, "least", 0, "least coverage accepted, 0 to 1")
	f.StringVar(&in.Key, "key", "", "idempotency key: the request runs at most once")
	f.StringVar(&issued, "issued", "", "time at which the key was issued, RFC 3339; now when empty, and the first one for a resend")
	f.StringVar(&in.Id, "id", "", "request identity; made up when empty")
	f.StringVar(&in.Tenant, "tenant", "", "tenant on whose behalf to ask")
	return c
}

// stampKey sets the issue time of a key. A resend must carry the time of the first submission.
func stampKey(in *callerv1.QueryRequest, issued string) error {
	switch {
	case in.GetKey() == "":
		return nil
	case issued == "":
		in.Issued = timestamppb.New(time.Now())
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, issued)
	if err != nil {
		return usageError("--issued must be a time such as 2026-01-02T15:04:05Z, not %q", issued)
	}
	in.Issued = timestamppb.New(t)
	return nil
}

// askFailure distinguishes a host that did not respond from one that refused, and explains how to resend a request with a
// key.
func askFailure(entry string, in *callerv1.QueryRequest, err error) error {
	advice := ""
	if in.GetKey() != "" {
		advice = fmt.Sprintf("\nto learn the outcome, resend with --key %s --issued %s", in.GetKey(), in.GetIssued().AsTime().Format(time.RFC3339Nano))
	}
	var refused *connect.Error
	if errors.As(err, &refused) && len(refused.Details()) > 0 {
		return exitError(commander.ExitFailed, "entry host %s: %s%s", entry, refused.Message(), advice)
	}
	return exitError(commander.ExitUnreachable, "entry host %s did not answer: %w%s", entry, err, advice)
}

func printAnswer(w io.Writer, out *callerv1.QueryResponse) {
	coverage := out.GetCoverage()
	fmt.Fprintf(w, "%s  coverage %d/%d  snapshot %d  configuration %d  host %s\n",
		out.GetOutcome(), coverage.GetAnswered(), coverage.GetTotal(), out.GetSnapshot(), out.GetVersion(), out.GetHost())
	if out.GetReplayed() {
		fmt.Fprintln(w, "  this is the outcome of an earlier run of the key")
	}
	if out.GetTruncated() {
		fmt.Fprintln(w, "  the stored outcome was too large: some parts or missing shards are not shown")
	}
	for _, m := range coverage.GetMissing() {
		fmt.Fprintf(w, "  missing shard %d: %s\n", m.GetShard(), m.GetReason())
	}
	for _, p := range out.GetParts() {
		fmt.Fprintf(w, "  shard %d: %s\n", p.GetShard(), p.GetBody())
	}
}
