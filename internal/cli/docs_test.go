package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

const repository = "../.."

func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repository, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestLayoutNamesEveryPackage holds the developers' page to the directories.
func TestLayoutNamesEveryPackage(t *testing.T) {
	page := readPage(t, "CONTRIBUTING.md")
	dirs, err := os.ReadDir(filepath.Join(repository, "internal"))
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range dirs {
		if d.IsDir() && !strings.Contains(page, "`internal/"+d.Name()+"`") {
			t.Errorf("CONTRIBUTING.md does not name internal/%s", d.Name())
		}
	}
}

// TestEveryCommandIsDescribed asks for a summary of each command and an
// example of each that does something.
func TestEveryCommandIsDescribed(t *testing.T) {
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		if c.Short == "" {
			t.Errorf("%q has no summary", c.CommandPath())
		}
		if c.Runnable() && c.Example == "" && c.Name() != "version" {
			t.Errorf("%q has no example", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit(newRootCmd(&app{}))
}
