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

// The names of the metrics that count callers' requests.
const (
	MetricRequests = "Requests"
	MetricAnswers  = "Answers"
	MetricRefusals = "Refusals"
	MetricBroken   = "BrokenAnswers"
	// MetricDuration is in microseconds.
	MetricDuration = "RequestDurationMicros"
)

const (
	// sampleSize is the number of durations that the histogram keeps.
	sampleSize = 1028
	// sampleDecay weighs the last five minutes most.
	sampleDecay = 0.015
)

// Executor runs admitted calls; execution.Runner tells what it returns.
type Executor interface {
	Run(ctx context.Context, c *execution.Call, sink execution.Sink) error
}

// Configurations returns the operators' text in force; nil before the first.
type Configurations interface {
	Index() *text.Index
	// InForceSince is the instant at which it came into force here.
	InForceSince() time.Time
}

// Limits bound what one caller and all callers together may hold.
type Limits struct {
	// BodyBytes bounds one body.
	BodyBytes int64
	// TotalBodyBytes bounds the bodies of all requests in the router.
	TotalBodyBytes int64
	// BodyTimeout bounds the time in which a caller must send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a caller must take each part.
	WriteTimeout time.Duration
	// RequestTimeout is given to requests that state no deadline.
	RequestTimeout time.Duration
	// EntryHold is how long an entry answer may be used.
	EntryHold time.Duration
}

// Handler serves callers.
type Handler struct {
	router         view.RouterID
	limits         Limits
	configurations Configurations
	views          execution.Views
	executor       Executor
	registry       metrics.Registry
	logger         log.Interface
	bodies         *BodyLimiter
	durations      metrics.Histogram
	draining       atomic.Bool
	mux            *http.ServeMux
}

// New returns a handler for the callers of the given router.
func New(router view.RouterID, limits Limits, configurations Configurations, views execution.Views, executor Executor, registry metrics.Registry, logger log.Interface) *Handler {
	h := &Handler{
		router: router, limits: limits, configurations: configurations, views: views,
		executor: executor, registry: registry, logger: logger,
		durations: metrics.GetOrRegisterHistogram(MetricDuration, registry, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		bodies:    NewBodyLimiter(limits.TotalBodyBytes), mux: http.NewServeMux(),
	}
	h.mux.HandleFunc("GET "+caller.PathRouters, h.routers)
	h.mux.HandleFunc("POST "+caller.PathChatCompletions, h.model)
	h.mux.HandleFunc("POST "+caller.PathCompletions, h.model)
	h.mux.HandleFunc(caller.PathServices+"{Service}/{Path...}", h.plain)
	return h
}

// Drain makes every further answer end its connection, so that callers leave
// without a request being cut.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP answers one caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	h.mux.ServeHTTP(w, r)
}

// request is one caller's request on its way through admission.
type request struct {
	id     string
	now    time.Time
	writer http.ResponseWriter
	*http.Request
}

func (h *Handler) newRequest(w http.ResponseWriter, r *http.Request) *request {
	id := string(h.router) + "-" + uuid.NewString()
	w.Header().Set(caller.HeaderRequestID, id)
	metrics.GetOrRegisterCounter(MetricRequests, h.registry).Inc(1)
	return &request{id: id, now: time.Now(), writer: w, Request: r}
}

// refuse answers with a refusal at admission. This router does not know what
// became of earlier sends with the same key, so it says that a keyed request
// has not run only if this is its first send, or if no router could ever have
// admitted it.
func (h *Handler) refuse(r *request, p *caller.Problem) {
	resent := r.Header.Get(caller.HeaderIdempotencyKey) != "" && r.Header.Get(caller.HeaderFirstSend) != "true"
	if resent && p.Status != http.StatusBadRequest && p.NotRun == caller.NotRunTrue {
		p.NotRun = caller.NotRunUnknown
	}
	h.tell(r, p)
}

// tell answers with a refusal. Routers other than this one are named, so that
// the caller can go on elsewhere.
func (h *Handler) tell(r *request, p *caller.Problem) {
	p.RequestID = r.id
	p.Routers = h.others()
	metrics.GetOrRegisterCounter(MetricRefusals, h.registry).Inc(1)
	h.logger.WithFields(log.Fields{
		"RequestID": r.id, "Status": p.Status, "NotRun": p.NotRun, "Step": p.Step, "Detail": p.Detail,
	}).Info("RequestRefused")
	p.Write(r.writer, time.Now())
}

func (h *Handler) others() []netip.AddrPort {
	v := h.views.View()
	var others []netip.AddrPort
	for i := range v.Routers {
		if v.Routers[i].ID != v.Self && !v.Routers[i].Draining && !v.Routers[i].Suspected {
			others = append(others, v.Routers[i].CallerAddress)
		}
	}
	return others[:min(len(others), maxNamedRouters)]
}

// run executes an admitted call and reports how it ended.
func (h *Handler) run(r *request, c *execution.Call) {
	sink := NewSink(r.writer, c.Stream, h.limits.WriteTimeout)
	err := h.executor.Run(r.Context(), c, sink)
	h.durations.Update(time.Since(r.now).Microseconds())
	var problem *caller.Problem
	switch {
	case err == nil:
		metrics.GetOrRegisterCounter(MetricAnswers, h.registry).Inc(1)
	case errors.As(err, &problem):
		h.tell(r, problem)
	default:
		metrics.GetOrRegisterCounter(MetricBroken, h.registry).Inc(1)
		h.logger.WithFields(log.Fields{"RequestID": r.id, "Error": err}).Warn("AnswerBroken")
		sink.abort(r.id, err)
	}
}
