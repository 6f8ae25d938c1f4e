package eventer

import (
	"flag"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueLength is the number of lines that wait while the output does not take them.
const queueLength = 1024

// Output passes log lines on to a writer. It never blocks: lines are dropped and counted while the writer is slow.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	// stop is closed by Close, and done when everything has been written.
	stop, done chan struct{}
}

// NewOutput starts to write to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, queueLength), stop: make(chan struct{}), done: make(chan struct{})}
	go o.run(w)
	return o
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for {
		select {
		case line := <-o.lines:
			o.put(w, line)
		case <-o.stop:
			o.drain(w)
			return
		}
	}
}

// drain writes what waits.
func (o *Output) drain(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			o.put(w, line)
		default:
			return
		}
	}
}

func (o *Output) put(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		o.dropped.Add(1)
	}
}

// Write takes one line.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost.
func (o *Output) Dropped() uint64 {
	return o.dropped.Load()
}

// Close writes what waits. Later lines are lost: requests may still end while the process stops.
func (o *Output) Close() {
	close(o.stop)
	<-o.done
}

// Direct sends all events to a writer, one structured line each.
func Direct(w io.Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // The names are klog's own.
	}
	klog.SetOutput(w)
}
