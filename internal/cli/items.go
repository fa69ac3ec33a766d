package cli

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// itemView describes the commands and the table of one kind of item.
type itemView[T any] struct {
	kind config.Kind[T]
	long string
	// header has the column headings of the table, name and version first.
	header []string
	// rowCells returns the table cells that follow name and version.
	rowCells func(T) []string
}

// itemList is the JSON output of "list".
type itemList[T any] struct {
	Revision uint64           `json:"revision"`
	Items    []config.Item[T] `json:"items"`
}

// itemCmd is shared by the commands of one kind of item.
type itemCmd[T any] struct {
	*app
	itemView[T]
}

// newItemCmd returns the commands for one kind of item.
func newItemCmd[T any](a *app, v itemView[T]) *cobra.Command {
	c := &itemCmd[T]{app: a, itemView: v}
	cmd := &cobra.Command{
		Use:   v.kind.Name,
		Short: fmt.Sprintf("Read and edit %ss", v.kind.Name),
		Long:  v.long,
	}
	cmd.AddCommand(c.newGet(), c.newList(), c.newSet(), c.newDiff(), c.newDelete())
	return cmd
}

// example returns an example command line for this kind of item.
func (c *itemCmd[T]) example(args string) string {
	return fmt.Sprintf("  fulmarhinge %s %s --platform http://10.1.9.1:9000", c.kind.Name, args)
}

func (c *itemCmd[T]) newGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: fmt.Sprintf("Show one %s and its version", c.kind.Name),
		Long: `Show one item and its version. With --output json it prints what "set --file"
takes: change the value, keep the version.`,
		Example: c.example("get NAME --output json"),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := c.loadConfig(cmd.Context())
			if err != nil {
				return err
			}
			item, ok := c.kind.Get(s.Config, args[0])
			if !ok {
				return fmt.Errorf("no %s %q in revision %d", c.kind.Name, args[0], s.Config.Revision)
			}
			return c.print(item, c.table(item))
		},
	}
}

func (c *itemCmd[T]) newList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   fmt.Sprintf("List all %ss", c.kind.Name),
		Example: c.example("list"),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := c.loadConfig(cmd.Context())
			if err != nil {
				return err
			}
			list := itemList[T]{Revision: s.Config.Revision, Items: c.kind.List(s.Config)}
			t := c.table(list.Items...)
			t.addNote("revision %d", list.Revision)
			return c.print(list, t)
		},
	}
}

func (c *itemCmd[T]) newSet() *cobra.Command {
	var file itemFile
	var flags changeFlags
	cmd := &cobra.Command{
		Use:   "set",
		Short: fmt.Sprintf("Add or change one %s", c.kind.Name),
		Long: `Add or change one item. The version that was edited is required: the one shown
by "get", or 0 for a new item. If it is not the current version, nothing is
changed and the error names both versions.`,
		Example: c.example("set --file item.json --version 0 --wait"),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			item, err := readItem[T](cmd, file)
			if err != nil {
				return err
			}
			return c.change(cmd.Context(), flags, c.kind.Set(item.Version, item.Value))
		},
	}
	file.register(cmd)
	flags.register(cmd)
	return cmd
}

func (c *itemCmd[T]) newDelete() *cobra.Command {
	var version uint64
	var flags changeFlags
	cmd := &cobra.Command{
		Use:     "delete NAME",
		Short:   fmt.Sprintf("Delete one %s", c.kind.Name),
		Example: c.example("delete NAME --version 12"),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("version") {
				return usageError.New("expected --version, as shown by get")
			}
			return c.change(cmd.Context(), flags, c.kind.Delete(version, args[0]))
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version of the item to delete, as shown by get")
	flags.register(cmd)
	return cmd
}

// table returns the items as a table.
func (c *itemCmd[T]) table(items ...config.Item[T]) *table {
	t := &table{header: c.header}
	for _, i := range items {
		cells := []string{c.kind.NameOf(i.Value), strconv.FormatUint(i.Version, 10)}
		t.addRow(append(cells, c.rowCells(i.Value)...)...)
	}
	return t
}

// sortedNames returns the sorted keys of a map.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// orDash returns "-" for an empty string.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
