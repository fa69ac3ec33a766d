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

const repositoryRoot = "../.."

func readRepositoryFile(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestContributingListsEveryPackage checks that CONTRIBUTING.md names every
// package under internal.
func TestContributingListsEveryPackage(t *testing.T) {
	page := readRepositoryFile(t, "CONTRIBUTING.md")
	dirs, err := os.ReadDir(filepath.Join(repositoryRoot, "internal"))
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range dirs {
		if d.IsDir() && !strings.Contains(page, "`internal/"+d.Name()+"`") {
			t.Errorf("CONTRIBUTING.md does not name internal/%s", d.Name())
		}
	}
}

// TestLinkTargetsExist checks that relative links in the Markdown files of the
// repository lead to existing files.
func TestLinkTargetsExist(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	err := filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
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
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestEveryCommandHasSummaryAndExample checks that each command has a summary, and
// each runnable command except version an example.
func TestEveryCommandHasSummaryAndExample(t *testing.T) {
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
