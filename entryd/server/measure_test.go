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

// The measurements print figures and judge nothing; docs/owner.md has the command.
var measure = flag.Bool("measure", false, "measure and print figures")

const period = 4 * time.Second

// uncoordinated calls the leaves from three senders that each keep to the leaf's slots but know nothing of each other.
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

func (k *cluster) sum(name string, since time.Time) {
	var total leaf.Record
	var warm time.Duration
	for _, l := range k.leaves {
		r := l.Record()
		total.Calls += r.Calls
		total.Excess += r.Excess
		total.ColdExcess += r.ColdExcess
		total.Refused += r.Refused
		total.Most = max(total.Most, r.Most)
		if r.Warmed.After(since) {
			warm = max(warm, r.Warmed.Sub(since))
		}
	}
	fmt.Printf("%-44s calls %6d  above capacity %6d  while cold %5d  connections refused %4d  most %d  last warm after %s\n",
		name, total.Calls, total.Excess, total.ColdExcess, total.Refused, total.Most, warm.Round(time.Millisecond))
}

func (k *cluster) ready() {
	for i := range len(k.leaves) {
		k.until(i, callerv1.Reason_REASON_UNSPECIFIED)
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
			change := func(c *leaf.Config) {
				c.Behaviour.Warm = warm
				c.Behaviour.Silent = silent
			}
			owned := newCluster(t, 3, 4, change)
			owned.ready()
			start := time.Now()
			stop := owned.load(6)
			time.Sleep(period)
			stop()
			owned.sum("owner, "+label, start)
			free := newCluster(t, 1, 4, change)
			start = time.Now()
			uncoordinated(free.leaves, 2, period)
			free.sum("uncoordinated, "+label, start)
		}
	}
}

// quantiles times calls one after the other.
func quantiles(name string, n int, f func()) {
	var took []time.Duration
	for range n {
		start := time.Now()
		f()
		took = append(took, time.Since(start))
		time.Sleep(5 * time.Millisecond)
	}
	slices.Sort(took)
	fmt.Printf("%-44s n %d  p50 %s  p99 %s  most %s\n", name, n, took[n/2].Round(10*time.Microsecond),
		took[n*99/100].Round(10*time.Microsecond), took[n-1].Round(10*time.Microsecond))
}

func TestMeasureConnections(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	k := newCluster(t, 3, 1, func(c *leaf.Config) {
		c.Behaviour.Warm = 0
		c.Behaviour.Dial = 6 * time.Millisecond
	})
	k.ready()
	quantiles("dial 6 ms, connections opened ahead", 400, func() { k.call(0, "x", time.Second) })
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	quantiles("dial 6 ms, connection opened by the call", 400, func() {
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
	k := newCluster(t, 3, 1, func(c *leaf.Config) { c.Behaviour.Warm = 0 })
	for _, graceful := range []bool{false, true} {
		for range 5 {
			k.ready()
			victim := k.owned("desk-0-0")
			last := time.Now()
			gap := time.Duration(0)
			done := time.Now().Add(7 * time.Second)
			process := k.entries[victim].process
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
	k.sum("all takeovers", time.Now())
}

func TestMeasureFairness(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	k := newCluster(t, 3, 1, func(c *leaf.Config) { c.Behaviour.Warm = 0 })
	k.ready()
	quantiles("single calls, no flood", 200, func() { k.callAs("single", 0, "x", time.Second) })
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
	quantiles("single calls of another tenant beside a flood", 200, func() { k.callAs("single", 0, "x", time.Second) })
	quantiles("single calls in the flood's own queue", 200, func() { k.callAs("flood", 0, "x", time.Second) })
	close(done)
	wait.Wait()
	k.within()
}

// cpu returns the processor time of a process, in hundredths of a second.
func cpu(pid int) int {
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
		k := newCluster(t, 3, leaves, func(c *leaf.Config) { c.Behaviour.Warm = 0 })
		k.ready()
		time.Sleep(2 * time.Second)
		before := make(map[string]int)
		for name, e := range k.entries {
			before[name] = cpu(e.process.Process.Pid)
		}
		const span = 8 * time.Second
		time.Sleep(span)
		total := 0
		for name, e := range k.entries {
			total += cpu(e.process.Process.Pid) - before[name]
		}
		fmt.Printf("idle cell of 3 hosts, %d leaves: %.2f%% of a core per host (leases, announcements, pings)\n", leaves, float64(total)/3/span.Seconds())
	}
}
