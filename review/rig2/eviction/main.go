//go:build review

// Command eviction plays a machine that is cut off after its backend server has deregistered, and
// whose node is restarted before the cut heals.
package main

import (
	"syscall"
	"time"

	"fulmarhinge/review/rig2"
	"fulmarhinge/review/rig2/leaving"
)

// Times after the acknowledgement.
const (
	cutAt     = 1500 * time.Millisecond
	killAt    = 6 * time.Second
	startAt   = 6500 * time.Millisecond
	healAt    = 8 * time.Second
	servesFor = 18 * time.Second
)

func main() {
	rig2.Main(func(r *rig2.Rig) int {
		r.Links = true
		return leaving.Play(r, false, servesFor, cutAndRestart)
	})
}

func cutAndRestart(f *leaving.Fleet) time.Time {
	at := func(d time.Duration) { time.Sleep(time.Until(f.Acked.Add(d))) }
	at(cutAt)
	f.Leaving.Cut(true)
	f.Logf("%s is cut off from the store and from all other machines", f.Leaving.Name)
	at(killAt)
	f.Leaving.Signal(syscall.SIGKILL)
	f.Logf("the node of %s was killed", f.Leaving.Name)
	at(startAt)
	f.Leaving.Kill()
	f.Leaving.Start()
	f.Logf("the node of %s was started again", f.Leaving.Name)
	at(healAt)
	f.Leaving.Cut(false)
	f.Logf("the cut of %s has healed", f.Leaving.Name)
	return time.Now().Add(leaving.StabilityS)
}
