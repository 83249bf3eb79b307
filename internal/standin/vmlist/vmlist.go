package vmlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings of the VM list.
type Settings struct {
	// Lag is how far the served list is behind the truth.
	Lag time.Duration
	// VMs is the first list, which is served from the start.
	VMs []platform.VM
}

// List is the VM list.
type List struct {
	server.Host
	lag time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	history []entry
	down    bool
}

// entry is a list and the instant from which it is true.
type entry struct {
	version uint64
	from    time.Time
	vms     []platform.VM
}

// PathVM is where a single VM is marked as leaving or removed.
const PathVM = "/vms/{Name}"

// New returns a VM list, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *List {
	mux := http.NewServeMux()
	l := &List{Host: server.Host{Handler: mux}, lag: settings.Lag}
	l.history = []entry{{1, time.Now(), slices.Clone(settings.VMs)}}
	mux.HandleFunc("GET "+platform.PathVMs, l.serveList)
	mux.HandleFunc("PUT "+platform.PathVMs, l.serveReplace)
	mux.HandleFunc("PUT "+PathVM+"/leaving", func(w http.ResponseWriter, r *http.Request) {
		l.SetLeaving(r.PathValue("Name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE "+PathVM, func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("Name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return l
}

// SetDown breaks every read while down is true.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the list; readers see it after the lag.
func (l *List) Set(vms []platform.VM) {
	l.change(func([]platform.VM) []platform.VM { return slices.Clone(vms) })
}

// Add adds a VM or replaces the VM of the same name.
func (l *List) Add(vm platform.VM) {
	l.change(func(vms []platform.VM) []platform.VM {
		vms = slices.DeleteFunc(vms, func(v platform.VM) bool { return v.Name == vm.Name })
		return append(vms, vm)
	})
}

// SetLeaving marks the VM as leaving.
func (l *List) SetLeaving(name string) {
	l.change(func(vms []platform.VM) []platform.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].Leaving = true
			}
		}
		return vms
	})
}

// Remove takes the VM off the list.
func (l *List) Remove(name string) {
	l.change(func(vms []platform.VM) []platform.VM {
		return slices.DeleteFunc(vms, func(v platform.VM) bool { return v.Name == name })
	})
}

func (l *List) change(edit func([]platform.VM) []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.history[len(l.history)-1]
	l.history = append(l.history, entry{last.version + 1, time.Now(), edit(slices.Clone(last.vms))})
}

// Now returns the list as readers see it at present.
func (l *List) Now() platform.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := time.Now().Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].from.After(asOf) {
		l.history = l.history[1:]
	}
	shown := l.history[0]
	if asOf.Before(shown.from) {
		asOf = shown.from
	}
	return platform.VMList{Version: shown.version, AsOf: asOf, VMs: shown.vms}
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		server.Abort()
	}
	server.WriteJSON(w, http.StatusOK, l.Now())
}

func (l *List) serveReplace(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if server.ReadJSON(w, r, &vms) {
		l.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	}
}
