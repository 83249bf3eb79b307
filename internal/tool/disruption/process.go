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

// Process is a program that is started again and again.
type Process struct {
	binary      string
	arguments   []string
	environment []string
	log         string

	mu sync.Mutex
	// The fields below are guarded by mu.
	running *exec.Cmd
	ended   chan struct{}
	err     error
}

// NewProcess returns a process that is not running yet; its output is added to
// the log file.
func NewProcess(binary string, arguments, environment []string, log string) *Process {
	return &Process{binary: binary, arguments: arguments, environment: environment, log: log}
}

// Start starts the program unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: open its log: %w", p.binary, err)
	}
	command := exec.Command(p.binary, p.arguments...) //nolint:noctx // It outlives every context and is ended by Stop or Kill.
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

// Running reports whether the program runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running != nil
}

// Signal sends a signal to the program if it runs.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return nil
	}
	if err := p.running.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send %v to process %d: %w", s, p.running.Process.Pid, err)
	}
	return nil
}

// Await waits until the program has ended, and reports whether it did in time
// and how.
func (p *Process) Await(within time.Duration) (bool, error) {
	p.mu.Lock()
	ended, running := p.ended, p.running != nil
	p.mu.Unlock()
	if running {
		select {
		case <-ended:
		case <-time.After(within):
			return false, nil
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return true, p.err
}

// Kill ends the program at once and waits.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// A killed program always ends with an error.
	_, _ = p.Await(time.Minute)
	return nil
}
