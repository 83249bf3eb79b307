package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/apex/log"
	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/router"
)

// cutNetwork is a network that loses the packets from some addresses. A filter
// on each socket makes the host drop the packets before the router receives
// them.
type cutNetwork struct {
	router.Network

	mu    sync.Mutex
	cut   map[string]bool       // guarded by mu
	conns map[net.Conn]struct{} // guarded by mu
}

// newCutNetwork returns a cutNetwork on the network of the host. No address is
// cut off at first.
func newCutNetwork(host router.Network) *cutNetwork {
	n := &cutNetwork{Network: host, conns: make(map[net.Conn]struct{})}
	router.SetDialControl(n.Network, func(address string, raw syscall.RawConn) error {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[address] {
			return filter(raw, true)
		}
		return nil
	})
	return n
}

func (n *cutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[conn] = struct{}{}
	return conn, nil
}

// set cuts off the given addresses and restores all others.
func (n *cutNetwork) set(addresses map[string]bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = addresses
	for conn := range n.conns {
		cut := addresses[conn.RemoteAddr().String()]
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			return err
		}
		if err := filter(raw, cut); err != nil && !strings.Contains(err.Error(), "closed") {
			return err
		}
	}
	return nil
}

// filter makes the host drop all packets that arrive for the socket, or removes
// that filter if drop is false. Removing fails if there is no filter, which is
// ignored.
func filter(raw syscall.RawConn, drop bool) error {
	const (
		attachFilter = 26 // SO_ATTACH_FILTER
		detachFilter = 27 // SO_DETACH_FILTER
	)
	option, program := detachFilter, []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}
	if drop {
		option = attachFilter
	}
	arguments := syscall.SockFprog{Len: 1, Filter: &program[0]}
	var code syscall.Errno
	err := raw.Control(func(fd uintptr) {
		_, _, code = syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, uintptr(option),
			uintptr(unsafe.Pointer(&arguments)), unsafe.Sizeof(arguments), 0)
	})
	if err != nil {
		return err
	}
	if code != 0 && drop {
		return fmt.Errorf("filter a socket: %w", code)
	}
	return nil
}

// recorder records log lines, with the parts replaced that differ from run to
// run.
type recorder struct {
	mu    sync.Mutex
	lines map[string]struct{} // guarded by mu
}

// varying matches identifiers, addresses, instants and numbers.
var varying = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}|#[0-9a-z]+|[0-9]+(\.[0-9]+)?(µs|ms|s)?`)

// HandleLog records one line.
func (r *recorder) HandleLog(e *log.Entry) error {
	fields := make([]string, 0, len(e.Fields))
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		value := fmt.Sprint(e.Fields[name])
		if name == "RequestID" || name == "Request" || name == "Attempt" {
			value = "id"
		}
		fields = append(fields, name+"="+varying.ReplaceAllString(value, "#"))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines != nil {
		r.lines[e.Message+" "+strings.Join(fields, " ")] = struct{}{}
	}
	return nil
}

// take returns the lines recorded since the last call, sorted and without
// duplicates. Recording starts with the first call.
func (r *recorder) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Sorted(maps.Keys(r.lines))
	r.lines = make(map[string]struct{})
	return lines
}

// has reports whether a line with the message was recorded since the last call
// of take.
func (r *recorder) has(message string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for line := range r.lines {
		if strings.HasPrefix(line, message+" ") {
			return true
		}
	}
	return false
}

// observed holds the log lines and the answers that operators and callers get
// while an endpoint is cut off.
type observed struct{ lines, answers []string }

