package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/settings"
)

// hangingNodeVariable makes the test binary run a node whose planned stop never
// ends, instead of the tests.
const hangingNodeVariable = "FULMARHINGE_TEST_STUCK_NODE"

func TestMain(m *testing.M) {
	if file := os.Getenv(hangingNodeVariable); file != "" {
		runNode = func(ctx context.Context, _ *settings.Settings, _ hclog.Logger) error {
			fmt.Println("running")
			<-ctx.Done()
			fmt.Println("stopping")
			time.Sleep(time.Minute)
			return errors.New("the second signal was ignored")
		}
		os.Exit(Main([]string{"node", "--settings", file}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func TestSecondSignalEndsTheProcess(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), hangingNodeVariable+"="+writeSettings(t, validSettings))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	for _, want := range []string{"running", "stopping"} {
		if !lines.Scan() || lines.Text() != want {
			t.Fatalf("the node printed %q, want %q", lines.Text(), want)
		}
		// The handler of the first signal is removed asynchronously, so the
		// second signal is repeated until it takes effect.
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case <-ended:
			status := cmd.ProcessState.Sys().(syscall.WaitStatus)
			if !status.Signaled() || status.Signal() != syscall.SIGTERM {
				t.Errorf("the process ended with %v", cmd.ProcessState)
			}
			return
		case <-deadline:
			_ = cmd.Process.Kill()
			t.Fatal("the process is still running")
		case <-time.After(20 * time.Millisecond):
			_ = cmd.Process.Signal(syscall.SIGTERM)
		}
	}
}
