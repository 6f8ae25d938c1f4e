package stager_test

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/lib/recorder"
	"lycheelift.example/loader/stager"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// refusal returns the refusal in the details of an error, or nil.
func refusal(err error) *callerv1.Refusal {
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil
	}
	for _, detail := range c.Details() {
		if value, e := detail.Value(); e == nil {
			if r, ok := value.(*callerv1.Refusal); ok {
				return r
			}
		}
	}
	return nil
}

func ask(ctx context.Context, d *stager.Deployment, h *stager.Host, in *callerv1.QueryRequest) (*callerv1.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return d.Query(ctx, h, in)
}

// allRecords returns the records of every stand-in.
func allRecords(ctx context.Context, c *qt.C, d *stager.Deployment) []stager.LeafRecord {
	var out []stager.LeafRecord
	for _, center := range []string{"center-0", "center-1", "center-2"} {
		records, err := d.Records(ctx, center)
		c.Assert(err, qt.IsNil)
		out = append(out, records...)
	}
	return out
}

// Guards against a request that crashes more than two servers when its caller retries it on host after host, and against
// harmless requests that are refused afterwards.
func TestHarmfulRequestIsRefusedEverywhere(t *testing.T) {
	c, ctx, d := startDeployment(t)
	c.Assert(d.ControlLeaves(ctx, "/behave?set="+url.QueryEscape(`{"crash":"harm"}`)), qt.IsNil)
	load := d.StartLoad(ctx, 50)
	var last *callerv1.Refusal
	for i := range 2 * len(d.Hosts) {
		_, err := ask(ctx, d, d.Hosts[i%len(d.Hosts)], &callerv1.QueryRequest{Id: fmt.Sprint("harm-", i), Service: "desk", Body: []byte("harm")})
		c.Assert(err, qt.IsNotNil)
		last = refusal(err)
		c.Logf("%s: %s", d.Hosts[i%len(d.Hosts)].Name, last.GetReason())
	}
	c.Assert(last.GetReason(), qt.Equals, callerv1.Reason_REASON_QUARANTINED)
	c.Assert(last.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_REFUSED)
	load.Stop()
	crashes := 0
	for _, r := range allRecords(ctx, c, d) {
		crashes += r.Crashes
	}
	c.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	awaitSettled(ctx, c, d, 9)
	for _, h := range d.Hosts {
		out, err := ask(ctx, d, h, &callerv1.QueryRequest{Id: "after", Service: "desk", Body: []byte("name=Lotca"), Least: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(out.GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_WHOLE)
	}
}

// Guards against a second run of a request with an idempotency key when it is retried on other hosts after its host was
// killed.
func TestKeyRunsOnceAfterItsHostWasKilled(t *testing.T) {
	c, ctx, d := startDeployment(t)
	c.Assert(d.ControlLeaves(ctx, "/behave?set="+url.QueryEscape(`{"latency":300000000}`)), qt.IsNil)
	in := &callerv1.QueryRequest{Id: "stamp", Service: "desk", Body: []byte("stamp"), Key: "licence-1", Issued: timestamppb.Now()}
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = ask(ctx, d, d.Hosts[0], in)
	}()
	for countRuns(allRecords(ctx, c, d), "licence-1") == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(d.Hosts[0].Signal(syscall.SIGKILL), qt.IsNil)
	<-first
	for _, h := range d.Hosts[1:] {
		// The host waits for the outcome of the key until the deadline of the query.
		short, cancel := context.WithTimeout(ctx, time.Second)
		_, err := d.Query(short, h, in)
		cancel()
		c.Assert(refusal(err).GetOutcome(), qt.Equals, callerv1.Outcome_OUTCOME_UNKNOWN, qt.Commentf("%v", err))
	}
	again := &callerv1.QueryRequest{Id: "stamp", Service: "desk", Body: []byte("stamp"), Key: "licence-2", Issued: timestamppb.Now()}
	for i, h := range d.Hosts[1:] {
		out, err := ask(ctx, d, h, again)
		c.Assert(err, qt.IsNil)
		c.Assert(out.GetReplayed(), qt.Equals, i > 0)
	}
	for _, r := range allRecords(ctx, c, d) {
		c.Assert(r.Keys["licence-1"] <= 1 && r.Keys["licence-2"] <= 1, qt.IsTrue, qt.Commentf("%s: %v", r.Leaf, r.Keys))
	}
	c.Assert(countRuns(allRecords(ctx, c, d), "licence-2"), qt.Equals, 3)
}

func countRuns(records []stager.LeafRecord, key string) int {
	n := 0
	for _, r := range records {
		n += r.Keys[key]
	}
	return n
}

// Guards against answers that mix snapshots, and against failed queries, while leaves switch to a new snapshot under load,
// one data centre after another.
func TestSnapshotSwitchMixesNothing(t *testing.T) {
	c, ctx, d := startDeployment(t)
	load := d.StartLoad(ctx, 30)
	seen := make(map[uint64]int)
	for replica := range 3 {
		for shard := range 3 {
			c.Assert(d.ControlLeaves(ctx, fmt.Sprintf("/hold?snapshot=2&leaf=desk-%d-%d", shard, replica)), qt.IsNil)
			for i := range 10 {
				out, err := ask(ctx, d, d.Hosts[i%len(d.Hosts)], &callerv1.QueryRequest{Id: fmt.Sprint(replica, shard, i), Service: "desk", Body: []byte("which")})
				c.Assert(err, qt.IsNil)
				seen[out.GetSnapshot()]++
				for _, p := range out.GetParts() {
					// The body from a stand-in starts with the service, the snapshot and the shard.
					c.Assert(strings.HasPrefix(string(p.GetBody()), fmt.Sprintf("desk/%d/%d:", out.GetSnapshot(), p.GetShard())), qt.IsTrue)
				}
				c.Assert(len(out.GetParts()), qt.Equals, int(out.GetCoverage().GetAnswered()))
			}
		}
	}
	for {
		out, err := ask(ctx, d, d.Hosts[0], &callerv1.QueryRequest{Id: "end", Service: "desk", Body: []byte("which")})
		c.Assert(err, qt.IsNil)
		if out.GetSnapshot() == 2 && out.GetOutcome() == callerv1.Outcome_OUTCOME_WHOLE {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	sent, failures, _ := load.Stop()
	c.Logf("%d queries; answers by snapshot %v; faults %v", sent, seen, failures)
}

// Guards against answers that are missing from the record of answers although every host stopped gracefully.
func TestEveryAnswerIsInTheRecord(t *testing.T) {
	c, ctx, d := startDeployment(t)
	const count = 60
	for i := range count {
		_, err := ask(ctx, d, d.Hosts[i%len(d.Hosts)], &callerv1.QueryRequest{Id: fmt.Sprint("q-", i), Service: "desk", Body: []byte("name=Lotca")})
		c.Assert(err, qt.IsNil)
	}
	for _, h := range d.Hosts {
		c.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
	}
	for _, h := range d.Hosts {
		c.Assert(h.Wait(), qt.IsNil)
	}
	out, err := d.Answers(ctx)
	c.Assert(err, qt.IsNil)
	ids := make(map[string]bool)
	for _, a := range out.GetAnswers() {
		c.Assert(a.GetVersion() > 0 && a.GetSnapshot() == 1 && a.GetCoverage().GetAnswered() == 3, qt.IsTrue)
		ids[a.GetId()] = true
	}
	c.Assert(ids, qt.HasLen, count)
	c.Assert(recorder.Gaps(recorder.Union(out.GetSpans()), time.Time{}, time.Now().Add(time.Hour), time.Second), qt.HasLen, 0)
}
