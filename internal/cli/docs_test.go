package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
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

// TestLinksLeadSomewhere checks the links between the pages of the repository.
func TestLinksLeadSomewhere(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	err := filepath.WalkDir(repository, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range link.FindAllStringSubmatch(string(b), -1) {
			target := filepath.Join(filepath.Dir(path), m[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s links to %s, which is not there", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
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
