package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"hyssopreach/internal/standin/loopback"
	"hyssopreach/platform/contract"
	"hyssopreach/platform/standin"
)

const (
	stampFormat = "15:04:05.000"
	heartbeat   = 1200 * time.Millisecond
	routers     = 3
	// The ports of the settings template.
	frontPort, readyPort, directoryPort = 8783, 8780, 8789
	// leadTime is the time between the start of the routers and that of the traffic.
	leadTime = 6 * time.Second
	// restartTime is the time after which a worker that has crashed is back.
	restartTime = 3 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, time.Now().Format(stampFormat)+" "+format+"\n", args...)
}

// raw writes lines that bear their own time.
func (r *record) raw(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line)
}

// fleet is a small deployment: routers and workers as processes, and the platform's store.
type fleet struct {
	record    *record
	templates *template.Template
	directory string
	hosts     []string
	routers   []*exec.Cmd
	client    *http.Client

	mu sync.Mutex
	// The fields below are guarded by mu.
	version int
	// noTenants is set once the configuration holds no tenant any more.
	noTenants bool
	workers   map[string]*workerProcess
	runs      map[string][]string // the workers that ran a request, by its ID
	// paths are the paths and queries with which a request ran, by its ID.
	paths map[string]string
	// poisonRuns are the times at which workers began to run the request that crashes
	// them.
	poisonRuns []time.Time
	closed     bool
}

// workerProcess is a worker with its entry in the store.
type workerProcess struct {
	options  workerOptions
	service  string
	zone     string
	command  *exec.Cmd
	born     int64
	listed   bool
	leaving  bool
	killed   bool
	sequence int
}

// newFleet starts the store and the routers. The directory holds settings and logs.
func newFleet(ctx context.Context, r *record, directory string) (*fleet, error) {
	templates, err := template.ParseGlob(filepath.Join("review", "templates", "*.json"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: r, templates: templates, directory: directory, version: 1, workers: map[string]*workerProcess{}, runs: map[string][]string{}, paths: map[string]string{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}},
	}
	return f, f.startStore(ctx)
}

