package journaler_test

import (
	"testing"

	"lycheelift.example/lib/journaler"
)

// FuzzFrames guards against damaged files that cause a panic, and against bytes that are neither read nor counted as
// damaged.
func FuzzFrames(f *testing.F) {
	f.Add(journaler.Frame([]byte("answer")))
	f.Add(append([]byte("damage"), journaler.Frame(nil)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		read := 0
		damaged := journaler.Frames(data, func(payload []byte) { read += len(journaler.Frame(payload)) })
		if read+int(damaged) != len(data) {
			t.Fatalf("%d bytes read and %d damaged of %d", read, damaged, len(data))
		}
	})
}
