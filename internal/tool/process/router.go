package process

import (
	"context"
	"encoding/json"
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

// Build builds the router's program in the directory and returns its path. It
// must be called from within the module.
func Build(ctx context.Context, directory string) (string, error) {
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
}

// Start starts a router with the settings and waits until it is ready. Its
// log lines go to a file in the directory.
func Start(ctx context.Context, binary, directory string, s *settings.Settings) (*Router, error) {
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
	r := &Router{Settings: s, command: command, log: log}
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
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
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", r.Settings.Name, ctx.Err())
		case <-time.After(readyPause):
		}
	}
}

// Kill ends the process as a lost VM ends, and waits.
func (r *Router) Kill() error {
	err := r.command.Process.Kill()
	// A killed process always reports an error.
	_ = r.command.Wait()
	_ = r.log.Close()
	return err
}

// Stop asks for a planned stop and waits for its end; a stop that cut a
// request or ran out of time is an error.
func (r *Router) Stop() error {
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, err)
	}
	err := r.command.Wait()
	_ = r.log.Close()
	if err != nil {
		return fmt.Errorf("stop %s: %w", r.Settings.Name, err)
	}
	return nil
}
