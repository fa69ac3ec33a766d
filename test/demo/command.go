package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/timeline"
)

// commandLine runs commands of the built binary as an operator would.
type commandLine struct {
	ctx      context.Context
	path     string
	platform string
	dir      string
}

// fleetStatus is the part of "status --output json" that the demo checks.
type fleetStatus struct {
	Revision    uint64            `json:"revision"`
	Nodes       []operator.Status `json:"nodes"`
	NotAnswered []namedNode       `json:"not_answered"`
}

type namedNode struct {
	Name string `json:"name"`
}

// fleetTimeline is the part of "timeline --output json" that the demo checks.
type fleetTimeline struct {
	Events      []timeline.Event `json:"events"`
	NotAnswered []namedNode      `json:"not_answered"`
}

// run executes a command and returns its output and exit code.
func (c commandLine) run(args ...string) (string, result.ExitCode, error) {
	cmd := exec.CommandContext(c.ctx, c.path, append(args, "--platform", c.platform)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String() + errOut.String(), result.ExitCode(exit.ExitCode()), nil
	}
	return out.String(), result.ExitOK, err
}

// must executes a command and returns an error if its exit code is not 0.
func (c commandLine) must(args ...string) (string, error) {
	out, code, err := c.run(args...)
	if err == nil && code != result.ExitOK {
		err = fmt.Errorf("fulmarhinge %v: exit code %d: %s", args, code, out)
	}
	return out, err
}

// json executes a command and decodes its JSON output.
func (c commandLine) json(into any, args ...string) error {
	out, err := c.must(append(args, "--output", "json")...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), into)
}

// set replaces a configuration item that has the given version, 0 for a new one.
func (c commandLine) set(kind, name string, version uint64, item any, args ...string) (string, result.ExitCode, error) {
	b, err := json.Marshal(item)
	if err != nil {
		return "", 0, err
	}
	file := filepath.Join(c.dir, kind+"-"+name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return "", 0, err
	}
	return c.run(append([]string{kind, "set", "--file", file, "--version", strconv.FormatUint(version, 10)}, args...)...)
}

// mustSet is set that returns an error if the exit code is not 0.
func (c commandLine) mustSet(kind, name string, version uint64, item any, args ...string) error {
	out, code, err := c.set(kind, name, version, item, args...)
	if err == nil && code != result.ExitOK {
		err = fmt.Errorf("%s set %s: exit code %d: %s", kind, name, code, out)
	}
	return err
}
