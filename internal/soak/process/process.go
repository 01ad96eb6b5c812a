// Package process runs a program as a child process that can be signalled, paused, killed and started again.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one program that is started again and again with the same arguments. It is safe for concurrent use.
type Process struct {
	argv []string
	log  *os.File
	// onUnexpectedExit is told each end that no signal of this process had asked for.
	onUnexpectedExit func(detail string)

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{} // closed when the command has ended
	stopRequested bool          // a signal to end was sent
	exitCode      int
	starts        int
}

// New makes a process that writes its output to the file at log. ended is told if it ends by itself.
func New(argv []string, log string, onUnexpectedExit func(detail string)) (*Process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Process{argv: argv, log: f, onUnexpectedExit: onUnexpectedExit}, nil
}

// Start starts the program. It does nothing while the program runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return nil
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// A soak that is killed takes its children with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start of %s: %w", p.argv[0], err)
	}
	p.cmd, p.done, p.stopRequested = cmd, make(chan struct{}), false
	p.starts++
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.exitCode = cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
	if !stopRequested {
		p.onUnexpectedExit(fmt.Sprintf("process %d ended by itself: %v", cmd.Process.Pid, err))
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

// Starts counts the starts so far.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Signal sends a signal if the program runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return
	}
	p.stopRequested = p.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // it may have ended in this moment
}

// Wait waits for the end of the program and gives its exit code, -1 after a signal. It reports false if the program still runs
// after d.
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

// Close kills the program and waits for its end.
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