// startStore serves the platform's store and chooses the hosts of the routers.
func (f *fleet) startStore(ctx context.Context) error {
	for range routers {
		free, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, free.Addr().String())
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(f.serveStore), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	for i := range routers {
		var settings bytes.Buffer
		err := f.templates.ExecuteTemplate(&settings, "settings.json", map[string]any{
			"Name": fmt.Sprint("edge-", i), "IP": f.hosts[i], "Zone": fmt.Sprint("z", i%3), "Seeds": f.hosts, "Store": l.Addr().String(),
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.settingsPath(i), settings.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) settingsPath(i int) string {
	return filepath.Join(f.directory, fmt.Sprintf("edge-%d.json", i))
}

// startRouters starts the routers as the deploy file says and waits until they are ready.
func (f *fleet) startRouters(ctx context.Context) error {
	f.routers = make([]*exec.Cmd, routers)
	for i := range routers {
		if err := f.startRouter(ctx, i); err != nil {
			return err
		}
	}
	begun := time.Now()
	for i := range routers {
		if err := f.waitReady(ctx, i); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begun.Add(leadTime)))
	return nil
}

func (f *fleet) startRouter(ctx context.Context, i int) error {
	log, err := os.OpenFile(filepath.Join(f.directory, fmt.Sprintf("edge-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(ctx, filepath.Join("target", "hyssopreach"), "hosted")
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), contract.SettingsVariable + "=" + f.settingsPath(i)}
	f.routers[i] = c
	f.record.addf("router edge-%d starts", i)
	return c.Start()
}

func (f *fleet) waitReady(ctx context.Context, i int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, _, err := f.get(ctx, fmt.Sprintf("http://%s:%d%s", f.hosts[i], readyPort, contract.PathReady))
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router edge-%d is not ready", i)
}

func (f *fleet) get(ctx context.Context, url string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, nil, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// resolve asks a router where to connect.
func (f *fleet) resolve(ctx context.Context) ([]netip.AddrPort, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr(f.hosts[0]), directoryPort)
	_, body, err := f.get(ctx, standin.Dialect{}.RouterListURL(address))
	if err != nil {
		return nil, err
	}
	return standin.Dialect{}.ParseRouterList(bytes.NewReader(body))
}

// serveStore answers a read of the store.
func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	var config strings.Builder
	_ = f.templates.ExecuteTemplate(&config, "config.json", map[string]any{"Version": f.version, "NoTenants": f.noTenants})
	entries := map[string]string{}
	for id, p := range f.workers {
		if !p.listed {
			continue
		}
		var entry strings.Builder
		state := contract.StateReady
		if p.leaving {
			state = contract.StateDraining
		}
		_ = f.templates.ExecuteTemplate(&entry, "entry.json", map[string]any{
			"Service": p.service, "Address": p.options.Address, "Zone": p.zone, "Slots": 128, "State": state, "Born": p.born, "Sequence": p.sequence,
		})
		entries[id] = entry.String()
	}
	standin.Dialect{}.SetEpoch(w.Header(), 1)
	standin.Dialect{}.ServeStore(w, r, config.String(), entries)
}

// beat renews the entries of the workers that run.
func (f *fleet) beat(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		for _, p := range f.workers {
			p.sequence++
		}
		f.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// startWorker starts a worker process and lists it.
func (f *fleet) startWorker(ctx context.Context, service, zone string, o workerOptions) error {
	free, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	o.ID, o.Address = fmt.Sprintf("i-%08x", rand.Uint32()), free.String()
	description, err := json.Marshal(o)
	if err != nil {
		return err
	}
	c := exec.CommandContext(ctx, os.Args[0], "worker", string(description))
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	go f.readRuns(out)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = c.Process.Kill()
		return errCannotRun
	}
	f.workers[o.ID] = &workerProcess{options: o, service: service, zone: zone, command: c, born: time.Now().UnixMilli(), listed: true}
	f.record.addf("worker %s of %s starts at %s", o.ID, service, o.Address)
	return nil
}

// readRuns records the runs that a worker reports.
func (f *fleet) readRuns(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		f.record.raw(lines.Text())
		if fields := strings.Fields(lines.Text()); len(fields) > 4 {
			f.mu.Lock()
			f.runs[fields[3]] = append(f.runs[fields[3]], fields[2])
			f.paths[fields[3]] = fields[4]
			if strings.Contains(fields[4], poisonPart) {
				f.poisonRuns = append(f.poisonRuns, time.Now())
				go f.crashed(fields[2])
			}
			f.mu.Unlock()
		}
	}
}

// unframedWorker returns a worker of the service that ends some answers with their
// connection.
func (f *fleet) unframedWorker(service string) *workerProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.workers {
		if p.service == service && p.options.Unframed > 0 && !p.killed {
			return p
		}
	}
	return nil
}

// crash kills a worker. Its entry is removed after three heartbeats.
func (f *fleet) crash(p *workerProcess) {
	f.mu.Lock()
	p.killed = true
	f.mu.Unlock()
	f.record.addf("worker %s crashes", p.options.ID)
	_ = p.command.Process.Kill()
	time.AfterFunc(3*heartbeat, func() { f.unlist(p) })
}

// crashed removes the entry of a worker that has crashed by itself, and starts another one
// some seconds later.
func (f *fleet) crashed(id string) {
	f.mu.Lock()
	p := f.workers[id]
	f.mu.Unlock()
	f.record.addf("worker %s has crashed", id)
	time.AfterFunc(3*heartbeat, func() { f.unlist(p) })
	time.AfterFunc(restartTime, func() {
		if err := f.startWorker(context.Background(), p.service, p.zone, workerOptions{Unframed: p.options.Unframed}); err != nil {
			f.record.addf("the worker does not start again: %v", err)
		}
	})
}

func (f *fleet) unlist(p *workerProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.listed = false
	f.record.addf("the entry of worker %s is removed", p.options.ID)
}

// drain reports that a worker leaves.
func (f *fleet) drain(p *workerProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.leaving = true
	p.sequence++
	f.record.addf("worker %s is draining", p.options.ID)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	var all []*exec.Cmd
	all = append(all, f.routers...)
	for _, p := range f.workers {
		all = append(all, p.command)
	}
	for _, c := range all {
		if c == nil || c.Process == nil {
			continue
		}
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

var errCannotRun = errors.New("the case could not run")
