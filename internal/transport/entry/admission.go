package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/execution"
)

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 256
	// clockSkew is the tolerance for differences between a caller's clock and
	// the router's, added to the deadlines that callers state.
	clockSkew = 500 * time.Millisecond
	// maxDeadline bounds how far ahead a caller's deadline may lie.
	maxDeadline = time.Hour
	// discoveryGrace is the time after a configuration came into force during
	// which its endpoints may not have been discovered yet.
	discoveryGrace = 2 * time.Second
	// discoveryPollInterval is the time between two checks for these endpoints.
	discoveryPollInterval = 10 * time.Millisecond
)

// NewRefusal returns a refusal, which states that the request has not run.
func NewRefusal(status int, step, detail string) *caller.Problem {
	return &caller.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail, NotRun: caller.NotRunTrue, Step: step,
	}
}

// serveModel admits and runs a call to a model.
func (h *Handler) serveModel(w http.ResponseWriter, hr *http.Request) {
	r := h.newRequest(w, hr)
	index, organisation, problem := h.identify(r)
	if problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	body, release, problem := h.bodies.Read(r.writer, r.Request, h.limits.BodyBytes, r.now.Add(h.limits.BodyTimeout))
	if problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	defer release()
	completion, err := caller.ParseCompletion(body)
	if err != nil {
		h.refuseAtAdmission(r, NewRefusal(http.StatusBadRequest, "Parse", err.Error()))
		return
	}
	service, problem := modelService(index, completion.Model, r.Header.Get(caller.HeaderService))
	if problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	c := &execution.Call{
		Organisation: organisation, Service: service, Model: completion.Model, Prefix: completion.Prefix(),
		Stream: completion.Stream, Path: r.URL.Path, Body: body,
	}
	h.admit(r, index, c)
}

// servePlain admits and runs a call to a plain service.
func (h *Handler) servePlain(w http.ResponseWriter, hr *http.Request) {
	r := h.newRequest(w, hr)
	index, organisation, problem := h.identify(r)
	if problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	name := r.PathValue("Service")
	service := index.Service(name)
	if service == nil || service.Kind != text.KindPlain {
		h.refuseAtAdmission(r, NewRefusal(http.StatusNotFound, "Admit", fmt.Sprintf("there is no plain service %q in force", name)))
		return
	}
	path, err := servicePath(r.RequestURI, name)
	if err != nil {
		h.refuseAtAdmission(r, NewRefusal(http.StatusBadRequest, "Parse", err.Error()))
		return
	}
	body, release, problem := h.bodies.Read(r.writer, r.Request, h.limits.BodyBytes, r.now.Add(h.limits.BodyTimeout))
	if problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	defer release()
	h.admit(r, index, &execution.Call{Organisation: organisation, Service: service, Path: path, Body: body})
}

// servicePath returns the path and query at a service, with the bytes that the caller sent.
func servicePath(target, service string) (string, error) {
	prefix := caller.PathServices + service
	rest, ok := strings.CutPrefix(target, prefix)
	if !ok {
		return "", fmt.Errorf("the path does not begin with %s", prefix)
	}
	return rest, endpoint.CheckTarget(rest)
}

// identify returns the configuration in force and the caller's organisation.
func (h *Handler) identify(r *request) (*text.Index, *text.Organisation, *caller.Problem) {
	index := h.configurations.Index()
	if index == nil {
		return nil, nil, NewRefusal(http.StatusServiceUnavailable, "Configure", "no configuration is in force on this router yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, nil, NewRefusal(http.StatusUnauthorized, "Identify", "send your organisation's key as \"Authorization: Bearer KEY\"")
	}
	organisation := index.Organisation(key)
	if organisation == nil {
		return nil, nil, NewRefusal(http.StatusUnauthorized, "Identify", "the key belongs to no organisation in force")
	}
	return index, organisation, nil
}

// modelService returns the service through which the model is called. If
// serviceName is not empty, only the service of that name is considered.
func modelService(index *text.Index, model, serviceName string) (*text.Service, *caller.Problem) {
	doc := index.Document()
	pools := make(map[string]bool)
	for i := range doc.Models {
		if servesModel(&doc.Models[i], model) {
			pools[doc.Models[i].Pool] = true
		}
	}
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.Kind == text.KindModel && pools[s.Pool] && (serviceName == "" || serviceName == s.Name) {
			return s, nil
		}
	}
	return nil, NewRefusal(http.StatusNotFound, "Admit", fmt.Sprintf("no service in force offers model %q", model))
}

