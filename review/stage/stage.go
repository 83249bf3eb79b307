package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/tool/disruption"
	"hyssopreach/platform/contract"
)

const (
	// readyTimeout bounds the start of a router.
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

var errNotReady = errors.New("the router is not ready in time")

// stage holds the processes and stand-ins of one case.
type stage struct {
	binary    string
	directory string
	record    *record
	store     *store
	endpoints []*endpoint
	routers   []*router
}

func newStage(binary, recordPath string) (*stage, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	s := &stage{binary: binary, directory: directory}
	if s.record, err = newRecord(recordPath); err != nil {
		return nil, errors.Join(err, os.RemoveAll(directory))
	}
	s.store, err = newStore()
	return s, err
}

// close ends all processes that the stage has started.
func (s *stage) close() {
	for _, r := range s.routers {
		_ = r.process.Kill() // it is reported as an error of the case if it still runs
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.store.close()
	if err := errors.Join(s.record.close(), os.RemoveAll(s.directory)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// router is a hosted router that runs as a process of its own.
type router struct {
	process                          *disruption.Process
	callers, directory, peers, ready netip.AddrPort
	logPath                          string
}

// settings are the values that a case chooses.
type settings struct {
	memoryMB, descriptors int
	// seed is the router at which this one joins the fleet; nil for the router itself.
	seed *router
}

// startRouter starts a router with settings like those of a small deployment, and waits
// until it is ready.
func (s *stage) startRouter(ctx context.Context, c settings) (*router, error) {
	r := &router{}
	for _, a := range []*netip.AddrPort{&r.callers, &r.directory, &r.peers, &r.ready} {
		var err error
		if *a, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprint("edge-", len(s.routers)+1)
	seeds := []netip.AddrPort{r.peers}
	if c.seed != nil {
		seeds = []netip.AddrPort{c.seed.peers}
	}
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "router", "machine_class": "edge", "serves": []string{"edge", "control_plane", "registry"},
		"ip": r.callers.Addr(), "zone": "kharagpur", "region": "bengal", "zones": map[string]string{"kharagpur": "bengal"},
		"listen":     map[string]any{"front": r.callers, "directory": r.directory, "control": r.peers, "ready": r.ready},
		"port_range": []int{0, 0}, "seeds": seeds, "bootstrap": true, "heartbeat_ms": heartbeat.Milliseconds(),
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": c.memoryMB, "fd_limit": c.descriptors, "link_mbps": 1000.0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recover_s": 12, "event_delay_ms": 120,
			"reuse_window_s": 10, "quota_window_s": 4, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": s.store.address, "form": "log"},
	})
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", name, err)
	}
	path := filepath.Join(s.directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", name, err)
	}
	r.logPath = filepath.Join(s.directory, name+".log")
	r.process = disruption.NewProcess(s.binary, []string{"hosted"}, []string{contract.SettingsVariable + "=" + path}, r.logPath)
	if err := r.process.Start(); err != nil {
		return nil, err
	}
	s.routers = append(s.routers, r)
	s.record.printf("router %s started, for callers at %s", name, r.callers)
	return r, s.awaitReady(ctx, r)
}

// awaitReady waits until the router states that it is ready.
func (s *stage) awaitReady(ctx context.Context, r *router) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready.String()+contract.PathReady, http.NoBody)
		if err != nil {
			return fmt.Errorf("ask whether the router is ready: %w", err)
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.record.printf("the router at %s is ready", r.callers)
			return nil
		}
	}
	return errNotReady
}

// listen opens a listener at a free loopback address.
func listen(ctx context.Context) (net.Listener, netip.AddrPort, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, address, nil
}
