// Package report contains helpers of the benchmark programs: it parses lists of
// fleet sizes and writes results as JSON files.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Sizes parses a comma-separated list of fleet sizes.
func Sizes(list string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(list, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("--sizes: expected numbers above 0 separated by commas, got %q", field)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// WriteJSON writes results to a file and creates its directory if needed. It does
// nothing if path is empty.
func WriteJSON(path string, results any) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
