package testbed

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program of the cluster. It can be restarted after it has ended.
type Process struct {
	Name string
	// Log is the file to which the program's output is appended, across restarts.
	Log string

	binary string
	args   []string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// NewProcess returns a process that writes its output to a file in dir. It does not
// start it.
func NewProcess(dir, name, binary string, args ...string) *Process {
	return &Process{Name: name, Log: filepath.Join(dir, name+".log"), binary: binary, args: args}
}

// SetBinary replaces the program, from the next start on.
func (p *Process) SetBinary(binary string) { p.binary = binary }

// Start starts the program.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	if p.cmd != nil {
		<-p.ended
	}
	return err
}

// Terminate sends SIGTERM. It does not wait.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Suspend stops the execution of the process until Resume.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Wait waits until the process has ended and returns its exit code, which is -1 if a
// signal ended it.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-timer.C:
		return 0, Error.New("process %s did not end within %v", p.Name, timeout)
	}
}

// signal signals the process group. It does nothing if the process has ended.
func (p *Process) signal(signal syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	err := syscall.Kill(-p.PID(), signal)
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return Error.Wrap(err)
}
