package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is what a command prints for people.
type table struct {
	head []string
	rows [][]string
	// notes follow the table, one a line.
	notes []string
}

func (t *table) row(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// print writes value as JSON or the table, as --output says.
func (a *app) print(value any, t *table) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if len(t.head) > 0 {
		fmt.Fprintln(w, strings.Join(t.head, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range t.notes {
		fmt.Fprintln(a.out, n)
	}
	return nil
}
