package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lycheelift.example/controld/store"
	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/registrar"
	callerv1 "lycheelift.example/schema/gen/lycheelift/caller/v1"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// designDocument returns a document with the 450 hosts of the design size.
func designDocument(b *testing.B) []byte {
	hosts := make(map[string]any)
	for i := range 450 {
		hosts[fmt.Sprintf("entry-%03d", i)] = map[string]any{"center": fmt.Sprintf("center-%d", i%5), "address": fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1)}
	}
	centers := make(map[string]any)
	for i := range 5 {
		centers[fmt.Sprintf("center-%d", i)] = map[string]any{"region": "east"}
	}
	out, err := json.Marshal(map[string]any{"centers": centers, "hosts": hosts})
	qt.Assert(b, err, qt.IsNil)
	return out
}

// designMachine returns a machine after n patches: the design document, then patches that take a data centre out and
// back in.
func designMachine(b *testing.B, n int) *store.Machine {
	m := store.NewMachine()
	body := designDocument(b)
	for i := range n {
		p := &statev1.Patch{Id: fmt.Sprintf("patch-%08d", i), Base: uint64(i + 1), Author: "ana", Reason: "power work in one hall", Body: body}
		body = fmt.Appendf(nil, `{"centers":{"center-%d":{"out":%t}}}`, i%5, i/5%2 == 0)
		r := m.Apply(uint64(i+1), &statev1.Command{Time: timestamppb.New(start), Kind: &statev1.Command_Patch{Patch: p}})
		qt.Assert(b, r.GetPatch().GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_ACCEPTED)
	}
	return m
}

func BenchmarkPatch(b *testing.B) {
	m := designMachine(b, 2)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		body := fmt.Appendf(nil, `{"centers":{"center-%d":{"out":%t}}}`, i%5, i%2 == 0)
		p := &statev1.Patch{Id: fmt.Sprint(i), Base: uint64(i + 3), Author: "ana", Body: body}
		r := m.Apply(uint64(i+3), &statev1.Command{Time: timestamppb.New(start), Kind: &statev1.Command_Patch{Patch: p}})
		qt.Assert(b, r.GetPatch().GetVerdict(), qt.Equals, statev1.Verdict_VERDICT_ACCEPTED)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := designMachine(b, n)
			data, err := m.Snapshot()
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.Run("take", func(b *testing.B) {
				for b.Loop() {
					_, err = m.Snapshot()
				}
				b.ReportMetric(float64(len(data)), "snapshot-bytes")
			})
			b.Run("restore", func(b *testing.B) {
				for b.Loop() {
					err = store.NewMachine().Restore(1, data)
				}
			})
			qt.Assert(b, err, qt.IsNil)
		})
	}
}

// BenchmarkReplay applies 500 changes, as a restart without a snapshot does.
func BenchmarkReplay(b *testing.B) {
	for b.Loop() {
		designMachine(b, 500)
	}
	b.ReportMetric(float64(len(designDocument(b))), "document-bytes")
}

// BenchmarkRead reads the version that needs the most merges: the last one of a block.
func BenchmarkRead(b *testing.B) {
	m := designMachine(b, 500)
	s := store.New(m, store.NewLocal(m, time.Now), time.Now)
	for b.Loop() {
		if _, err := s.Show(context.Background(), 447); err != nil {
			b.Fatal(err)
		}
	}
}

// syncedLog is a log of one host that appends each command to a file and syncs it, which gives the minimum cost of
// durability. Commands that are queued together share one sync.
type syncedLog struct {
	machine *store.Machine
	file    *os.File
	queue   chan *proposal
}

type proposal struct {
	command *statev1.Command
	done    chan *statev1.Result
}

func newSyncedLog(b *testing.B, m *store.Machine) *syncedLog {
	file, err := os.Create(filepath.Join(b.TempDir(), "log"))
	qt.Assert(b, err, qt.IsNil)
	s := &syncedLog{machine: m, file: file, queue: make(chan *proposal, 1024)}
	go s.run()
	b.Cleanup(func() { close(s.queue) })
	return s
}

func (s *syncedLog) run() {
	index := uint64(0)
	for first := range s.queue {
		batch := []*proposal{first}
		for len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		for _, p := range batch {
			data, err := proto.Marshal(p.command)
			if err == nil {
				_, err = s.file.Write(data)
			}
			if err != nil {
				panic(err)
			}
		}
		if err := s.file.Sync(); err != nil {
			panic(err)
		}
		for _, p := range batch {
			index++
			p.done <- s.machine.Apply(index, p.command)
		}
	}
}

func (s *syncedLog) Propose(_ context.Context, command *statev1.Command) (*statev1.Result, error) {
	s.machine.Stamp(command, time.Now())
	p := &proposal{command: command, done: make(chan *statev1.Result, 1)}
	s.queue <- p
	return <-p.done, nil
}

func (*syncedLog) Barrier(context.Context) error { return nil }

// memoryLedger models the alternative design of one owner per key: an entry in the memory of one host, which is lost
// when that host fails.
type memoryLedger struct {
	mu   sync.Mutex
	keys map[string]*callerv1.QueryResponse
}

