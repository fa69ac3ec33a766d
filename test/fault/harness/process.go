package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Process is a started program whose output is written to a file.
type Process struct {
	Name    string
	LogPath string
	cmd     *exec.Cmd
	exited  chan struct{}
	// KilledAt is when Kill was first called, or zero.
	KilledAt time.Time
}

// spawn starts a program in its own process group.
func spawn(dir, name, path string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the program if the test process dies before Stop.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOnPermanentThread(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// starterThread runs functions on an OS thread that never exits, because the
// kernel sends Pdeathsig when the thread that started the program exits, not when
// the whole process does.
var starterThread = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

func startOnPermanentThread(cmd *exec.Cmd) error {
	result := make(chan error)
	starterThread() <- func() { result <- cmd.Start() }
	return <-result
}

// Pid returns the process id, which is also the id of its process group.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed once the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of an exited process, or -1 if a signal ended
// it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// signal sends a signal to the process group.
func (p *Process) signal(s syscall.Signal) error {
	return syscall.Kill(-p.Pid(), s)
}

// Kill kills the process group with SIGKILL and waits until the process has
// exited.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	if p.KilledAt.IsZero() {
		p.KilledAt = time.Now()
	}
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait for the process to exit.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// LogTail returns the last n bytes of the output.
func (p *Process) LogTail(n int) string {
	b, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	if len(b) > n {
		b = b[len(b)-n:]
	}
	return string(b)
}
