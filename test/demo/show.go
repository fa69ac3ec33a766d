package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"fulmarhinge/test/fault/harness"
)

// shownEvents is the number of timeline lines that are printed.
const shownEvents = 25

// showStatus prints the status and the timeline, and checks that every node
// answered and that the events are in order.
func (d *demo) showStatus() error {
	status, err := d.cli.must("status")
	if err != nil {
		return err
	}
	fmt.Print(indentTail(status, -1))
	vmTimeline, err := d.cli.must("timeline", "--vm", d.lostNode.Name)
	if err != nil {
		return err
	}
	fmt.Printf("   timeline of %s, the last %d events:\n", d.lostNode.Name, shownEvents)
	fmt.Print(indentTail(vmTimeline, shownEvents))
	var merged fleetTimeline
	if err := d.cli.json(&merged, "timeline"); err != nil {
		return err
	}
	fmt.Printf("   the merged timeline has %d events of %d nodes\n", len(merged.Events), nodes)
	if len(merged.NotAnswered) > 0 || len(merged.Events) == 0 {
		return fmt.Errorf("nodes that did not answer: %v", merged.NotAnswered)
	}
	for i := 1; i < len(merged.Events); i++ {
		if merged.Events[i].Stamp.Less(merged.Events[i-1].Stamp) {
			return errors.New("the events of the timeline are out of order")
		}
	}
	return nil
}

// saveTimeline writes the merged timeline to a file in the directory of the logs,
// because the nodes keep it only in memory.
func (d *demo) saveTimeline() {
	if d.fleet == nil {
		return
	}
	text, _, err := d.cli.run("timeline")
	if err == nil {
		err = os.WriteFile(filepath.Join(d.dir, "timeline.txt"), []byte(text), 0o644)
	}
	if err != nil {
		fmt.Println("demo: the timeline could not be saved:", err)
	}
}

// indentTail returns the last maxLines lines of a text indented, or all lines if
// maxLines is negative.
func indentTail(text string, maxLines int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if maxLines >= 0 && len(lines) > maxLines {
		lines = lines[len(lines)-maxLines:]
	}
	return "   " + strings.Join(lines, "\n   ") + "\n"
}

// checkHistory checks all runs in the logs of the backend servers against the
// outcomes that callers got.
func (d *demo) checkHistory() error {
	history, err := d.fleet.History(d.attempts)
	if err != nil {
		return err
	}
	violations := harness.CheckHistory(history)
	fmt.Printf("   %d requests and %d log records: %d violations\n", len(d.attempts), len(history.Records), len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%s: %s", violations[0].Rule, violations[0].Text)
	}
	return nil
}
