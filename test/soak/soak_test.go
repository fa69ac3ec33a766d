// Package soak runs fleets of real processes under random faults from outside
// and judges them by what callers and backends saw.
package soak

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	first    = flag.Int64("first", 1, "first seed")
	count    = flag.Int64("count", 1, "number of seeds")
	machines = flag.Int("machines", 5, "machines of a fleet")
	lasts    = flag.Duration("lasts", 12*time.Second, "time in which faults begin")
	keep     = flag.String("keep", "", "directory that keeps the logs of each seed")
	program  = flag.String("program", "", "binary to play in place of the one built from this tree")
)

// binary is the program that is played.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	binary = *program
	if binary != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "fulmarhinge")
	if out, err := exec.Command("go", "build", "-o", binary, "fulmarhinge/cmd/fulmarhinge").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// regressions are seeds that failed once, with the cause.
var regressions = map[int64]string{}

// TestSoak plays the seeds that the flags name and those that failed once.
func TestSoak(t *testing.T) {
	seeds := []int64{}
	for seed := *first; seed < *first+*count; seed++ {
		seeds = append(seeds, seed)
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// planned is a fault of a play; the seed decides all of them.
type planned struct {
	fault   *fault
	at      time.Duration
	lasts   time.Duration
	machine int
}

// plan draws series of faults that overlap.
func plan(rng *rand.Rand, machines int) []planned {
	var out []planned
	at := time.Duration(0)
	for at < *lasts {
		series := 1 + rng.Intn(3)
		for range series {
			out = append(out, planned{fault: &faults[rng.Intn(len(faults))], at: at, lasts: span(rng), machine: rng.Intn(machines)})
			at += time.Duration(rng.Intn(300)) * time.Millisecond
		}
		at += time.Duration(300+rng.Intn(1700)) * time.Millisecond
	}
	return out
}

// span draws how long a fault lasts: often less than a lease, at times far more.
func span(rng *rand.Rand) time.Duration {
	ms := 200 + rng.Intn(3800)
	if rng.Intn(4) == 0 {
		ms = 4000 + rng.Intn(6000)
	}
	return time.Duration(ms) * time.Millisecond
}

func play(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	schedule := plan(rng, *machines)
	f := newFleet(t, seed, *machines)
	f.recovered(seed, "the start")

	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, m := range f.machines {
		for n := range callersEach {
			callers.Add(1)
			go f.call(m, n, seed*1000+int64(i*callersEach+n), stop, &callers)
		}
	}
	f.inject(schedule, rng)
	f.recovered(seed, "the last fault")
	f.configInForce()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	f.judge.budget(retryRatio, retryExtra, retryWindowS)
	f.stop()

	t.Logf("seed %d: outcomes by status %v", seed, f.judge.outcomes)
	for _, p := range f.judge.problems {
		t.Errorf("seed %d: %s", seed, p)
	}
	if t.Failed() {
		f.show(schedule)
	}
}

// inject begins and ends the planned faults, one step at a time.
func (f *fleet) inject(schedule []planned, rng *rand.Rand) {
	type step struct {
		at  time.Time
		run func()
	}
	begun := time.Now()
	var steps []step
	for _, p := range schedule {
		steps = append(steps, step{at: begun.Add(p.at), run: func() {
			m := f.machines[p.machine]
			if end := p.fault.begin(f, m, rng); end != nil {
				steps = append(steps, step{at: time.Now().Add(p.lasts), run: end})
			}
		}})
	}
	for len(steps) > 0 {
		next := 0
		for i := range steps {
			if steps[i].at.Before(steps[next].at) {
				next = i
			}
		}
		if wait := time.Until(steps[next].at); wait > 0 {
			time.Sleep(min(wait, 100*time.Millisecond))
			for _, m := range f.machines {
				if m.up() {
					f.watchConfig(m)
				}
			}
			continue
		}
		run := steps[next].run
		steps = append(steps[:next], steps[next+1:]...)
		run()
	}
}

// recovered waits until all is served.
func (f *fleet) recovered(seed int64, after string) {
	begun := time.Now()
	for round := 0; ; round++ {
		missing := f.served(int(time.Since(f.judge.begun).Milliseconds()))
		if len(missing) == 0 {
			f.t.Logf("seed %d: all served %v after %s", seed, time.Since(begun).Round(time.Millisecond), after)
			return
		}
		if time.Since(begun) > recoveryS*time.Second {
			f.judge.complain("%d s after %s: %v", recoveryS, after, missing)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configInForce changes the configuration once more and checks that every node
// serves it in time.
func (f *fleet) configInForce() {
	f.changeConfig()
	want := uint64(f.revision.Load())
	begun := time.Now()
	for _, m := range f.machines {
		for m.config < want && time.Since(begun) < configApplyS*time.Second {
			f.watchConfig(m)
			time.Sleep(20 * time.Millisecond)
		}
		if m.config < want {
			f.judge.complain("%s has configuration %d; %d was accepted %v ago", m.name, m.config, want, time.Since(begun))
		}
	}
}

// show prints the schedule of a failed play.
func (f *fleet) show(schedule []planned) {
	for _, p := range schedule {
		f.t.Logf("%8v %-22s n%d for %v", p.at, p.fault.name, p.machine, p.lasts)
	}
	f.t.Logf("logs in %s with -keep", f.dir)
}
