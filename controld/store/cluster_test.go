package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheelift.example/controld/store"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

var errResponseLost = errors.New("the response was lost")

// cluster is a fake log: it delays, refuses and duplicates proposals and loses responses. Each node applies the log with
// its own lag and sometimes restarts from a snapshot. It runs in a synctest bubble.
type cluster struct {
	mu      sync.Mutex
	rand    *rand.Rand
	log     [][]byte
	commit  int // Every node that passes a barrier has applied this many commands.
	nodes   []*node
	done    chan struct{}
	workers sync.WaitGroup
}

type node struct {
	cluster *cluster
	machine *store.Machine
	store   *store.Store

	mu      sync.Mutex
	changed chan struct{}
	results []*statev1.Result
}

func newCluster(seed uint64, nodes int) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(seed, 1)), done: make(chan struct{})}
	for range nodes {
		n := &node{cluster: c, machine: store.NewMachine(), changed: make(chan struct{})}
		n.store = store.New(n.machine, n, time.Now)
		c.nodes = append(c.nodes, n)
		c.workers.Go(n.run)
	}
	return c
}

func (c *cluster) percentChance(percent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(100) < percent
}

func (c *cluster) delay() {
	c.mu.Lock()
	d := time.Duration(c.rand.Int64N(int64(20 * time.Millisecond)))
	c.mu.Unlock()
	time.Sleep(d)
}

// append stamps the command with a clock that is sometimes one second behind, like that of a new leader.
func (c *cluster) append(command *statev1.Command) int {
	slowClock := c.percentChance(20)
	c.mu.Lock()
	defer c.mu.Unlock()
	command = proto.CloneOf(command)
	now := time.Now()
	if slowClock {
		now = now.Add(-time.Second)
	}
	c.nodes[0].machine.Stamp(command, now)
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	c.log = append(c.log, data)
	return len(c.log)
}

func (c *cluster) command(i int) (*statev1.Command, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i >= len(c.log) {
		return nil, false
	}
	out := &statev1.Command{}
	if err := proto.Unmarshal(c.log[i], out); err != nil {
		panic(err)
	}
	return out, true
}

// stop gives every node time to apply the complete log, then stops the nodes.
func (c *cluster) stop() {
	time.Sleep(2 * time.Second)
	close(c.done)
	c.workers.Wait()
}

func (n *node) run() {
	for {
		select {
		case <-n.cluster.done:
			return
		default:
		}
		n.cluster.delay()
		for n.step() {
			if n.cluster.percentChance(30) {
				break
			}
		}
	}
}

func (n *node) step() bool {
	if n.cluster.percentChance(3) {
		data, err := n.machine.Snapshot()
		if err == nil {
			err = n.machine.Restore(uint64(n.applied()), data)
		}
		if err != nil {
			panic(err)
		}
	}
	command, ok := n.cluster.command(n.applied())
	if !ok {
		return false
	}
	n.cluster.mu.Lock()
	n.cluster.commit = max(n.cluster.commit, n.applied()+1)
	n.cluster.mu.Unlock()
	result := n.machine.Apply(uint64(n.applied()+1), command)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results = append(n.results, result)
	close(n.changed)
	n.changed = make(chan struct{})
	return true
}

func (n *node) applied() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.results)
}

func (n *node) waitApplied(index int) *statev1.Result {
	for {
		n.mu.Lock()
		changed := n.changed
		if len(n.results) >= index {
			defer n.mu.Unlock()
			if index == 0 {
				return nil
			}
			return n.results[index-1]
		}
		n.mu.Unlock()
		<-changed
	}
}

// Propose appends the command and waits until this node has applied it.
func (n *node) Propose(_ context.Context, command *statev1.Command) (*statev1.Result, error) {
	c := n.cluster
	c.delay()
	if c.percentChance(10) {
		return nil, store.ErrNotProposed
	}
	if c.percentChance(10) {
		c.workers.Go(func() { c.delay(); c.append(command) })
		return nil, errResponseLost
	}
	index := c.append(command)
	if c.percentChance(15) {
		c.workers.Go(func() { c.delay(); c.append(command) })
	}
	if c.percentChance(15) {
		return nil, errResponseLost
	}
	result := n.waitApplied(index)
	c.delay()
	return result, nil
}

// Barrier waits until this node has applied every command that any node had applied before the call.
func (n *node) Barrier(context.Context) error {
	n.cluster.delay()
	n.cluster.mu.Lock()
	index := n.cluster.commit
	n.cluster.mu.Unlock()
	n.waitApplied(index)
	return nil
}
