package eventer_test

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/eventer"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	lines   int
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.lines++
	return len(line), nil
}

// Guards against requests that block because nothing reads the log output, and against a log queue that grows without
// bound.
func TestBlockedOutputDropsLinesAndNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	o := eventer.NewOutput(s)
	const lines = 5000
	for range lines {
		_, err := o.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	close(s.release)
	o.Close()
	qt.Assert(t, uint64(s.lines)+o.Dropped(), qt.Equals, uint64(lines))
	qt.Assert(t, o.Dropped() > 0, qt.IsTrue)
}

// Guards against a crash during shutdown when a request ends and is logged after the output was closed (found in a
// soak test, seed 104).
func TestLinesAfterCloseAreDropped(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	close(s.release)
	o := eventer.NewOutput(s)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				_, err := o.Write([]byte("line\n"))
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	o.Close()
	writers.Wait()
	_, err := o.Write([]byte("late\n"))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against events that span several lines, as joined errors do: a line-based log reader would miss all but the
// first line.
func TestEventIsOneLine(t *testing.T) {
	var log bytes.Buffer
	output := eventer.NewOutput(&log)
	eventer.SetOutput(output)
	now := time.Unix(1000, 0)
	joined := errors.Join(errors.New("unreachable"), errors.New("refused"))
	eventer.RequestFailed.Log(now, "error", joined, "text", joined.Error(), "number", 7)
	output.Close()
	qt.Assert(t, strings.Count(log.String(), "\n"), qt.Equals, 1)
	qt.Assert(t, log.String(), qt.Contains, `error="unreachable: refused" text="unreachable: refused" number=7`)
}
