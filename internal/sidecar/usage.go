package sidecar

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// processUsage is what the process has used since its start.
type processUsage struct {
	cpu        time.Duration
	gcCycles   uint64
	allocated  uint64
	goroutines uint64
}

// readUsage returns what the process has used; cpu is 0 if the system does not tell.
func readUsage() processUsage {
	samples := []metrics.Sample{
		{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/allocs:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	u := processUsage{gcCycles: samples[0].Value.Uint64(), allocated: samples[1].Value.Uint64(), goroutines: samples[2].Value.Uint64()}
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}

// logArgs returns the arguments of a log line on what was used since an earlier reading.
func (u processUsage) logArgs(since processUsage) []any {
	return []any{"cpu_ms", (u.cpu - since.cpu).Milliseconds(), "gc_cycles", u.gcCycles - since.gcCycles,
		"allocated_kb", (u.allocated - since.allocated) >> 10, "goroutines", u.goroutines}
}
