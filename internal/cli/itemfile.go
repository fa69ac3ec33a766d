package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// stdinName is the file name that stands for the standard input.
const stdinName = "-"

// itemFile holds the flags that name the item to store.
type itemFile struct {
	path    string
	version uint64
}

// register adds the flags to a command.
func (f *itemFile) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.path, "file", "", `JSON file of the item, or "-" for the standard input`)
	cmd.Flags().Uint64Var(&f.version, "version", 0, "version of the item that was edited; 0 for a new item")
}

// itemShape distinguishes a bare item from an item with its version, as "get"
// prints it.
type itemShape struct {
	Version *uint64         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// readItem reads the item that the flags name. The version comes from the file
// or from --version; if both are given, they must be equal.
func readItem[T any](cmd *cobra.Command, f itemFile) (config.Item[T], error) {
	item := config.Item[T]{Version: f.version}
	content, err := readFile(cmd, f.path)
	if err != nil {
		return item, err
	}
	var shape itemShape
	if err := json.Unmarshal(content, &shape); err != nil {
		return item, fileProblem(f.path, "a JSON object", err)
	}
	flagGiven := cmd.Flags().Changed("version")
	if len(shape.Value) == 0 {
		if !flagGiven {
			return item, usageError.New("expected --version, because %s contains no version", f.path)
		}
		return item, decodeStrict(f.path, content, &item.Value)
	}
	if err := decodeStrict(f.path, content, &item); err != nil {
		return item, err
	}
	if flagGiven && f.version != item.Version {
		return item, usageError.New("--version is %d, but %s has version %d", f.version, f.path, item.Version)
	}
	return item, nil
}

// readFile returns the content of a file. It rejects content that exceeds the
// maximum size of a platform object.
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "" {
		return nil, usageError.New("expected --file FILE")
	}
	in := cmd.InOrStdin()
	if path != stdinName {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError.Wrap(err)
		}
		defer file.Close()
		in = file
	}
	content, err := io.ReadAll(io.LimitReader(in, platform.MaxValueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > platform.MaxValueBytes {
		return nil, fileProblem(path, fmt.Sprintf("at most %d bytes", platform.MaxValueBytes), "more")
	}
	return content, nil
}

// decodeStrict decodes a single JSON document and rejects unknown fields.
func decodeStrict(path string, content []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return fileProblem(path, "an item with known fields", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fileProblem(path, "one JSON document", "more after it")
	}
	return nil
}

// fileProblem returns the error for a file that contains no valid item.
func fileProblem(path, expected string, got any) error {
	problems := []contract.Problem{contract.NewProblem(path, expected, got)}
	return config.ErrInvalid.Wrap(&config.InvalidError{Problems: problems})
}
