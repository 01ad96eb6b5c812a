// Package process runs a program as a child process that can be signaled, paused, killed and restarted. The soak test runs each
// instance this way.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started repeatedly with the same arguments. It is safe for concurrent use.
type Process struct {
	argv []string
	log  *os.File
	// onUnexpectedExit is called when the program exits without having received SIGTERM or SIGKILL from Signal.
	onUnexpectedExit func(detail string)

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{} // closed when the program has exited
	stopRequested bool          // SIGTERM or SIGKILL was sent
	exitCode      int
	starts        int
}

// New returns a process that appends its output to the file at log. onUnexpectedExit is called with a description whenever the
// program exits without having received SIGTERM or SIGKILL from Signal.
func New(argv []string, log string, onUnexpectedExit func(detail string)) (*Process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Process{argv: argv, log: f, onUnexpectedExit: onUnexpectedExit}, nil
}

// Start starts the program. It does nothing if the program is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return nil
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The kernel kills the program if the soak test itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.argv[0], err)
	}
	p.cmd, p.done, p.stopRequested = cmd, make(chan struct{}), false
	p.starts++
	go p.wait(cmd, p.done)
	return nil
}

// wait waits for the end of the program and stores its exit code.
func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.exitCode = cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
	if !stopRequested {
		p.onUnexpectedExit(fmt.Sprintf("process %d exited unexpectedly: %v", cmd.Process.Pid, err))
	}
}

func (p *Process) isRunning() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Starts returns the number of starts so far.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Signal sends a signal if the program is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return
	}
	p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // the program may have exited since the check
}

// Wait waits up to timeout for the end of the program and returns its exit code, which is -1 if a signal ended it, and 0 if the
// program was never started. It reports false if the program is still running.
func (p *Process) Wait(timeout time.Duration) (code int, ok bool) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return 0, true
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitCode, true
	case <-time.After(timeout):
		return 0, false
	}
}

// Close kills the program, waits for its end and closes the log file.
func (p *Process) Close() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
	_ = p.log.Close()
}
