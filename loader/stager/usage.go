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

// Usage holds the resources that the entry hosts have used since their start, summed over all hosts.
type Usage struct {
	At time.Time
	// CPU is the CPU time.
	CPU time.Duration
	// Resident is the largest resident memory of any host, in bytes.
	Resident int64
	// Counters holds the metrics of calls between peers, by metric name with its labels.
	Counters map[string]float64
}

// Usage reads the metrics and the /proc entries of every entry host.
func (d *Deployment) Usage(ctx context.Context) (*Usage, error) {
	out := &Usage{At: time.Now(), Counters: make(map[string]float64)}
	for _, h := range d.Hosts {
		page, err := d.Get(ctx, "http://"+h.CallerAddress+"/metrics")
		if err != nil {
			return nil, err
		}
		out.addPage(page)
		cpu, resident, err := processUsage(h.Pid())
		if err != nil {
			return nil, err
		}
		out.CPU += cpu
		out.Resident = max(out.Resident, resident)
	}
	return out, nil
}

func (u *Usage) addPage(page []byte) {
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

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// processUsage reads the CPU time and the resident memory of a process.
func processUsage(pid int) (time.Duration, int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	// The program name, in parentheses, may contain spaces. The fields after it are numbered from 3.
	const userTimeField, systemTimeField, residentField, firstField = 14, 15, 24, 3
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	field := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i-firstField], 10, 64)
		return n
	}
	return time.Duration(field(userTimeField)+field(systemTimeField)) * clockTick, field(residentField) * int64(os.Getpagesize()), nil
}
