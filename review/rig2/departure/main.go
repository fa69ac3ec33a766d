//go:build review

// Command departure plays a kill of all nodes right after the acknowledgement of a
// deregistration.
package main

import (
	"syscall"
	"time"

	"fulmarhinge/review/rig2"
	"fulmarhinge/review/rig2/leaving"
)

const (
	// down is how long the processes are down: between 0.81 and 1.6 s on the days of the site.
	down = time.Second
	// servesFor is how long the backend server serves after its deregistration.
	servesFor = 14 * time.Second
)

func main() {
	rig2.Main(func(r *rig2.Rig) int { return leaving.Play(r, true, servesFor, killAll) })
}

func killAll(f *leaving.Fleet) time.Time {
	for _, m := range f.Machines {
		m.Signal(syscall.SIGKILL)
	}
	f.Logf("all nodes were killed %v after the acknowledgement", time.Since(f.Acked))
	time.Sleep(down)
	for _, m := range f.Machines {
		m.Kill()
		m.Start()
	}
	f.Logf("all nodes were started again")
	return time.Now().Add(leaving.StabilityS)
}
