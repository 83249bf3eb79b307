package disruption

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started, ended and restarted.
type Process struct {
	binary      string
	arguments   []string
	environment []string
	logPath     string

	mu sync.Mutex
	// The fields below are guarded by mu.
	running *exec.Cmd
	ended   chan struct{}
	err     error
}

// NewProcess returns a process that is not running yet. The program's output is
// appended to the file at logPath.
func NewProcess(binary string, arguments, environment []string, logPath string) *Process {
	return &Process{binary: binary, arguments: arguments, environment: environment, logPath: logPath}
}

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: open its log: %w", p.binary, err)
	}
	command := exec.Command(p.binary, p.arguments...) //nolint:noctx // The process outlives every context and is ended by Signal or Kill.
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), p.environment...)
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.binary, err)
	}
	ended := make(chan struct{})
	p.running, p.ended = command, ended
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.running, p.err = nil, err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Running reports whether the program is running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running != nil
}

// Signal sends a signal to the program if it is running.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signal(s)
}

// signal is Signal. It requires that mu is held.
func (p *Process) signal(s syscall.Signal) error {
	if p.running == nil {
		return nil
	}
	if err := p.running.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send %v to process %d: %w", s, p.running.Process.Pid, err)
	}
	return nil
}

// WaitExit waits until the program has exited. It reports whether the program
// exited within the timeout and the error that it exited with.
func (p *Process) WaitExit(timeout time.Duration) (bool, error) {
	p.mu.Lock()
	ended, running := p.ended, p.running != nil
	p.mu.Unlock()
	if running {
		select {
		case <-ended:
		case <-time.After(timeout):
			return false, nil
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return true, p.err
}

// Kill kills the program and waits until it has exited. The program may have been
// started again by then.
func (p *Process) Kill() error {
	p.mu.Lock()
	ended, running := p.ended, p.running != nil
	err := p.signal(syscall.SIGKILL)
	p.mu.Unlock()
	if err != nil || !running {
		return err
	}
	select {
	case <-ended:
		return nil
	case <-time.After(time.Minute):
		return fmt.Errorf("kill %s: it has not exited within a minute", p.binary)
	}
}
