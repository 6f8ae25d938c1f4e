package eventer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/eventer"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	lines   int
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	s.lines++
	return len(line), nil
}

// Guards against requests that wait because nobody reads the log, and against a log that grows without bound.
func TestBlockedOutputDropsLinesAndNeverBlocks(t *testing.T) {
	s := &stuck{release: make(chan struct{})}
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
