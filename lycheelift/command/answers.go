package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/recorder"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// answerLimit is the default maximum number of answers listed.
	answerLimit = 1000
	// openRecordSilence is the time without answers after which a host that did not close its record may have given answers
	// that are missing.
	openRecordSilence = 10 * time.Second
)

// newAnswers returns the command that lists the recorded answers.
func newAnswers(s *shared) *cobra.Command {
	in := &operatorv1.AnswersRequest{}
	var from, until string
	c := &cobra.Command{
		Use:   "answers",
		Short: "List which answers were given, from the record of all control hosts",
		Example: "  lycheelift answers --tenant chain-a --from 2026-01-02T08:00:00Z --until 2026-01-02T09:00:00Z --control 127.0.0.1:7400,127.0.0.1:7401\n" +
			"  lycheelift answers --version 7 --service desk --output json --control 127.0.0.1:7400",
		Args: arguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := setInterval(in, from, until, time.Now()); err != nil {
				return err
			}
			found, err := s.answers(cmd.Context(), in)
			if err != nil {
				return err
			}
			return s.print(cmd.OutOrStdout(), found, func(w io.Writer) { printAnswers(w, found) })
		},
	}
	f := c.Flags()
	f.StringVar(&in.Tenant, "tenant", "", "only answers to this tenant")
	f.StringVar(&in.Caller, "caller", "", "only answers to this caller")
	f.StringVar(&in.Service, "service", "", "only answers of this service")
	f.Uint64Var(&in.Snapshot, "snapshot", 0, "only answers from this snapshot")
	f.Uint64Var(&in.Version, "version", 0, "only answers under this configuration version")
	f.StringVar(&from, "from", "", "earliest time, RFC 3339; an hour ago when empty")
	f.StringVar(&until, "until", "", "latest time, RFC 3339; now when empty")
	f.Uint32Var(&in.Limit, "limit", answerLimit, "most answers listed")
	return c
}

func setInterval(in *operatorv1.AnswersRequest, from, until string, now time.Time) error {
	first, last := now.Add(-time.Hour), now
	var err error
	if from != "" {
		if first, err = time.Parse(time.RFC3339, from); err != nil {
			return oops.Wrapf(err, "--from")
		}
	}
	if until != "" {
		if last, err = time.Parse(time.RFC3339, until); err != nil {
			return oops.Wrapf(err, "--until")
		}
	}
	in.From, in.Until = timestamppb.New(first), timestamppb.New(last)
	return nil
}

// answers queries every control host, because each stores only a part of the record.
func (s *shared) answers(ctx context.Context, in *operatorv1.AnswersRequest) (*operatorv1.FoundAnswers, error) {
	if len(s.control) == 0 {
		return nil, oops.Errorf("--control is required; name every control host, because each keeps a part of the record")
	}
	out := &operatorv1.FoundAnswers{}
	var lists [][]*statev1.Answer
	var spans []*statev1.Span
	for _, address := range s.control {
		request, cancel := context.WithTimeout(ctx, s.timeout)
		part, err := operatorv1connect.NewOperatorServiceClient(s.client, s.secure.URL(address)).Answers(request, in)
		cancel()
		if err != nil {
			out.Unreachable = append(out.Unreachable, address)
			continue
		}
		lists = append(lists, part.GetAnswers())
		spans = append(spans, part.GetSpans()...)
		out.More = out.More || part.GetMore()
	}
	if len(lists) == 0 {
		return nil, oops.Errorf("no control host answered: %v", out.Unreachable)
	}
	out.Answers = recorder.Merge(lists...)
	if limit := int(in.GetLimit()); limit > 0 && len(out.GetAnswers()) > limit {
		out.Answers, out.More = out.GetAnswers()[:limit], true
	}
	out.Gaps = recorder.Gaps(recorder.Union(spans), in.GetFrom().AsTime(), in.GetUntil().AsTime(), openRecordSilence)
	return out, nil
}

func printAnswers(w io.Writer, found *operatorv1.FoundAnswers) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tHOST\tCALLER\tTENANT\tSERVICE\tID\tOUTCOME\tREASON\tCOVERAGE\tSNAPSHOT\tVERSION")
	for _, a := range found.GetAnswers() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\n", a.GetTime().AsTime().Format(time.RFC3339Nano), a.GetHost(), a.GetCaller(),
			a.GetTenant(), a.GetService(), a.GetId(), a.GetOutcome(), a.GetReason(),
			a.GetCoverage().GetAnswered(), a.GetCoverage().GetTotal(), a.GetSnapshot(), a.GetVersion())
	}
	_ = t.Flush()
	printCompleteness(w, found)
}

// printCompleteness prints which answers the list may lack.
func printCompleteness(w io.Writer, found *operatorv1.FoundAnswers) {
	for _, address := range found.GetUnreachable() {
		fmt.Fprintf(w, "control host %s did not answer: the list may lack answers that only it keeps\n", address)
	}
	for _, g := range found.GetGaps() {
		if g.GetOpen() {
			fmt.Fprintf(w, "host %s (started %d) stopped without closing its record: answers from number %d on may be missing\n", g.GetHost(), g.GetIncarnation(), g.GetFrom())
			continue
		}
		fmt.Fprintf(w, "host %s (started %d): answers number %d to %d are not in the record\n", g.GetHost(), g.GetIncarnation(), g.GetFrom(), g.GetUntil())
	}
	if found.GetMore() {
		fmt.Fprintln(w, "there are more answers: narrow the selection or raise --limit")
	}
}
