package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is the output of a command in the format for people.
type table struct {
	header []string
	rows   [][]string
	// notes are printed below the table, one per line.
	notes []string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) addNote(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// print writes value as JSON or t as a table, according to --output.
func (a *app) print(value any, t *table) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(w, strings.Join(t.header, "\t"))
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
