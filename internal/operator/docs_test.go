package operator

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const operationsPage = "../../docs/OPERATIONS.md"

// productSource returns the Go code of the product without its tests.
func productSource(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		all.Write(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// section returns the section of the operations page under a heading.
func section(t *testing.T, heading string) string {
	t.Helper()
	b, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(b), "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("%s has no section %q", operationsPage, heading)
	}
	part, _, _ := strings.Cut(rest, "\n## ")
	return part
}

// uniqueMatches returns the first group of each match, sorted and without
// duplicates.
func uniqueMatches(pattern, text string) []string {
	var names []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// The metrics and the logger names on the operations page must be those in the
// code.
func TestOperationsPageListsMetricsAndLoggers(t *testing.T) {
	code := productSource(t)
	tests := []struct {
		name, section, inCode, inPage string
	}{
		{"metrics", "Metrics", "[\"`](fulmarhinge_[a-z_]+)", "[|,] `(fulmarhinge_[a-z_]+)"},
		{"log prefixes", "Logs", `Named\("([a-z]+)"\)`, "(?m)^\\| `([a-z]+)`"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := uniqueMatches(tc.inCode, code)
			got := uniqueMatches(tc.inPage, section(t, tc.section))
			if !slices.Equal(got, want) {
				t.Errorf("docs/OPERATIONS.md, section %q, lists\n%v\nthe code has\n%v", tc.section, got, want)
			}
		})
	}
}
