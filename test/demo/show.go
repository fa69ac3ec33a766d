package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"fulmarhinge/test/fault/harness"
)

// shownEvents is how many lines of the time line are printed.
const shownEvents = 25

// show prints status and time line, and checks that every node answered.
func (d *demo) show() error {
	status, err := d.cli.must("status")
	if err != nil {
		return err
	}
	fmt.Print(indent(status, -1))
	line, err := d.cli.must("timeline", "--vm", d.lost.Name)
	if err != nil {
		return err
	}
	fmt.Printf("   time line of %s, the last %d events:\n", d.lost.Name, shownEvents)
	fmt.Print(indent(line, shownEvents))
	var whole fleetTimeline
	if err := d.cli.json(&whole, "timeline"); err != nil {
		return err
	}
	fmt.Printf("   the merged time line has %d events of %d nodes\n", len(whole.Events), nodes)
	if len(whole.NotAnswered) > 0 || len(whole.Events) == 0 {
		return fmt.Errorf("not answered: %v", whole.NotAnswered)
	}
	for i := 1; i < len(whole.Events); i++ {
		if whole.Events[i].Stamp.Less(whole.Events[i-1].Stamp) {
			return errors.New("the time line is out of order")
		}
	}
	return nil
}

// saveTimeline keeps the merged time line beside the logs, as the nodes' own
// memory of it ends with them.
func (d *demo) saveTimeline() {
	if d.fleet == nil {
		return
	}
	line, _, err := d.cli.run("timeline")
	if err == nil {
		err = os.WriteFile(filepath.Join(d.dir, "timeline.txt"), []byte(line), 0o644)
	}
	if err != nil {
		fmt.Println("demo: the time line could not be kept:", err)
	}
}

// indent indents the last lines of a text, all of them if most is negative.
func indent(text string, most int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if most >= 0 && len(lines) > most {
		lines = lines[len(lines)-most:]
	}
	return "   " + strings.Join(lines, "\n   ") + "\n"
}

// judge checks every run that the backend servers logged against every answer
// that callers had.
func (d *demo) judge() error {
	evidence, err := d.fleet.Evidence(d.attempts)
	if err != nil {
		return err
	}
	violations := harness.Judge(evidence)
	fmt.Printf("   %d requests and %d log records: %d violations\n", len(d.attempts), len(evidence.Records), len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%s: %s", violations[0].Rule, violations[0].Text)
	}
	return nil
}
