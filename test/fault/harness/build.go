// Package harness starts nodes and stand-ins as processes, injects faults, sends
// load and checks the run logs of the backend servers against the guarantees of
// the router. Fault tests, benchmarks and the demo use it.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Names of the programs.
const (
	programNode     = "fulmarhinge"
	programPlatform = "platform"
	programBackend  = "backend"
	programRelay    = "relay"
)

// Binaries is a directory of built programs.
type Binaries struct{ dir string }

// Build builds fulmarhinge and the stand-ins into a temporary directory.
func Build() (*Binaries, error) {
	dir, err := os.MkdirTemp("", "fulmarhinge-bin-")
	if err != nil {
		return nil, err
	}
	packages := []string{
		"fulmarhinge/cmd/fulmarhinge",
		"fulmarhinge/standin/platform",
		"fulmarhinge/standin/backend",
		"fulmarhinge/standin/relay",
	}
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, packages...)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return nil, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return &Binaries{dir: dir}, nil
}

// Prebuilt uses the programs in an existing directory.
func Prebuilt(dir string) *Binaries { return &Binaries{dir: dir} }

// Path returns the path of a program.
func (b *Binaries) Path(program string) string { return filepath.Join(b.dir, program) }

// Close removes the directory.
func (b *Binaries) Close() error { return os.RemoveAll(b.dir) }
