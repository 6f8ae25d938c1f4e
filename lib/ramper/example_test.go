package ramper_test

import (
	"fmt"
	"time"

	"lycheelift.example/lib/ramper"
)

// A leaf that is new to its owner starts with one call at a time and gets more after good replies.
func Example() {
	now := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	r := ramper.New(2, now)
	fmt.Println(r.Allowance())
	r.Announce(false, now)
	for range 64 {
		now = now.Add(100 * time.Millisecond)
		r.Finish(ramper.Good, time.Millisecond, 1, now)
	}
	fmt.Println(r.Allowance())
	// Output:
	// 1
	// 2
}