// servesModel reports whether the model name in a request denotes m: it is m's
// name, or m's name and one of its adapters in the form "Name:Adapter".
func servesModel(m *text.Model, name string) bool {
	base, adapter, hasAdapter := strings.Cut(name, ":")
	if base != m.Name {
		return false
	}
	if !hasAdapter {
		return true
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// admit completes the call from the request's headers, checks it, and runs it.
func (h *Handler) admit(r *request, index *text.Index, c *execution.Call) {
	c.RequestID, c.Method = r.id, r.Method
	c.Parent = r.Header.Get(caller.HeaderParentRequestID)
	c.Key = r.Header.Get(caller.HeaderIdempotencyKey)
	c.Header = forwardedHeaders(r.Header, c.Service.Kind)
	path, _, _ := strings.Cut(c.Path, "?")
	c.Class = index.Class(c.Service.Name, r.Method, path)
	if problem := h.completeCall(r, index, c); problem != nil {
		h.refuseAtAdmission(r, problem)
		return
	}
	h.run(r, c)
}

// completeCall checks the call and sets its deadline, its urgency and the
// headers that depend on them.
func (h *Handler) completeCall(r *request, index *text.Index, c *execution.Call) *caller.Problem {
	if c.Class == nil {
		return NewRefusal(http.StatusNotFound, "Admit", fmt.Sprintf("no request class of service %q matches %s %s", c.Service.Name, c.Method, c.Path))
	}
	if len(c.Key) > maxKeyBytes {
		return NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("the idempotency key has %d bytes; at most %d are allowed", len(c.Key), maxKeyBytes))
	}
	if !c.Class.Idempotent && c.Key == "" {
		return NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("class %q is not idempotent; send an %s header, and the same one when you send the request again", c.Class.Name, caller.HeaderIdempotencyKey))
	}
	deadline, problem := h.deadline(r)
	if problem != nil {
		return problem
	}
	c.Deadline = deadline
	if c.Urgency, problem = urgency(r, c); problem != nil {
		return problem
	}
	if c.Service.Kind == text.KindPlain {
		setNestedCallHeaders(c)
	}
	return h.checkDependencies(r, index, c)
}

// urgency returns the urgency of the call's class or, for a nested call, that
// of its parent if it is higher.
func urgency(r *request, c *execution.Call) (int, *caller.Problem) {
	value := r.Header.Get(caller.HeaderUrgency)
	if c.Parent == "" || value == "" {
		return c.Class.Urgency, nil
	}
	inherited, err := strconv.Atoi(value)
	if err != nil {
		return 0, NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("%s is %q; pass on the number that the parent call brought", caller.HeaderUrgency, value))
	}
	return max(c.Class.Urgency, inherited), nil
}

// setNestedCallHeaders sets the headers that a plain service passes on with its
// own calls to other services, so that these inherit the parent, the urgency
// and the deadline.
func setNestedCallHeaders(c *execution.Call) {
	c.Header.Set(caller.HeaderParentRequestID, c.RequestID)
	c.Header.Set(caller.HeaderUrgency, strconv.Itoa(c.Urgency))
	c.Header.Set(caller.HeaderDeadline, c.Deadline.UTC().Format(time.RFC3339Nano))
}

func (h *Handler) deadline(r *request) (time.Time, *caller.Problem) {
	value := r.Header.Get(caller.HeaderDeadline)
	if value == "" {
		return r.now.Add(h.limits.RequestTimeout), nil
	}
	at, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return time.Time{}, NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("%s is %q; give an instant such as 2026-01-02T15:04:05Z", caller.HeaderDeadline, value))
	}
	if at.Add(clockSkew).Before(r.now) {
		return time.Time{}, NewRefusal(http.StatusGatewayTimeout, "Admit", "the deadline has passed")
	}
	if latest := r.now.Add(maxDeadline); at.After(latest) {
		at = latest
	}
	return at.Add(clockSkew), nil
}

// checkDependencies refuses a call at admission if its service, or a service on
// which its service depends, has no endpoint that accepts work. Within
// discoveryGrace of a new configuration, the endpoints may not have been
// discovered yet, so the call waits for them.
func (h *Handler) checkDependencies(r *request, index *text.Index, c *execution.Call) *caller.Problem {
	graceEnd := h.configurations.InForceSince().Add(discoveryGrace)
	for {
		now := time.Now()
		problem := unavailableDependency(h.views.View(), index, c, now)
		if problem == nil || now.After(graceEnd) {
			return problem
		}
		select {
		case <-r.Context().Done():
			return problem
		case <-time.After(discoveryPollInterval):
		}
	}
}

func unavailableDependency(v *view.Snapshot, index *text.Index, c *execution.Call, now time.Time) *caller.Problem {
	for _, name := range append([]string{c.Service.Name}, index.Dependencies(c.Service.Name)...) {
		service := index.Service(name)
		if service != nil && poolAvailable(v, service.Pool, now) {
			continue
		}
		p := NewRefusal(http.StatusServiceUnavailable, "Depend", fmt.Sprintf("service %q has no endpoint that takes work", name))
		p.RetryAt = now.Add(time.Second)
		return p
	}
	return nil
}

func poolAvailable(v *view.Snapshot, pool string, now time.Time) bool {
	for i := range v.Endpoints {
		if v.Endpoints[i].Pool == pool && v.Endpoints[i].Accepts("", now) {
			return true
		}
	}
	return false
}

// forwardedHeaders returns the headers to send to the endpoint. A plain service
// receives the organisation's key, because it calls other services on the
// organisation's behalf; an engine calls no other service and does not receive
// the key.
func forwardedHeaders(in http.Header, kind text.Kind) http.Header {
	out := make(http.Header, len(in))
	endpoint.CopyHeader(out, in)
	if kind == text.KindModel {
		out.Del("Authorization")
	}
	return out
}
