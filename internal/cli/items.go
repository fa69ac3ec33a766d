package cli

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// itemView is how one kind of item is shown and described.
type itemView[T any] struct {
	kind config.Kind[T]
	long string
	// head has the columns of the table, name and version first.
	head []string
	// row returns the cells after name and version.
	row func(T) []string
}

// itemList is the JSON form of all items of a kind.
type itemList[T any] struct {
	Revision uint64           `json:"revision"`
	Items    []config.Item[T] `json:"items"`
}

// itemCmd holds what the commands of one kind share.
type itemCmd[T any] struct {
	*app
	itemView[T]
}

// newItemCmd returns the commands of one kind of item.
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

// example returns an example line of a command of this kind.
func (c *itemCmd[T]) example(rest string) string {
	return fmt.Sprintf("  fulmarhinge %s %s --platform http://10.1.9.1:9000", c.kind.Name, rest)
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
			s, err := c.load(cmd.Context())
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
			s, err := c.load(cmd.Context())
			if err != nil {
				return err
			}
			list := itemList[T]{Revision: s.Config.Revision, Items: c.kind.List(s.Config)}
			t := c.table(list.Items...)
			t.note("revision %d", list.Revision)
			return c.print(list, t)
		},
	}
}

func (c *itemCmd[T]) newSet() *cobra.Command {
	var file itemFile
	var change changeFlags
	cmd := &cobra.Command{
		Use:   "set",
		Short: fmt.Sprintf("Add or change one %s", c.kind.Name),
		Long: `Add or change one item. The version that was edited is needed: that of "get",
or 0 for a new item. If it is not the present one, nothing is changed and the
message names both.`,
		Example: c.example("set --file item.json --version 0 --wait"),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			item, err := readItem[T](cmd, file)
			if err != nil {
				return err
			}
			return c.change(cmd.Context(), change, c.kind.Set(item.Version, item.Value))
		},
	}
	file.add(cmd)
	change.add(cmd)
	return cmd
}

func (c *itemCmd[T]) newDelete() *cobra.Command {
	var version uint64
	var change changeFlags
	cmd := &cobra.Command{
		Use:     "delete NAME",
		Short:   fmt.Sprintf("Delete one %s", c.kind.Name),
		Example: c.example("delete NAME --version 12"),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !cmd.Flags().Changed("version") {
				return usageError.New("expected --version, as shown by get")
			}
			return c.change(cmd.Context(), change, c.kind.Delete(version, args[0]))
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "the version that is meant, as shown by get")
	change.add(cmd)
	return cmd
}

// table returns the items as a table.
func (c *itemCmd[T]) table(items ...config.Item[T]) *table {
	t := &table{head: c.head}
	for _, i := range items {
		cells := []string{c.kind.NameOf(i.Value), strconv.FormatUint(i.Version, 10)}
		t.row(append(cells, c.row(i.Value)...)...)
	}
	return t
}

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// orDash returns "-" for an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
