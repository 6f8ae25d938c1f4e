package eventer

import (
	"flag"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueCapacity is the maximum number of lines that are buffered while the writer is blocked.
const queueCapacity = 1024

// Output writes log lines to a writer asynchronously. Write never blocks: when the writer is too slow and the queue is
// full, lines are dropped and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	// stop is closed by Close; done is closed when all queued lines have been written.
	stop, done chan struct{}
}

// NewOutput returns an output and starts the goroutine that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go o.run(w)
	return o
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for {
		select {
		case line := <-o.lines:
			o.writeLine(w, line)
		case <-o.stop:
			o.drain(w)
			return
		}
	}
}

// drain writes the lines that are still queued.
func (o *Output) drain(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			o.writeLine(w, line)
		default:
			return
		}
	}
}

func (o *Output) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		o.dropped.Add(1)
	}
}

// Write queues one line, or drops and counts it when the queue is full.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (o *Output) Dropped() uint64 {
	return o.dropped.Load()
}

// Close writes the queued lines and stops the output. Requests may still end while the process stops, so later calls
// of Write are permitted, but their lines are lost.
func (o *Output) Close() {
	close(o.stop)
	<-o.done
}

// SetOutput makes klog write all events to w, one structured line each.
func SetOutput(w io.Writer) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // Cannot fail: these flags exist in klog.
	}
	klog.SetOutput(w)
}