func (o *memoryLedger) begin(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.keys[key]
	o.keys[key] = nil
	return !ok
}

func (o *memoryLedger) finish(key string, r *callerv1.QueryResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys[key] = r
}

// confirmation returns a typical stored response: three shards of 40 bytes each.
func confirmation() *callerv1.QueryResponse {
	r := &callerv1.QueryResponse{Outcome: callerv1.Outcome_OUTCOME_WHOLE, Coverage: &callerv1.Coverage{Answered: 3, Total: 3}, Snapshot: 7, Version: 9, Host: "entry-001", Center: "center-1"}
	for shard := range uint32(3) {
		r.Parts = append(r.Parts, &callerv1.Part{Shard: shard, Body: make([]byte, 40)})
	}
	return r
}

func beginAndFinish(b *testing.B, s *store.Store, key string) {
	issued := timestamppb.New(time.Now())
	r, err := s.Begin(context.Background(), &statev1.Begin{Tenant: "port", Key: key, Attempt: "entry-001/1700000000000000000/s1", Issued: issued})
	if err != nil || !r.GetRun() {
		b.Errorf("begin: %v %v", r, err)
	}
	f := &statev1.Finish{Tenant: "port", Key: key, Attempt: "entry-001/1700000000000000000/s1", Response: confirmation()}
	if _, err := s.Finish(context.Background(), f); err != nil {
		b.Error(err)
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	unbounded := func() *store.Machine {
		return store.NewMachine(store.WithLedger(registrar.New(registrar.WithBytes(8 << 30))))
	}
	b.Run("owner", func(b *testing.B) {
		o := &memoryLedger{keys: make(map[string]*callerv1.QueryResponse)}
		for i := 0; b.Loop(); i++ {
			key := fmt.Sprintf("key-%032d", i)
			o.begin(key)
			o.finish(key, confirmation())
		}
	})
	b.Run("machine", func(b *testing.B) {
		m := unbounded()
		s := store.New(m, store.NewLocal(m, time.Now), time.Now)
		for i := 0; b.Loop(); i++ {
			beginAndFinish(b, s, fmt.Sprintf("key-%032d", i))
		}
	})
	b.Run("synced", func(b *testing.B) {
		m := unbounded()
		s := store.New(m, newSyncedLog(b, m), time.Now)
		for i := 0; b.Loop(); i++ {
			beginAndFinish(b, s, fmt.Sprintf("key-%032d", i))
		}
	})
	b.Run("synced-64-at-once", func(b *testing.B) {
		m := unbounded()
		s := store.New(m, newSyncedLog(b, m), time.Now)
		var mu sync.Mutex
		n := 0
		b.SetParallelism(max(1, 64/runtime.GOMAXPROCS(0)))
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				mu.Lock()
				n++
				key := fmt.Sprintf("key-%032d", n)
				mu.Unlock()
				beginAndFinish(b, s, key)
			}
		})
	})
}

// BenchmarkLedgerMemory fills a ledger to its default size limit.
func BenchmarkLedgerMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := registrar.New()
		n := 0
		for ; ; n++ {
			key := fmt.Sprintf("key-%032d", n)
			if !l.Begin(&statev1.Begin{Tenant: "port", Key: key, Attempt: fmt.Sprintf("entry-001/1700000000000000000/s%d", n), Issued: timestamppb.New(start)}, start).GetRun() {
				break
			}
			l.Finish(&statev1.Finish{Tenant: "port", Key: key, Attempt: fmt.Sprintf("entry-001/1700000000000000000/s%d", n), Response: confirmation()}, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(n), "keys")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/key")
		b.ReportMetric(float64(l.Size())/float64(n), "counted-bytes/key")
		runtime.KeepAlive(l)
	}
}

// BenchmarkLedgerSnapshot takes and restores a snapshot of a ledger at its default size limit.
func BenchmarkLedgerSnapshot(b *testing.B) {
	m := store.NewMachine()
	for n := range 118000 {
		begin := &statev1.Begin{Tenant: "port", Key: fmt.Sprintf("key-%032d", n), Attempt: fmt.Sprintf("entry-001/1700000000000000000/s%d", n), Issued: timestamppb.New(start)}
		finish := &statev1.Finish{Tenant: "port", Key: begin.GetKey(), Attempt: begin.GetAttempt(), Response: confirmation()}
		m.Apply(1, &statev1.Command{Time: timestamppb.New(start), Kind: &statev1.Command_Begin{Begin: begin}})
		m.Apply(1, &statev1.Command{Time: timestamppb.New(start), Kind: &statev1.Command_Finish{Finish: finish}})
	}
	data, err := m.Snapshot()
	qt.Assert(b, err, qt.IsNil)
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			_, err = m.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			err = store.NewMachine().Restore(1, data)
		}
	})
	qt.Assert(b, err, qt.IsNil)
}

// BenchmarkConfigurationMemory measures the memory for the default number of versions of the design document.
func BenchmarkConfigurationMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := designMachine(b, configurator.DefaultVersions)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(m)
	}
}
