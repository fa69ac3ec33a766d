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

// stdinName stands for the standard input in place of a file's name.
const stdinName = "-"

// itemFile has the flags that name an item to store.
type itemFile struct {
	path    string
	version uint64
}

// add adds the flags to a command.
func (f *itemFile) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.path, "file", "", `JSON file of the item, or "-" for the standard input`)
	cmd.Flags().Uint64Var(&f.version, "version", 0, "the version that was edited, 0 for a new item")
}

// itemShape tells a bare item from one with its version, as "get" prints it.
type itemShape struct {
	Version *uint64         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// readItem reads the item of the flags. Its version comes from the file or from
// --version; if both have it, they must agree.
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
			return item, usageError.New("expected --version, as %s has none", f.path)
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

// readFile returns a file's content; more than an object can hold is refused.
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

// decodeStrict decodes one JSON document that has known fields only.
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

// fileProblem returns the error of a file that holds no valid item.
func fileProblem(path, expected string, got any) error {
	problems := []contract.Problem{contract.NewProblem(path, expected, got)}
	return config.ErrInvalid.Wrap(&config.InvalidError{Problems: problems})
}
