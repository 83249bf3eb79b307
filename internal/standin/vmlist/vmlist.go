package vmlist

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings holds the settings of the VM list.
type Settings struct {
	// Lag is the time after which readers see a change of the list.
	Lag time.Duration
	// VMs is the initial list, which readers see from the start.
	VMs []platform.VM
}

// List is a simulated VM list.
type List struct {
	server.Host
	lag time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.
	versions []version
	down     bool
}

// version is one version of the list, valid from the given time until that of
// the next version.
type version struct {
	number    uint64
	validFrom time.Time
	vms       []platform.VM
}

// PathVM is the path of a single VM. DELETE removes the VM from the list; PUT
// to PathVM + "/leaving" marks the VM as leaving.
const PathVM = "/vms/{Name}"

// New returns a VM list, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *List {
	mux := http.NewServeMux()
	l := &List{Host: server.Host{Handler: mux}, lag: settings.Lag}
	l.versions = []version{{1, time.Now(), slices.Clone(settings.VMs)}}
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

// SetDown sets whether the connection of every read is aborted.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the list. Readers see the new list after the lag.
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

// Remove removes the VM from the list.
func (l *List) Remove(name string) {
	l.change(func(vms []platform.VM) []platform.VM {
		return slices.DeleteFunc(vms, func(v platform.VM) bool { return v.Name == name })
	})
}

// change appends a version of the list that is the edited copy of the last one.
func (l *List) change(edit func([]platform.VM) []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1]
	l.versions = append(l.versions, version{last.number + 1, time.Now(), edit(slices.Clone(last.vms))})
}

// Current returns the version of the list that readers see now, and discards the
// older versions.
func (l *List) Current() platform.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].validFrom.After(asOf) {
		l.versions = l.versions[1:]
	}
	current := l.versions[0]
	if asOf.Before(current.validFrom) {
		asOf = current.validFrom
	}
	return platform.VMList{Version: current.number, AsOf: asOf, VMs: current.vms}
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	down := l.down
	l.mu.Unlock()
	if down {
		server.Abort()
	}
	server.WriteJSON(w, http.StatusOK, l.Current())
}

func (l *List) serveReplace(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if server.ReadJSON(w, r, &vms) {
		l.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	}
}
