package replica_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var measure = flag.Bool("measure", false, "print the figures of docs/log.md")

// proposeBegin commits a command that costs the state machine next to nothing, so that the log alone is measured.
func (g *group) proposeBegin(h *host, id int) {
	c := &statev1.Command{Kind: &statev1.Command_Begin{Begin: &statev1.Begin{
		Tenant: "galati", Key: fmt.Sprintf("key-%026d", id), Attempt: fmt.Sprintf("entry-1/1/%d", id), Fingerprint: 1 << 60,
	}}}
	_, err := h.replica.Propose(context.Background(), &peerv1.ProposeRequest{Command: c})
	qt.Check(g.t, err, qt.IsNil)
}

// proposeConcurrently proposes count commands from several writers and returns the sorted latencies and the total time.
func (g *group) proposeConcurrently(h *host, writers, count int) ([]time.Duration, time.Duration) {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for w := range writers {
		wg.Go(func() {
			for i := range count / writers {
				at := time.Now()
				g.proposeBegin(h, w*count+i)
				elapsed := time.Since(at)
				mu.Lock()
				all = append(all, elapsed)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(begin)
	slices.Sort(all)
	return all, elapsed
}

// usage is the CPU time and the bytes written by a process, from the proc file system.
type usage struct {
	cpu           time.Duration
	written, disk int64 // bytes written to files and sockets; bytes that reached the disk
}

func (h *host) usage(t testing.TB) usage {
	const clockTick = 10 * time.Millisecond
	pid := h.process.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(t, err, qt.IsNil)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	out := usage{cpu: time.Duration(user+system) * clockTick}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(string(text), "\n") {
		_, _ = fmt.Sscanf(line, "wchar: %d", &out.written)
		_, _ = fmt.Sscanf(line, "write_bytes: %d", &out.disk)
	}
	return out
}

func (g *group) usages() map[string]usage {
	out := map[string]usage{}
	for _, h := range g.hosts {
		out[h.name] = h.usage(g.t)
	}
	return out
}

// printUsage prints the usage of each host since the earlier measurement, divided by count.
func (g *group) printUsage(what string, before map[string]usage, count float64) {
	leader := g.leader()
	for _, h := range g.hosts {
		role := "follower"
		if h == leader {
			role = "leader"
		}
		a, b := before[h.name], h.usage(g.t)
		fmt.Printf("%s, %s: CPU %.1f us, written %.0f B, of these to disk %.0f B\n", what, role,
			float64((b.cpu-a.cpu).Microseconds())/count, float64(b.written-a.written)/count, float64(b.disk-a.disk)/count)
	}
}

// TestMeasure prints the figures of docs/log.md; it checks nothing.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, count := range []int{1, 3} {
		g := newGroup(t, count, 1000000)
		g.waitCaughtUp()
		leader := g.leader()
		for _, writers := range []int{1, 16, 256} {
			before := g.usages()
			total := 200 * min(writers, 64)
			all, elapsed := g.proposeConcurrently(leader, writers, total)
			fmt.Printf("%d processes, %d writers: %.0f proposals/s, p50 %s, p99 %s\n", count, writers,
				float64(len(all))/elapsed.Seconds(), all[len(all)/2].Round(10*time.Microsecond), all[len(all)*99/100].Round(10*time.Microsecond))
			g.printUsage("  per record", before, float64(len(all)))
		}
		const idle = 20
		before := g.usages()
		time.Sleep(idle * time.Second)
		g.printUsage(fmt.Sprintf("%d processes, idle, per second", count), before, idle)
		if count == 3 {
			g.measureElections()
		}
	}
	for _, records := range []int{500, 5000} {
		measureRecovery(t, records)
	}
}

func (g *group) measureElections() {
	var all []time.Duration
	for range 20 {
		h := g.leader()
		at := time.Now()
		h.killAndWait()
		g.leader()
		all = append(all, time.Since(at))
		g.start(h)
		g.waitCaughtUp()
	}
	slices.Sort(all)
	fmt.Printf("new leader after kill -9, 20 times: least %s, median %s, most %s\n", all[0], all[len(all)/2], all[len(all)-1])
}

// measureRecovery prints the time from the start of a process to its first linearizable read.
func measureRecovery(t *testing.T, records int) {
	g := newGroup(t, 1, 1000000)
	g.waitCaughtUp()
	h := g.leader()
	g.proposeConcurrently(h, 16, records)
	for _, kind := range []string{"ledger records", "ledger records and as many patches"} {
		h.killAndWait()
		at := time.Now()
		g.start(h)
		g.eventually("a read", func(ctx context.Context) bool {
			_, err := h.operator.Show(ctx, &operatorv1.ShowRequest{})
			return err == nil
		})
		r, err := h.replica.Report(context.Background(), &peerv1.ReportRequest{})
		qt.Assert(t, err, qt.IsNil)
		fmt.Printf("recovery with %d %s (%d in the log): %s to the first linearizable read\n",
			records, kind, r.GetLast(), time.Since(at).Round(time.Millisecond))
		if records > 500 {
			return
		}
		for i := range records {
			base := uint64(i + 1)
			_, err := h.operator.Patch(context.Background(), &operatorv1.PatchRequest{Patch: &statev1.Patch{
				Id: fmt.Sprint("p", i), Base: base, Author: "test", Body: []byte(fmt.Sprintf(`{"centers":{"c":{"region":"r%d"}}}`, i)),
			}})
			qt.Assert(t, err, qt.IsNil)
		}
	}
}
