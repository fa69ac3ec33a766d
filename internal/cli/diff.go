package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// absent is printed for a field that one side does not have.
const absent = "(none)"

// fieldDiff is a field with different values.
type fieldDiff struct {
	Path    string `json:"path"`
	Present string `json:"present"`
	File    string `json:"file"`
}

// itemDiff is the JSON output of a diff.
type itemDiff struct {
	Name string `json:"name"`
	// PresentVersion is the version stored in the platform; 0 if there is none.
	PresentVersion uint64 `json:"present_version"`
	// FileVersion is the version that the file is based on.
	FileVersion uint64      `json:"file_version"`
	Fields      []fieldDiff `json:"fields"`
}

func (c *itemCmd[T]) newDiff() *cobra.Command {
	var file itemFile
	cmd := &cobra.Command{
		Use:     "diff",
		Short:   fmt.Sprintf("Show how a file differs from the current %s", c.kind.Name),
		Example: c.example("diff --file item.json --version 12"),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			item, err := readItem[T](cmd, file)
			if err != nil {
				return err
			}
			s, err := c.loadConfig(cmd.Context())
			if err != nil {
				return err
			}
			return c.printDiff(s, item)
		},
	}
	file.register(cmd)
	return cmd
}

// printDiff prints the differences between the stored item and the item of a
// file.
func (c *itemCmd[T]) printDiff(s config.Snapshot, item config.Item[T]) error {
	name := c.kind.NameOf(item.Value)
	present, ok := c.kind.Get(s.Config, name)
	presentFields := fieldValues{}
	if ok {
		presentFields = fieldsOf(present.Value)
	}
	d := itemDiff{
		Name:           name,
		PresentVersion: present.Version,
		FileVersion:    item.Version,
		Fields:         diffFields(presentFields, fieldsOf(item.Value)),
	}
	t := &table{header: []string{"FIELD", "PRESENT", "FILE"}}
	for _, f := range d.Fields {
		t.addRow(f.Path, f.Present, f.File)
	}
	t.addNote("%s %s: present version %d, the file was made from version %d", c.kind.Name, name, d.PresentVersion, d.FileVersion)
	return c.print(d, t)
}

// fieldValues maps the path of each field of an item to its JSON value.
type fieldValues map[string]string

// fieldsOf returns the fields of the JSON form of v.
func fieldsOf(v any) fieldValues {
	out := fieldValues{}
	encoded, err := json.Marshal(v)
	if err != nil {
		return out
	}
	out.add("", encoded)
	return out
}

// add adds the fields of a JSON value under a path.
func (f fieldValues) add(path string, value json.RawMessage) {
	var object map[string]json.RawMessage
	if !bytes.HasPrefix(value, []byte("{")) || json.Unmarshal(value, &object) != nil {
		f[path] = string(value)
		return
	}
	for name, inner := range object {
		f.add(joinPath(path, name), inner)
	}
}

// joinPath appends the name of a field to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// diffFields returns the fields that differ, sorted by path.
func diffFields(present, file fieldValues) []fieldDiff {
	paths := map[string]bool{}
	for path := range present {
		paths[path] = true
	}
	for path := range file {
		paths[path] = true
	}
	out := []fieldDiff{}
	for _, path := range sortedNames(paths) {
		d := fieldDiff{Path: path, Present: present.display(path), File: file.display(path)}
		if d.Present != d.File {
			out = append(out, d)
		}
	}
	return out
}

// display returns the value of a field for the table, without quotes.
func (f fieldValues) display(path string) string {
	v, ok := f[path]
	if !ok {
		return absent
	}
	if s, err := strconv.Unquote(v); err == nil {
		return s
	}
	return v
}
