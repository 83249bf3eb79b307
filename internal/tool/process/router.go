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

// readyPause is the time between two looks at whether a router is ready.
const readyPause = 20 * time.Millisecond

// build builds the router's program in the directory and returns its path. It
// works only from within the module.
func build(ctx context.Context, directory string) (string, error) {
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
	// exited is closed once the process has ended, and ended is its error.
	exited chan struct{}
	ended  error
}

// start starts a router with the settings and waits until it is ready. Its
// log lines go to a file in the directory.
func start(ctx context.Context, binary, directory string, environment []string, s *settings.Settings) (*Router, error) {
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
	// The process outlives the context, which bounds only its start.
	command := exec.CommandContext(context.WithoutCancel(ctx), binary, "router", base+".json")
	r := &Router{Settings: s, command: command, log: log, exited: make(chan struct{})}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.Env = append(os.Environ(), environment...)
	if err := r.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	go func() {
		r.ended = r.command.Wait()
		_ = r.log.Close()
		close(r.exited)
	}()
	if err := r.awaitReady(ctx); err != nil {
		_ = r.Kill()
		return nil, err
	}
	return r, nil
}

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
			return fmt.Errorf("start %s: %w: %s", r.Settings.Name, r.ended, r.lastLines())
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", r.Settings.Name, ctx.Err())
		case <-time.After(readyPause):
		}
	}
}

// Processor is the processor time that the process has used so far.
func (r *Router) Processor() (time.Duration, error) {
	return processorTime(r.command.Process.Pid)
}

// lastLines are the end of the router's log.
func (r *Router) lastLines() []byte {
	const length = 500
	data, err := os.ReadFile(r.log.Name())
	if err != nil {
		return nil
	}
	return data[max(0, len(data)-length):]
}

// Kill ends the process as a lost VM ends, and waits.
func (r *Router) Kill() error {
	err := r.command.Process.Kill()
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-r.exited
	return err
}

// Stop asks for a planned stop and waits for its end; a stop that cut a
// request or ran out of time is an error.
func (r *Router) Stop() error {
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, err)
	}
	<-r.exited
	if r.ended != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, r.ended)
	}
	return nil
}
