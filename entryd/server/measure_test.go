package server_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lycheelift.example/leafd/leaf"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
	"lycheelift.example/schema/gen/lycheelift/backend/v1/backendv1connect"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
)

// The measurements print figures and check nothing; docs/owner.md has the command.
var measure = flag.Bool("measure", false, "measure and print figures")

const loadPeriod = 4 * time.Second

// uncoordinated calls the leaves from three senders. Each keeps to the leaf's slots but does not know of the others.
func uncoordinated(leaves map[string]*leaf.Leaf, slots int, d time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	var wait sync.WaitGroup
	for i := range len(leaves) {
		address := leaves[fmt.Sprintf("desk-%d-0", i)].Address()
		for range 3 * slots {
			p := &http.Protocols{}
			p.SetUnencryptedHTTP2(true)
			client := backendv1connect.NewLeafServiceClient(&http.Client{Transport: &http.Transport{Protocols: p}}, "http://"+address)
			wait.Add(1)
			go func() {
				defer wait.Done()
				for ctx.Err() == nil {
					_, err := client.Execute(ctx, &backendv1.ExecuteRequest{Attempt: "x", Service: "desk", Snapshot: 1, Shard: uint32(i)})
					if err != nil {
						time.Sleep(10 * time.Millisecond)
					}
				}
			}()
		}
	}
	wait.Wait()
}

func (k *cluster) printTotals(name string, since time.Time) {
	var total leaf.Record
	var warm time.Duration
	for _, l := range k.leaves {
		r := l.Record()
		total.Calls += r.Calls
		total.ExcessCalls += r.ExcessCalls
		total.ColdExcessCalls += r.ColdExcessCalls
		total.RefusedConnections += r.RefusedConnections
		total.PeakConnections = max(total.PeakConnections, r.PeakConnections)
		if r.WarmedAt.After(since) {
			warm = max(warm, r.WarmedAt.Sub(since))
		}
	}
	fmt.Printf("%-44s calls %6d  above capacity %6d  while cold %5d  connections refused %4d  most %d  last warm after %s\n",
		name, total.Calls, total.ExcessCalls, total.ColdExcessCalls, total.RefusedConnections, total.PeakConnections, warm.Round(time.Millisecond))
}

func (k *cluster) waitReady() {
	for i := range len(k.leaves) {
		k.waitForReason(i, callerv1.Reason_REASON_UNSPECIFIED)
	}
}

func TestMeasureExcess(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, warm := range []int{0, 200} {
		for _, silent := range []bool{false, true} {
			if warm == 0 && silent {
				continue
			}
			label := fmt.Sprintf("cold calls %d, announced as warm %t", warm, silent)
			configure := func(c *leaf.Config) {
				c.Behaviour.WarmUpCalls = warm
				c.Behaviour.HideCold = silent
			}
			ownedCluster := newCluster(t, 3, 4, configure)
			ownedCluster.waitReady()
			start := time.Now()
			stop := ownedCluster.startLoad(6)
			time.Sleep(loadPeriod)
			stop()
			ownedCluster.printTotals("owner, "+label, start)
			uncoordinatedCluster := newCluster(t, 1, 4, configure)
			start = time.Now()
			uncoordinated(uncoordinatedCluster.leaves, 2, loadPeriod)
			uncoordinatedCluster.printTotals("uncoordinated, "+label, start)
		}
	}
}

// printQuantiles runs f n times, one after the other, and prints quantiles of the durations.
func printQuantiles(name string, n int, f func()) {
	var durations []time.Duration
	for range n {
		start := time.Now()
		f()
		durations = append(durations, time.Since(start))
		time.Sleep(5 * time.Millisecond)
	}
	slices.Sort(durations)
	fmt.Printf("%-44s n %d  p50 %s  p99 %s  most %s\n", name, n, durations[n/2].Round(10*time.Microsecond),
		durations[n*99/100].Round(10*time.Microsecond), durations[n-1].Round(10*time.Microsecond))
}

func TestMeasureConnections(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	k := newCluster(t, 3, 1, func(c *leaf.Config) {
		c.Behaviour.WarmUpCalls = 0
		c.Behaviour.AcceptDelay = 6 * time.Millisecond
	})
	k.waitReady()
	printQuantiles("dial 6 ms, connections opened ahead", 400, func() { k.call(0, "x", time.Second) })
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	printQuantiles("dial 6 ms, connection opened by the call", 400, func() {
		transport := &http.Transport{Protocols: p}
		client := backendv1connect.NewLeafServiceClient(&http.Client{Transport: transport}, "http://"+k.leaves["desk-0-0"].Address())
		_, _ = client.Execute(context.Background(), &backendv1.ExecuteRequest{Attempt: "x", Service: "desk", Snapshot: 1})
		transport.CloseIdleConnections()
	})
}

func TestMeasureTakeover(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	k := newCluster(t, 3, 1, func(c *leaf.Config) { c.Behaviour.WarmUpCalls = 0 })
	for _, graceful := range []bool{false, true} {
		for range 5 {
			k.waitReady()
			victim := k.lastOwner("desk-0-0")
			last := time.Now()
			gap := time.Duration(0)
			done := time.Now().Add(7 * time.Second)
			process := k.entries[victim].command
			if graceful {
				_ = process.Process.Signal(syscall.SIGTERM)
			} else {
				_ = process.Process.Kill()
			}
			for time.Now().Before(done) {
				if k.call(0, "x", 100*time.Millisecond).GetReason() == callerv1.Reason_REASON_UNSPECIFIED {
					gap = max(gap, time.Since(last))
					last = time.Now()
				}
				time.Sleep(2 * time.Millisecond)
			}
			_, _ = process.Process.Wait()
			fmt.Printf("graceful %t: longest time without an answer %s\n", graceful, gap.Round(time.Millisecond))
			k.launch(victim)
			time.Sleep(8 * time.Second)
		}
	}
	k.printTotals("all takeovers", time.Now())
}

func TestMeasureFairness(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	k := newCluster(t, 3, 1, func(c *leaf.Config) { c.Behaviour.WarmUpCalls = 0 })
	k.waitReady()
	printQuantiles("single calls, no flood", 200, func() { k.callAs("single", 0, "x", time.Second) })
	var wait sync.WaitGroup
	done := make(chan struct{})
	for range 100 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-done:
					return
				default:
					k.callAs("flood", 0, "x", time.Second)
				}
			}
		}()
	}
	printQuantiles("single calls of another tenant beside a flood", 200, func() { k.callAs("single", 0, "x", time.Second) })
	printQuantiles("single calls in the flood's own queue", 200, func() { k.callAs("flood", 0, "x", time.Second) })
	close(done)
	wait.Wait()
	k.assertWithinLimits()
}

// cpuTime returns the processor time of a process, in hundredths of a second.
func cpuTime(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

func TestMeasureRenewal(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, leaves := range []int{0, 20, 60} {
		k := newCluster(t, 3, leaves, func(c *leaf.Config) { c.Behaviour.WarmUpCalls = 0 })
		k.waitReady()
		time.Sleep(2 * time.Second)
		before := make(map[string]int)
		for name, e := range k.entries {
			before[name] = cpuTime(e.command.Process.Pid)
		}
		const span = 8 * time.Second
		time.Sleep(span)
		total := 0
		for name, e := range k.entries {
			total += cpuTime(e.command.Process.Pid) - before[name]
		}
		fmt.Printf("idle cell of 3 hosts, %d leaves: %.2f%% of a core per host (leases, announcements, pings)\n", leaves, float64(total)/3/span.Seconds())
	}
}
