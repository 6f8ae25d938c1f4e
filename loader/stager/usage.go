package stager

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Usage is what entry hosts have used since their start, summed over all of them.
type Usage struct {
	At time.Time
	// CPU is the processor time.
	CPU time.Duration
	// Resident is the memory of the largest host, in bytes.
	Resident int64
	// Counters are the metrics of peers, by name and method.
	Counters map[string]float64
}

// Usage reads the usage of every entry host.
func (d *Deployment) Usage(ctx context.Context) (*Usage, error) {
	out := &Usage{At: time.Now(), Counters: make(map[string]float64)}
	for _, h := range d.Hosts {
		page, err := d.Get(ctx, "http://"+h.Callers+"/metrics")
		if err != nil {
			return nil, err
		}
		out.add(page)
		cpu, resident, err := processUsage(h.Pid())
		if err != nil {
			return nil, err
		}
		out.CPU += cpu
		out.Resident = max(out.Resident, resident)
	}
	return out, nil
}

func (u *Usage) add(page []byte) {
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, "lycheelift_entry_peer_") {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			u.Counters[strings.TrimPrefix(name, "lycheelift_entry_")] += n
		}
	}
}

// tickLength is the unit of processor times in /proc on Linux.
const tickLength = 10 * time.Millisecond

// processUsage reads the processor time and the resident memory of a process.
func processUsage(pid int) (time.Duration, int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	// The name of the program, in parentheses, may hold spaces; the fields after it are numbered from 3.
	const user, system, resident, first = 14, 15, 24, 3
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i-first], 10, 64)
		return n
	}
	return time.Duration(number(user)+number(system)) * tickLength, number(resident) * int64(os.Getpagesize()), nil
}
