package entry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/execution"
)

// Executor runs admitted calls; see execution.Runner.Run for the errors that it
// returns.
type Executor interface {
	Run(ctx context.Context, c *execution.Call, sink execution.Sink) error
}

// Configurations provides the configuration in force.
type Configurations interface {
	// Index returns the configuration in force; nil before the first one.
	Index() *text.Index
	// InForceSince returns the time at which the configuration came into force
	// at this router.
	InForceSince() time.Time
}

// Limits bounds the memory and time that a caller, or all callers together, may
// use.
type Limits struct {
	// BodyBytes bounds the size of a body.
	BodyBytes int64
	// TotalBodyBytes bounds the total size of the bodies of all requests in the
	// router.
	TotalBodyBytes int64
	// BodyTimeout bounds the time for receiving a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time for writing a part of an answer.
	WriteTimeout time.Duration
	// RequestTimeout determines the deadline of requests that state none.
	RequestTimeout time.Duration
	// EntryHold is how long a caller may use a list of routers that it has
	// received (caller.EntryAnswer).
	EntryHold time.Duration
}

// Handler is the HTTP handler for callers.
type Handler struct {
	router         view.RouterID
	limits         Limits
	configurations Configurations
	views          execution.Views
	executor       Executor
	metrics        *Metrics
	logger         log.Interface
	bodies         *BodyLimiter
	draining       atomic.Bool
	mux            *http.ServeMux
}

// New returns a Handler for the callers of the given router.
func New(router view.RouterID, limits Limits, configurations Configurations, views execution.Views, executor Executor, registry metrics.Registry, logger log.Interface) *Handler {
	h := &Handler{
		router: router, limits: limits, configurations: configurations, views: views,
		executor: executor, metrics: NewMetrics(registry), logger: logger,
		bodies: NewBodyLimiter(limits.TotalBodyBytes), mux: http.NewServeMux(),
	}
	h.mux.HandleFunc("GET "+caller.PathRouters, h.serveRouters)
	h.mux.HandleFunc("POST "+caller.PathChatCompletions, h.serveModel)
	h.mux.HandleFunc("POST "+caller.PathCompletions, h.serveModel)
	h.mux.HandleFunc(caller.PathServices+"{Service}/{Path...}", h.servePlain)
	return h
}

// Drain makes every further answer close its connection, so that callers move
// to other routers without an interrupted request.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

// request is a caller's request during admission.
type request struct {
	id     string
	now    time.Time
	writer http.ResponseWriter
	*http.Request
}

func (h *Handler) newRequest(w http.ResponseWriter, r *http.Request) *request {
	id := string(h.router) + "-" + uuid.NewString()
	w.Header().Set(caller.HeaderRequestID, id)
	h.metrics.Arrived()
	return &request{id: id, now: time.Now(), writer: w, Request: r}
}

// refuseAtAdmission answers a request with a refusal. The router does not know
// the outcome of earlier sends with the same idempotency key. It therefore
// states that a request with a key has not run only if this is its first send,
// or if the request is malformed, so that no router can have admitted it.
func (h *Handler) refuseAtAdmission(r *request, p *caller.Problem) {
	resent := r.Header.Get(caller.HeaderIdempotencyKey) != "" && r.Header.Get(caller.HeaderFirstSend) != "true"
	if resent && p.Status != http.StatusBadRequest && p.NotRun == caller.NotRunTrue {
		p.NotRun = caller.NotRunUnknown
	}
	h.writeRefusal(r, p)
}

// writeRefusal answers a request with a refusal. It lists other routers, to
// which the caller can send the request instead.
func (h *Handler) writeRefusal(r *request, p *caller.Problem) {
	p.RequestID = r.id
	p.Routers = h.otherRouters()
	h.metrics.Refused(nil)
	h.logger.WithFields(log.Fields{
		"RequestID": r.id, "Status": p.Status, "NotRun": p.NotRun, "Step": p.Step, "Detail": p.Detail,
	}).Info("RequestRefused")
	p.Write(r.writer, time.Now())
}

func (h *Handler) otherRouters() []netip.AddrPort {
	v := h.views.View()
	var otherRouters []netip.AddrPort
	for i := range v.Routers {
		if v.Routers[i].ID != v.Self && !v.Routers[i].Draining && !v.Routers[i].Suspected {
			otherRouters = append(otherRouters, v.Routers[i].CallerAddress)
		}
	}
	return otherRouters[:min(len(otherRouters), maxAnswerRouters)]
}

// run executes an admitted call and updates the metrics. If the call fails, run
// writes the refusal or, if the answer has begun, ends it as broken.
func (h *Handler) run(r *request, c *execution.Call) {
	sink := NewSink(r.writer, c.Stream, h.limits.WriteTimeout)
	err := h.executor.Run(r.Context(), c, sink)
	h.metrics.Ran(r.now)
	var problem *caller.Problem
	switch {
	case err == nil:
		h.metrics.Answered(nil)
	case errors.As(err, &problem):
		h.writeRefusal(r, problem)
	default:
		h.metrics.Broken(h.logger, r.id, err)
		sink.abort(r.id, err)
	}
}