// observe calls a service before, during and after its endpoint is cut off, by a
// rehearsal or, if real is set, by packet loss on the host.
func observe(t *testing.T, rehearsed text.Rehearsal, real bool) observed {
	t.Helper()
	is := is.New(t)
	lines := &recorder{}
	var network *cutNetwork
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := rig.Start(ctx, rig.Options{
		Document: rig.NewDocument(2, 1, 1, []string{"Durgapur"}), Routers: 1, FailureDomains: []string{"Kolkata"},
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: lines, Level: log.InfoLevel},
		Network: func(_ int, host router.Network) router.Network {
			network = newCutNetwork(host)
			return network
		},
	})
	is.NoErr(err)
	defer func() {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		is.NoErr(r.Close())
	}()
	url := "http://" + r.Routers[0].CallerAddress().String() + caller.PathServices + rig.PlainService + "/assets/tile"
	get := func(path string, header ...string) string {
		status, body := call(t, http.MethodGet, url+path, "org-01", "", header...)
		return describe(status, body)
	}
	await200 := func(path string) {
		for get(path) != "200" {
			time.Sleep(10 * time.Millisecond)
		}
	}
	await200("-0")
	lines.take()

	next := *r.Document
	until := time.Now().Add(6 * time.Second)
	if !real {
		rehearsed.Name, rehearsed.From, rehearsed.Until = "monthly", time.Now().Add(-time.Second), until
		next.Rehearsals = []text.Rehearsal{rehearsed}
	}
	is.NoErr(r.Publish(&next))
	is.NoErr(r.WaitForAll(ctx, func(rt *router.Router) bool { return rt.Fleet().Revision == 2 }))
	if real {
		is.NoErr(network.set(cutAddresses(r.Document, rehearsed)))
	}
	var seen observed
	for i := range 3 {
		deadline := time.Now().Add(1300 * time.Millisecond).UTC().Format(time.RFC3339Nano)
		seen.answers = append(seen.answers, get(fmt.Sprint("-", i+1), caller.HeaderDeadline, deadline))
	}
	seen.lines = lines.take()
	time.Sleep(time.Until(until))
	if real {
		is.NoErr(network.set(nil))
	}
	await200("-9")
	return seen
}

// cutAddresses returns the addresses of the endpoints that the rehearsal names.
func cutAddresses(doc *text.Document, r text.Rehearsal) map[string]bool {
	addresses := make(map[string]bool)
	for i := range doc.Pools {
		for j := range doc.Pools[i].Endpoints {
			if e := &doc.Pools[i].Endpoints[j]; e.Key() == r.Endpoint || e.FailureDomain == r.FailureDomain {
				addresses[e.Address.String()] = true
			}
		}
	}
	return addresses
}

// describe returns a description of an answer without the parts that differ from
// run to run.
func describe(status int, body string) string {
	var p caller.Problem
	if status == http.StatusOK || json.Unmarshal([]byte(body), &p) != nil {
		return fmt.Sprint(status)
	}
	return fmt.Sprint(status, " ", p.Title, " ", p.NotRun, " ", p.Step, " ", varying.ReplaceAllString(p.Detail, "#"))
}

// TestRehearsalMatchesRealPacketLoss guards against a rehearsal that callers and
// operators can distinguish from a real failure: answers and log lines must be
// the same as when the host drops the packets.
func TestRehearsalMatchesRealPacketLoss(t *testing.T) {
	for _, test := range []struct {
		name      string
		rehearsal text.Rehearsal
	}{
		{"Endpoint", text.Rehearsal{Endpoint: "vm-board-01/board-01"}},
		{"FailureDomain", text.Rehearsal{FailureDomain: "Durgapur"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rehearsed := observe(t, test.rehearsal, false)
			cut := observe(t, test.rehearsal, true)
			t.Log("answers:", strings.Join(cut.answers, " | "))
			t.Log("lines:\n" + strings.Join(cut.lines, "\n"))
			is.Equal(rehearsed.answers, cut.answers)
			is.Equal(rehearsed.lines, cut.lines)
		})
	}
}

// TestRehearsedFailureDomainRejoins guards against a router that stays cut off
// because its rehearsal isolates it from the log, so that it cannot read the
// text that ends the rehearsal. The rehearsal must end at its own Until, and not
// before.
func TestRehearsedFailureDomainRejoins(t *testing.T) {
	is := is.New(t)
	lines := &recorder{}
	lines.take()
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := rig.Start(ctx, rig.Options{
		Document: rig.NewDocument(2, 3, 0, domains), Routers: 3, FailureDomains: domains,
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: lines, Level: log.InfoLevel},
	})
	is.NoErr(err)
	defer func() { is.NoErr(r.Close()) }()
	next := *r.Document
	next.Rehearsals = []text.Rehearsal{{
		Name: "monthly", FailureDomain: "Kolkata", From: time.Now(), Until: time.Now().Add(10 * time.Second),
	}}
	is.NoErr(r.Publish(&next))
	await(t, r, func(rt *router.Router) bool { return rt.Fleet().Revision == 2 })
	for !lines.has("RouterDead") {
		is.NoErr(ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(r.Publish(r.Document)) // the cut-off router cannot read this yet
	await(t, r, func(rt *router.Router) bool {
		v := rt.Fleet()
		return v.Revision == 3 && len(v.Routers) == 3
	})
	is.True(!time.Now().Before(next.Rehearsals[0].Until)) // not before the rehearsal's own end
}
