package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// absent stands for a field that one side does not have.
const absent = "(none)"

// fieldDiff is one field that differs.
type fieldDiff struct {
	Path    string `json:"path"`
	Present string `json:"present"`
	File    string `json:"file"`
}

// itemDiff is the JSON form of a comparison.
type itemDiff struct {
	Name string `json:"name"`
	// PresentVersion is the version in the platform, 0 if there is none.
	PresentVersion uint64 `json:"present_version"`
	// FileVersion is the one that the file was made from.
	FileVersion uint64      `json:"file_version"`
	Fields      []fieldDiff `json:"fields"`
}

func (c *itemCmd[T]) newDiff() *cobra.Command {
	var file itemFile
	cmd := &cobra.Command{
		Use:     "diff",
		Short:   fmt.Sprintf("Show how a file differs from the present %s", c.kind.Name),
		Example: c.example("diff --file item.json --version 12"),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			item, err := readItem[T](cmd, file)
			if err != nil {
				return err
			}
			s, err := c.load(cmd.Context())
			if err != nil {
				return err
			}
			return c.printDiff(s, item)
		},
	}
	file.add(cmd)
	return cmd
}

// printDiff prints the comparison of the present item with that of a file.
func (c *itemCmd[T]) printDiff(s config.Snapshot, item config.Item[T]) error {
	name := c.kind.NameOf(item.Value)
	present, ok := c.kind.Get(s.Config, name)
	before := fields{}
	if ok {
		before = fieldsOf(present.Value)
	}
	d := itemDiff{
		Name:           name,
		PresentVersion: present.Version,
		FileVersion:    item.Version,
		Fields:         diffFields(before, fieldsOf(item.Value)),
	}
	t := &table{head: []string{"FIELD", "PRESENT", "FILE"}}
	for _, f := range d.Fields {
		t.row(f.Path, f.Present, f.File)
	}
	t.note("%s %s: present version %d, the file was made from version %d", c.kind.Name, name, d.PresentVersion, d.FileVersion)
	return c.print(d, t)
}

// fields has the values of an item's fields, as JSON, by their path.
type fields map[string]string

// fieldsOf returns the fields of an item in its JSON form.
func fieldsOf(v any) fields {
	out := fields{}
	encoded, err := json.Marshal(v)
	if err != nil {
		return out
	}
	out.collect("", encoded)
	return out
}

// collect adds the fields of one JSON value.
func (f fields) collect(path string, value json.RawMessage) {
	var object map[string]json.RawMessage
	if !bytes.HasPrefix(value, []byte("{")) || json.Unmarshal(value, &object) != nil {
		f[path] = string(value)
		return
	}
	for name, inner := range object {
		f.collect(joinPath(path, name), inner)
	}
}

// joinPath appends the name of a field to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// diffFields returns the fields that differ, in the order of their paths.
func diffFields(present, file fields) []fieldDiff {
	all := map[string]bool{}
	for path := range present {
		all[path] = true
	}
	for path := range file {
		all[path] = true
	}
	out := []fieldDiff{}
	for _, path := range sortedNames(all) {
		d := fieldDiff{Path: path, Present: present.text(path), File: file.text(path)}
		if d.Present != d.File {
			out = append(out, d)
		}
	}
	return out
}

// text returns a field as it is shown.
func (f fields) text(path string) string {
	v, ok := f[path]
	if !ok {
		return absent
	}
	if s, err := strconv.Unquote(v); err == nil {
		return s
	}
	return v
}
