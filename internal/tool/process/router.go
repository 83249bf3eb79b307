package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/transport/router"
)

// readyPollInterval is the time between two checks whether a router is ready.
const readyPollInterval = 20 * time.Millisecond

// buildRouter builds the router's program in the directory and returns its
// path. The working directory must be within the module.
func buildRouter(ctx context.Context, directory string) (string, error) {
	binary := filepath.Join(directory, "hyssopreach")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "hyssopreach/cmd/hyssopreach").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build router: %w: %s", err, output)
	}
	return binary, nil
}

// Router is a router process.
type Router struct {
	Settings *settings.Settings
	command  *exec.Cmd
	log      *os.File
	// exited is closed when the process has exited. exitErr is then the error of
	// its exit.
	exited  chan struct{}
	exitErr error
}

// startRouter starts a router with the settings and waits until it is ready. The
// router's log goes to a file in the directory.
func startRouter(ctx context.Context, binary, directory string, environment []string, s *settings.Settings) (*Router, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", s.Name, err)
	}
	base := filepath.Join(directory, string(s.Name))
	if err := os.WriteFile(base+".json", data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", s.Name, err)
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", s.Name, err)
	}
	// The context bounds only the start; the process must outlive it.
	command := exec.CommandContext(context.WithoutCancel(ctx), binary, "router", base+".json")
	r := &Router{Settings: s, command: command, log: log, exited: make(chan struct{})}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.Env = append(os.Environ(), environment...)
	if err := r.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	go func() {
		r.exitErr = r.command.Wait()
		_ = r.log.Close()
		close(r.exited)
	}()
	if err := r.awaitReady(ctx); err != nil {
		_ = r.Kill()
		return nil, err
	}
	return r, nil
}

// awaitReady waits until the router reports that it is ready. It returns an
// error if the process exits or the context ends before.
func (r *Router) awaitReady(ctx context.Context) error {
	url := "http://" + r.Settings.OperatorAddress.String() + router.PathReady
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				return nil
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf("start %s: %w: %s", r.Settings.Name, r.exitErr, r.logTail())
		case <-ctx.Done():
			return fmt.Errorf("wait until %s is ready: %w", r.Settings.Name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// ProcessorTime returns the processor time that the process has used so far.
func (r *Router) ProcessorTime() (time.Duration, error) {
	return processorTime(r.command.Process.Pid)
}

// logTail returns the last bytes of the router's log.
func (r *Router) logTail() []byte {
	const maxLength = 500
	data, err := os.ReadFile(r.log.Name())
	if err != nil {
		return nil
	}
	return data[max(0, len(data)-maxLength):]
}

// Kill kills the process without a drain, as the loss of its VM does, and waits
// for its exit.
func (r *Router) Kill() error {
	err := r.command.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-r.exited
	return err
}

// Stop sends SIGTERM, on which the router drains, and waits for the exit of the
// process. It returns an error if the drain cut off a request or timed out.
func (r *Router) Stop() error {
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, err)
	}
	<-r.exited
	if r.exitErr != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, r.exitErr)
	}
	return nil
}
