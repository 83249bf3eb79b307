package router

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/view"
)

// The paths of the HTTP interface for operators.
const (
	PathAlive   = "/alive"
	PathReady   = "/ready"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
	// PathProfile returns a CPU profile, by default of 30 seconds, and
	// PathAllocations a profile of all allocations since the start.
	PathProfile     = "/debug/profile"
	PathAllocations = "/debug/allocations"
	// PathFleet reports the revision in force on each router of the fleet.
	PathFleet = "/fleet"
	// PathText returns the operators' text in force.
	PathText = "/text"
)

// Status is the state that a router reports to operators.
type Status struct {
	Router      view.RouterID
	Incarnation uint64
	Draining    bool
	Now         time.Time
	// Revision, Offset and Hash identify the operators' text in force here.
	Revision uint64
	Offset   uint64
	Hash     uint64
	// InForceSince is the instant at which that text came into force here.
	InForceSince time.Time
	// Waiting is the number of requests that the scheduler has neither started
	// nor refused.
	Waiting   int
	Routers   []view.Router
	Endpoints []view.Endpoint
}

// operatorHandler returns the handler of the HTTP interface for operators.
func (r *Router) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAlive, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		// A router that knows no endpoint yet cannot serve any request.
		if r.fleet.Index() == nil || len(r.fleet.View().Endpoints) == 0 || r.draining() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r.options.Registry, w)
	})
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator has disconnected.
		_ = json.NewEncoder(w).Encode(r.status())
	})
	mux.HandleFunc("GET "+PathProfile, pprof.Profile)
	mux.Handle("GET "+PathAllocations, pprof.Handler("allocs"))
	mux.HandleFunc("GET "+PathFleet, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.fleetStatus(request.Context()))
	})
	mux.HandleFunc("GET "+PathText, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(r.fleet.configuration().Text)
	})
	return mux
}

func (r *Router) draining() bool {
	v := r.fleet.View()
	for i := range v.Routers {
		if v.Routers[i].ID == v.Self {
			return v.Routers[i].Draining
		}
	}
	return false
}

func (r *Router) status() Status {
	v, c := r.fleet.View(), r.fleet.configuration()
	return Status{
		Router: r.self.ID, Incarnation: r.self.Incarnation, Draining: r.draining(), Now: time.Now().UTC(),
		Revision: c.Revision, Offset: c.Offset, Hash: c.Hash,
		InForceSince: r.fleet.InForceSince().UTC(), Waiting: r.scheduling.Waiting(),
		Routers: v.Routers, Endpoints: v.Endpoints,
	}
}
