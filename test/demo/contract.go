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

// newCustomer is a customer without a contract at the start of the demo.
const newCustomer = "alfaiate-9"

// editContract adds a contract while the nodes serve, and checks that an edit of
// an outdated version is refused.
func (d *demo) editContract() error {
	if err := d.checkEveryNode("before", harness.NotRun, result.UnknownCustomer); err != nil {
		return err
	}
	began := time.Now()
	if err := d.cli.mustSet("contract", newCustomer, 0, contractFor(newCustomer), "--wait"); err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Printf("   contract of %s in force on every node %s after its submission; bound %s\n",
		newCustomer, round(took), inForceBound)
	if took > inForceBound {
		return fmt.Errorf("the change took %s to be in force on every node", took)
	}
	if err := d.checkEveryNode("after", harness.Answered, result.OK); err != nil {
		return err
	}
	if err := d.checkEditConflict(); err != nil {
		return err
	}
	return d.checkSameRevision()
}

// checkEveryNode sends a request of the new customer to every node and checks its
// class and result code.
func (d *demo) checkEveryNode(when string, class harness.Class, code result.Code) error {
	for _, n := range d.fleet.Nodes {
		a := d.send(n.CallerAddr, newCall("new-"+when+"-"+n.Name, newCustomer, d.keys[0], 0))
		d.attempts = append(d.attempts, a)
		if a.Class != class || result.Code(a.Code) != code {
			return fmt.Errorf("%s at %s, %s the change: %s %d %s", newCustomer, n.Name, when, a.Class, a.Code, a.Detail)
		}
	}
	fmt.Printf("   %s the change, every node answers %s with %d\n", when, newCustomer, code)
	return nil
}

// checkEditConflict makes two edits of the same version of a contract and checks
// that the second is refused with a conflict.
func (d *demo) checkEditConflict() error {
	var before config.Item[contract.Contract]
	if err := d.cli.json(&before, "contract", "get", firstCustomer); err != nil {
		return err
	}
	edit := func(rate float64) (string, result.ExitCode, error) {
		c := contractFor(firstCustomer)
		c.Total.Rate = rate
		return d.cli.set("contract", firstCustomer, before.Version, c, "--wait")
	}
	if out, code, err := edit(6000); err != nil || code != result.ExitOK {
		return fmt.Errorf("first operator: exit code %d: %s %v", code, out, err)
	}
	out, code, err := edit(7000)
	if err != nil || code != result.ExitConflict {
		return fmt.Errorf("second operator: exit code %d, want %d: %s %v", code, result.ExitConflict, out, err)
	}
	fmt.Printf("   second operator edited the same version %d and got exit code %d\n", before.Version, code)
	var after config.Item[contract.Contract]
	if err := d.cli.json(&after, "contract", "get", firstCustomer); err != nil {
		return err
	}
	if after.Value.Total.Rate != 6000 {
		return fmt.Errorf("the rate is %v, want the first operator's 6000", after.Value.Total.Rate)
	}
	return nil
}

// checkSameRevision checks that every node has the newest revision in force.
func (d *demo) checkSameRevision() error {
	if err := d.cli.json(&d.lastStatus, "status"); err != nil {
		return err
	}
	for _, n := range d.lastStatus.Nodes {
		if n.RevisionInForce != d.lastStatus.Revision {
			return fmt.Errorf("%s has revision %d in force, want %d", n.Name, n.RevisionInForce, d.lastStatus.Revision)
		}
	}
	fmt.Printf("   revision %d is in force on %d nodes\n", d.lastStatus.Revision, len(d.lastStatus.Nodes))
	return nil
}
