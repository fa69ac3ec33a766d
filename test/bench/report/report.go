// Package report has what the measuring programs share: lists of sizes on the
// command line, and results as JSON files.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Sizes reads fleet sizes that are separated by commas.
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

// WriteJSON writes results to a file, and makes its directory. It does nothing
// if path is empty.
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
