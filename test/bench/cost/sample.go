package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// totals are the counters of a whole fleet at one time.
type totals struct {
	cpu             []time.Duration
	memoryBytes     float64
	controlBytes    float64
	controlMessages float64
	calls           platform.Counts
}

func sample(f *harness.Fleet) (totals, error) {
	var t totals
	for _, n := range f.Nodes {
		cpu, err := processorTime(n.Node.Pid())
		if err != nil {
			return t, err
		}
		t.cpu = append(t.cpu, cpu)
		m, err := scrape(n.OperatorAddr)
		if err != nil {
			return t, err
		}
		t.controlBytes += m["fulmarhinge_control_bytes_sent"] + m["fulmarhinge_control_bytes_received"]
		t.controlMessages += m["fulmarhinge_control_messages_sent"] + m["fulmarhinge_control_messages_received"]
		t.memoryBytes += m["process_resident_memory_bytes"]
	}
	var err error
	t.calls, err = f.PlatformCounts()
	return t, err
}

// since returns the rates between two samples.
func (t totals) since(old totals, d time.Duration) Row {
	n := float64(len(t.cpu))
	r := Row{
		Nodes:           len(t.cpu),
		MemoryMB:        t.memoryBytes / n / (1 << 20),
		BytesPerSecond:  (t.controlBytes - old.controlBytes) / n / d.Seconds(),
		MessagesPerSec:  (t.controlMessages - old.controlMessages) / n / d.Seconds(),
		PlatformReads:   float64(t.calls.Get+t.calls.List-old.calls.Get-old.calls.List) / d.Seconds(),
		PlatformWrites:  float64(t.calls.Put-old.calls.Put) / d.Seconds(),
		PlatformWatches: float64(t.calls.WatchWaiting),
		JoinWrites:      float64(old.calls.Put) / n,
	}
	for i := range t.cpu {
		percent := 100 * (t.cpu[i] - old.cpu[i]).Seconds() / d.Seconds()
		r.CPUPercent += percent / n
		r.MaxCPUPercent = max(r.MaxCPUPercent, percent)
	}
	return r
}

// processorTime returns the user and system CPU time of a process.
func processorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces. User and system time
	// are the 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	var ticks int64
	for _, f := range fields[11:13] {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += v
	}
	return time.Duration(ticks) * clockTick, nil
}

// scrape returns the metrics of a node by name.
func scrape(operator string) (map[string]float64, error) {
	resp, err := http.Get("http://" + operator + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}
