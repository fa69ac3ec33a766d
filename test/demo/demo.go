package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/test/fault/harness"
)

// Sizes of the demo.
const (
	nodes  = 5
	shards = 32
	// keysPerShard and loadInterval keep every key below the rate at which it
	// is pinned apart from its shard.
	keysPerShard = 3
	loadInterval = 300 * time.Millisecond
	slots        = 20
	work         = 5 * time.Millisecond
	service      = "painel"
	shop         = "padaria-sul"
)

// Bounds that the demo checks.
const (
	// joinTimeout bounds the time until all nodes serve.
	joinTimeout = 20 * time.Second
	// unavailableBound is how long a lost owner's key may go unserved.
	unavailableBound = 3 * time.Second
	// stopBound is how long a planned stop may take.
	stopBound = 15 * time.Second
	// callTimeout bounds one request of a caller.
	callTimeout = 10 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 50 * time.Millisecond
)

// demo is the state that the steps share.
type demo struct {
	ctx    context.Context
	dir    string
	cli    commandLine
	bin    *harness.Binaries
	fleet  *harness.Fleet
	client *http.Client
	keys   []string
	// owners are the owners' caller addresses by key, as last answered.
	owners map[string]string
	lost   *harness.Node
	// lostKey is a key that the lost node owned.
	lostKey string
	// attempts are all that callers sent, for the judge.
	attempts []harness.Attempt
	// last is the newest status.
	last fleetStatus
}

func newDemo(ctx context.Context, bin string) (*demo, error) {
	dir, err := os.MkdirTemp("", "fulmarhinge-demo-")
	if err != nil {
		return nil, err
	}
	return &demo{
		ctx: ctx, dir: dir, bin: harness.Prebuilt(bin), client: harness.NewClient(),
		keys: harness.ShardKeys(shards, keysPerShard), owners: map[string]string{},
	}, nil
}

func (d *demo) startFleet() error {
	var err error
	d.fleet, err = harness.Start(harness.Options{
		Dir: d.dir, Binaries: d.bin, Zones: []string{"zone-a", "zone-b", "zone-c"}, Nodes: nodes,
		Service: config.Service{Name: service, DividedByKey: true, Shards: shards, ChecksFence: true},
		Slots:   slots, Work: work, Unconfigured: true,
	})
	if err != nil {
		return err
	}
	d.cli = commandLine{ctx: d.ctx, path: d.bin.Path("fulmarhinge"), platform: d.fleet.PlatformURL(), dir: d.dir}
	for _, n := range d.fleet.Nodes {
		fmt.Printf("   %s in %s: callers %s, operators %s\n", n.Name, n.Zone, n.CallerAddr, n.OperatorAddr)
	}
	return nil
}

// end stops every process and makes sure that none is left.
func (d *demo) end() error {
	if d.fleet == nil {
		return nil
	}
	processes := d.processes()
	d.fleet.Stop()
	for _, p := range processes {
		// Signal 0 asks whether anything of the process group is there.
		if err := syscall.Kill(-p.Pid(), 0); !errors.Is(err, syscall.ESRCH) {
			return fmt.Errorf("process group %d (%s) is still there", p.Pid(), p.Name)
		}
	}
	return nil
}

// processes lists what the fleet runs now.
func (d *demo) processes() []*harness.Process {
	all := []*harness.Process{d.fleet.Platform, d.fleet.Relay}
	for _, n := range d.fleet.Nodes {
		all = append(all, n.Node, n.Backend)
	}
	var started []*harness.Process
	for _, p := range all {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// await polls until a condition holds; the last reason goes into the error.
func (d *demo) await(what string, timeout time.Duration, holds func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s: %w", what, timeout, err)
		}
		select {
		case <-d.ctx.Done():
			return fmt.Errorf("%s: interrupted", what)
		case <-time.After(pollInterval):
		}
	}
}

// node returns the node with a caller address.
func (d *demo) node(callerAddr string) *harness.Node {
	for _, n := range d.fleet.Nodes {
		if n.CallerAddr == callerAddr {
			return n
		}
	}
	return nil
}
