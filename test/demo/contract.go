package main

import (
	"fmt"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/result"
	"fulmarhinge/test/fault/harness"
)

// inForceBound is how long an accepted change may take until it is in force on
// every node.
const inForceBound = 4 * time.Second

// newcomer is a customer that gets its first contract in the demo.
const newcomer = "alfaiate-9"

// editContract makes a contract while nodes serve, and edits one from an
// outdated version.
func (d *demo) editContract() error {
	if err := d.askAll("before", harness.NotRun, result.UnknownCustomer); err != nil {
		return err
	}
	began := time.Now()
	if err := d.cli.mustSet("contract", newcomer, 0, terms(newcomer), "--wait"); err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Printf("   contract of %s accepted and in force on every node after %s; bound %s\n", newcomer, round(took), inForceBound)
	if took > inForceBound {
		return fmt.Errorf("the change took %s", took)
	}
	if err := d.askAll("after", harness.Answered, result.OK); err != nil {
		return err
	}
	if err := d.raceEdits(); err != nil {
		return err
	}
	return d.sameRevision()
}

// askAll sends a request of the newcomer to every node.
func (d *demo) askAll(when string, class harness.Class, code result.Code) error {
	for _, n := range d.fleet.Nodes {
		a := d.send(n.CallerAddr, call("new-"+when+"-"+n.Name, newcomer, d.keys[0], 0))
		d.attempts = append(d.attempts, a)
		if a.Class != class || result.Code(a.Code) != code {
			return fmt.Errorf("%s at %s, %s the change: %s %d %s", newcomer, n.Name, when, a.Class, a.Code, a.Detail)
		}
	}
	fmt.Printf("   %s the change, every node answers %s with %d\n", when, newcomer, code)
	return nil
}

// raceEdits lets two operators edit one version of a contract.
func (d *demo) raceEdits() error {
	var read config.Item[contract.Contract]
	if err := d.cli.json(&read, "contract", "get", shop); err != nil {
		return err
	}
	edit := func(rate float64) (string, result.ExitCode, error) {
		c := terms(shop)
		c.Total.Rate = rate
		return d.cli.set("contract", shop, read.Version, c, "--wait")
	}
	if out, code, err := edit(6000); err != nil || code != result.ExitOK {
		return fmt.Errorf("first operator: exit code %d: %s %v", code, out, err)
	}
	out, code, err := edit(7000)
	if err != nil || code != result.ExitConflict {
		return fmt.Errorf("second operator: exit code %d instead of %d: %s %v", code, result.ExitConflict, out, err)
	}
	fmt.Printf("   second operator, who edited version %d as well, got exit code %d\n", read.Version, code)
	var now config.Item[contract.Contract]
	if err := d.cli.json(&now, "contract", "get", shop); err != nil {
		return err
	}
	if now.Value.Total.Rate != 6000 {
		return fmt.Errorf("the rate is %v instead of the first operator's 6000", now.Value.Total.Rate)
	}
	return nil
}

// sameRevision checks that every node applies the newest revision.
func (d *demo) sameRevision() error {
	if err := d.cli.json(&d.last, "status"); err != nil {
		return err
	}
	for _, n := range d.last.Nodes {
		if n.RevisionInForce != d.last.Revision {
			return fmt.Errorf("%s applies revision %d instead of %d", n.Name, n.RevisionInForce, d.last.Revision)
		}
	}
	fmt.Printf("   revision %d is in force on %d nodes\n", d.last.Revision, len(d.last.Nodes))
	return nil
}
