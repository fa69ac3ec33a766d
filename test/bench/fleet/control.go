package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// Sizes of the measurement of control.
const (
	controlSettle   = 10 * time.Second
	controlDuration = 20 * time.Second
	// shardsPerNode is the number of shards for each node.
	shardsPerNode = 16
	// ticksPerSecond is the unit of CPU time in /proc, fixed by the kernel.
	ticksPerSecond = 100
)

// controlResult is the cost of control of an idle fleet.
type controlResult struct {
	Nodes int `json:"nodes"`
	// CPUPercent is of one core, the mean over nodes.
	CPUPercent float64 `json:"cpu_percent_per_node"`
	// RSSMean and RSSMax are resident memory in MB.
	RSSMean float64 `json:"rss_mb_mean"`
	RSSMax  float64 `json:"rss_mb_max"`
	// BytesPerSecond is what a node sends to other nodes.
	BytesPerSecond float64 `json:"bytes_per_second_per_node"`
	// Calls of the whole fleet to the platform, a second.
	Reads   float64 `json:"platform_reads_per_second"`
	Writes  float64 `json:"platform_writes_per_second"`
	Watches float64 `json:"platform_watches_waiting"`
	// StartReads and StartWrites are the calls until the fleet was balanced.
	StartReads  uint64 `json:"platform_reads_at_start"`
	StartWrites uint64 `json:"platform_writes_at_start"`
}

// slope is the least-squares line of a value over the number of nodes.
type slope struct {
	Value     string  `json:"value"`
	PerNode   float64 `json:"per_node"`
	Intercept float64 `json:"intercept"`
}

// controlResults are all sizes with the slopes over them.
type controlResults struct {
	Sizes  []controlResult `json:"sizes"`
	Slopes []slope         `json:"slopes"`
}

// measureControl measures idle fleets of several sizes.
func measureControl(binaries *harness.Binaries, o options) (any, error) {
	var all controlResults
	fmt.Printf("\n%6s %8s %9s %8s %10s %9s %9s %8s\n", "nodes", "CPU %", "RSS MB", "max MB", "bytes/s", "reads/s", "writes/s", "watches")
	for _, n := range o.sizes {
		fleetOpts := fleetOptions(binaries, "")
		fleetOpts.Nodes = n
		fleetOpts.Service.Shards = n * shardsPerNode
		var r controlResult
		err := withFleet(fleetOpts, func(f *harness.Fleet) error {
			var err error
			r, err = observe(f)
			return err
		})
		if err != nil {
			return all, fmt.Errorf("%d nodes: %w", n, err)
		}
		all.Sizes = append(all.Sizes, r)
		fmt.Printf("%6d %8.2f %9.1f %8.1f %10.0f %9.1f %9.1f %8.0f\n", r.Nodes, r.CPUPercent, r.RSSMean, r.RSSMax,
			r.BytesPerSecond, r.Reads, r.Writes, r.Watches)
	}
	all.Slopes = slopes(all.Sizes)
	for _, s := range all.Slopes {
		fmt.Printf("%-28s %12.4f a node, %12.4f at none\n", s.Value, s.PerNode, s.Intercept)
	}
	return all, nil
}

// usage is what a fleet has used up to a moment.
type usage struct {
	at       time.Time
	cpuTicks uint64
	bytes    uint64
	counts   platform.Counts
}

func take(f *harness.Fleet) (usage, error) {
	u := usage{at: time.Now()}
	for _, n := range f.Nodes {
		ticks, err := cpuTicks(n.Node.Pid())
		if err != nil {
			return u, err
		}
		u.cpuTicks += ticks
	}
	var err error
	if u.bytes, err = f.PeerBytes(); err != nil {
		return u, err
	}
	u.counts, err = f.PlatformCounts()
	return u, err
}

// observe compares the use at two moments.
func observe(f *harness.Fleet) (controlResult, error) {
	r := controlResult{Nodes: len(f.Nodes)}
	counts, err := f.PlatformCounts()
	if err != nil {
		return r, err
	}
	r.StartReads = counts.Get + counts.List
	r.StartWrites = counts.Put + counts.Delete
	time.Sleep(controlSettle)
	before, err := take(f)
	if err != nil {
		return r, err
	}
	time.Sleep(controlDuration)
	after, err := take(f)
	if err != nil {
		return r, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(f.Nodes))
	r.CPUPercent = 100 * float64(after.cpuTicks-before.cpuTicks) / ticksPerSecond / seconds / nodes
	r.BytesPerSecond = float64(after.bytes-before.bytes) / seconds / nodes
	r.Reads = float64(after.counts.Get+after.counts.List-before.counts.Get-before.counts.List) / seconds
	r.Writes = float64(after.counts.Put+after.counts.Delete-before.counts.Put-before.counts.Delete) / seconds
	r.Watches = float64(after.counts.WatchWaiting)
	for _, n := range f.Nodes {
		mb, err := residentMB(n.Node.Pid())
		if err != nil {
			return r, err
		}
		r.RSSMean += mb / nodes
		r.RSSMax = max(r.RSSMax, mb)
	}
	return r, nil
}

// cpuTicks returns the user and system time of a process.
func cpuTicks(pid int) (uint64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the name, which is in parentheses, start with the third.
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 14 - 3, 15 - 3
	user, err := strconv.ParseUint(fields[userField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseUint(fields[systemField], 10, 64)
	return user + system, err
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseUint(strings.Fields(string(b))[1], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20), err
}

// slopes fits lines over the sizes.
func slopes(results []controlResult) []slope {
	values := []struct {
		name string
		of   func(controlResult) float64
	}{
		{"CPU % of a core, each node", func(r controlResult) float64 { return r.CPUPercent }},
		{"RSS MB, each node", func(r controlResult) float64 { return r.RSSMean }},
		{"bytes/s, each node", func(r controlResult) float64 { return r.BytesPerSecond }},
		{"platform reads/s, fleet", func(r controlResult) float64 { return r.Reads }},
		{"platform writes/s, fleet", func(r controlResult) float64 { return r.Writes }},
		{"platform watches, fleet", func(r controlResult) float64 { return r.Watches }},
	}
	var out []slope
	for _, v := range values {
		var n, sx, sy, sxx, sxy float64
		for _, r := range results {
			x, y := float64(r.Nodes), v.of(r)
			n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		s := slope{Value: v.name}
		if d := n*sxx - sx*sx; d != 0 {
			s.PerNode = (n*sxy - sx*sy) / d
			s.Intercept = (sy - s.PerNode*sx) / n
		}
		out = append(out, s)
	}
	return out
}
