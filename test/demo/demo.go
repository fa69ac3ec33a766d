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

// Parameters of the demo.
const (
	nodes  = 5
	shards = 32
	// keysPerShard and loadInterval keep each key's request rate below the one at
	// which the key is pinned separately from its shard.
	keysPerShard  = 3
	loadInterval  = 300 * time.Millisecond
	slots         = 20
	work          = 5 * time.Millisecond
	service       = "painel"
	firstCustomer = "padaria-sul"
)

// Bounds that the demo checks.
const (
	// joinTimeout bounds the time until all nodes serve shards.
	joinTimeout = 20 * time.Second
	// unavailableBound is how long a lost owner's keys may be unserved.
	unavailableBound = 3 * time.Second
	// stopBound is how long a planned stop may take.
	stopBound = 15 * time.Second
	// callTimeout bounds one request of a caller.
	callTimeout = 10 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// demo is the state shared by the steps.
type demo struct {
	ctx    context.Context
	dir    string
	cli    commandLine
	bin    *harness.Binaries
	fleet  *harness.Fleet
	client *http.Client
	keys   []string
	// owners maps each key to its owner's caller address, as named in answers.
	owners   map[string]string
	lostNode *harness.Node
	// lostKey is a key that lostNode owned.
	lostKey string
	// attempts are all attempts of callers, for checkHistory.
	attempts []harness.Attempt
	// lastStatus is the most recent fleet status.
	lastStatus fleetStatus
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

// shutDown kills all processes and checks that none is left.
func (d *demo) shutDown() error {
	if d.fleet == nil {
		return nil
	}
	processes := d.processes()
	d.fleet.Stop()
	for _, p := range processes {
		// Signal 0 only checks whether the process group still exists.
		if err := syscall.Kill(-p.Pid(), 0); !errors.Is(err, syscall.ESRCH) {
			return fmt.Errorf("process group %d (%s) still exists", p.Pid(), p.Name)
		}
	}
	return nil
}

// processes returns the started processes of the fleet.
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

// await polls until holds returns nil; its last error is part of the timeout
// error.
func (d *demo) await(what string, timeout time.Duration, holds func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not reached within %s: %w", what, timeout, err)
		}
		select {
		case <-d.ctx.Done():
			return fmt.Errorf("%s: interrupted", what)
		case <-time.After(pollInterval):
		}
	}
}

// node returns the node with the given caller address, or nil.
func (d *demo) node(callerAddr string) *harness.Node {
	for _, n := range d.fleet.Nodes {
		if n.CallerAddr == callerAddr {
			return n
		}
	}
	return nil
}
