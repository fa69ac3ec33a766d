// Command demo demonstrates fulmarhinge on one machine: it starts a small fleet
// of processes in three availability zones, sends requests by key, kills an owner,
// makes planned stops of nodes, edits contracts, and prints the status and the
// timeline. Every step checks its own result. All processes are stopped at the
// end.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the built programs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	if err := run(ctx, *bin); err != nil {
		fmt.Println("demo: FAILED:", err)
		os.Exit(1)
	}
}

// step is one step of the demo; run returns an error if its check fails.
type step struct {
	title string
	run   func(*demo) error
}

var steps = []step{
	{"start a platform stand-in, 3 zones, 5 nodes and 5 backend servers", (*demo).startFleet},
	{"configure a service, a route and a contract with the command line", (*demo).configure},
	{"every shard gets an owner", (*demo).awaitServing},
	{"serve every key through every node", (*demo).serveEverywhere},
	{"kill -9 an owner (node and backend server) under load", (*demo).killOwner},
	{"restart the lost VM: a new incarnation joins", (*demo).restartLost},
	{"planned stop by SIGTERM with requests in flight", (*demo).stopBySignal},
	{"planned stop by \"fulmarhinge drain\" with requests in flight", (*demo).stopByDrain},
	{"edit contracts: in force on every node, and a second operator gets a conflict", (*demo).editContract},
	{"status and merged timeline", (*demo).showStatus},
	{"check the run logs of the backend servers for violations", (*demo).checkHistory},
}

// run runs the steps and stops all processes, also after an error.
func run(ctx context.Context, bin string) error {
	started := time.Now()
	d, err := newDemo(ctx, bin)
	if err != nil {
		return err
	}
	err = d.runSteps()
	if err != nil {
		d.saveTimeline()
	}
	if endErr := d.shutDown(); err == nil {
		err = endErr
	}
	if err != nil {
		fmt.Println("demo: logs are kept in", d.dir)
		return err
	}
	fmt.Printf("\ndemo: ok: %d steps in %s; nothing is left running\n", len(steps), time.Since(started).Round(time.Millisecond))
	return os.RemoveAll(d.dir)
}

func (d *demo) runSteps() error {
	for i, s := range steps {
		if d.ctx.Err() != nil {
			return fmt.Errorf("interrupted before step %d", i+1)
		}
		fmt.Printf("\n%d. %s\n", i+1, s.title)
		began := time.Now()
		if err := s.run(d); err != nil {
			return fmt.Errorf("step %d (%s): %w", i+1, s.title, err)
		}
		fmt.Printf("   ok (%s)\n", time.Since(began).Round(time.Millisecond))
	}
	return nil
}
