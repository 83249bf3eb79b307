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
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// clockSkew is the allowance for a caller's clock, in a deadline that
	// crosses from its process into ours.
	clockSkew = 500 * time.Millisecond
	// maxDeadline bounds how far ahead a caller's deadline may lie.
	maxDeadline = time.Hour
	// discovery is the time after a text came into force in which its
	// endpoints may not have been found yet.
	discovery = 2 * time.Second
	// discoveryPoll is the time between two looks for them.
	discoveryPoll = 10 * time.Millisecond
)

// Reject returns the refusal of a request that has not run.
func NewRefusal(status int, step, detail string) *caller.Problem {
	return &caller.Problem{
		Title: http.StatusText(status), Status: status, Detail: detail, NotRun: caller.NotRunTrue, Step: step,
	}
}

// model admits a call to a model.
func (h *Handler) model(w http.ResponseWriter, hr *http.Request) {
	r := h.newRequest(w, hr)
	index, organisation, problem := h.identify(r)
	if problem != nil {
		h.refuse(r, problem)
		return
	}
	body, release, problem := h.bodies.Read(r.writer, r.Request, h.limits.BodyBytes, r.now.Add(h.limits.BodyTimeout))
	if problem != nil {
		h.refuse(r, problem)
		return
	}
	defer release()
	completion, err := caller.ParseCompletion(body)
	if err != nil {
		h.refuse(r, NewRefusal(http.StatusBadRequest, "Parse", err.Error()))
		return
	}
	service, problem := modelService(index, completion.Model, r.Header.Get(caller.HeaderService))
	if problem != nil {
		h.refuse(r, problem)
		return
	}
	c := &execution.Call{
		Organisation: organisation, Service: service, Model: completion.Model, Prefix: completion.Prefix(),
		Stream: completion.Stream, Path: r.URL.Path, Body: body,
	}
	h.admit(r, index, c)
}

// plain admits a call to a plain service.
func (h *Handler) plain(w http.ResponseWriter, hr *http.Request) {
	r := h.newRequest(w, hr)
	index, organisation, problem := h.identify(r)
	if problem != nil {
		h.refuse(r, problem)
		return
	}
	name := r.PathValue("Service")
	service := index.Service(name)
	if service == nil || service.Kind != text.KindPlain {
		h.refuse(r, NewRefusal(http.StatusNotFound, "Admit", fmt.Sprintf("there is no plain service %q in force", name)))
		return
	}
	body, release, problem := h.bodies.Read(r.writer, r.Request, h.limits.BodyBytes, r.now.Add(h.limits.BodyTimeout))
	if problem != nil {
		h.refuse(r, problem)
		return
	}
	defer release()
	path := "/" + strings.TrimPrefix(r.URL.EscapedPath(), caller.PathServices+name+"/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	h.admit(r, index, &execution.Call{Organisation: organisation, Service: service, Path: path, Body: body})
}

// identify finds the configuration in force and the caller's organisation.
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

// modelService finds the service through which a model is called.
func modelService(index *text.Index, model, wanted string) (*text.Service, *caller.Problem) {
	doc := index.Document()
	pools := make(map[string]bool)
	for i := range doc.Models {
		if servesModel(&doc.Models[i], model) {
			pools[doc.Models[i].Pool] = true
		}
	}
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.Kind == text.KindModel && pools[s.Pool] && (wanted == "" || wanted == s.Name) {
			return s, nil
		}
	}
	return nil, NewRefusal(http.StatusNotFound, "Admit", fmt.Sprintf("no service in force offers model %q", model))
}

// servesModel tells whether a caller's model name means this model: its name,
// or its name and an adapter as "Name:Adapter".
func servesModel(m *text.Model, name string) bool {
	base, adapter, has := strings.Cut(name, ":")
	if base != m.Name {
		return false
	}
	if !has {
		return true
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}

// admit completes the call from the request's headers and runs it.
func (h *Handler) admit(r *request, index *text.Index, c *execution.Call) {
	c.RequestID, c.Method = r.id, r.Method
	c.Parent = r.Header.Get(caller.HeaderParent)
	c.Key = r.Header.Get(caller.HeaderIdempotencyKey)
	c.Header = passedHeaders(r.Header, c.Service.Kind)
	path, _, _ := strings.Cut(c.Path, "?")
	c.Class = index.Class(c.Service.Name, r.Method, path)
	if problem := h.check(r, index, c); problem != nil {
		h.refuse(r, problem)
		return
	}
	h.run(r, c)
}

func (h *Handler) check(r *request, index *text.Index, c *execution.Call) *caller.Problem {
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
		passContext(c)
	}
	return h.checkDependencies(r, index, c)
}

// urgency is that of the class, or a higher one inherited from the parent of a
// nested call.
func urgency(r *request, c *execution.Call) (int, *caller.Problem) {
	stated := r.Header.Get(caller.HeaderUrgency)
	if c.Parent == "" || stated == "" {
		return c.Class.Urgency, nil
	}
	inherited, err := strconv.Atoi(stated)
	if err != nil {
		return 0, NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("%s is %q; pass on the number that the parent call brought", caller.HeaderUrgency, stated))
	}
	return max(c.Class.Urgency, inherited), nil
}

// passContext gives a plain service what its own calls to other services are
// to inherit.
func passContext(c *execution.Call) {
	c.Header.Set(caller.HeaderParent, c.RequestID)
	c.Header.Set(caller.HeaderUrgency, strconv.Itoa(c.Urgency))
	c.Header.Set(caller.HeaderDeadline, c.Deadline.UTC().Format(time.RFC3339Nano))
}

func (h *Handler) deadline(r *request) (time.Time, *caller.Problem) {
	stated := r.Header.Get(caller.HeaderDeadline)
	if stated == "" {
		return r.now.Add(h.limits.RequestTimeout), nil
	}
	at, err := time.Parse(time.RFC3339Nano, stated)
	if err != nil {
		return time.Time{}, NewRefusal(http.StatusBadRequest, "Admit", fmt.Sprintf("%s is %q; give an instant such as 2026-01-02T15:04:05Z", caller.HeaderDeadline, stated))
	}
	if at.Add(clockSkew).Before(r.now) {
		return time.Time{}, NewRefusal(http.StatusGatewayTimeout, "Admit", "the deadline has passed")
	}
	if latest := r.now.Add(maxDeadline); at.After(latest) {
		at = latest
	}
	return at.Add(clockSkew), nil
}

// checkDependencies refuses a call early when its own service or one that it
// depends on has no endpoint that takes work. For a moment after a text came
// into force that is not known yet, and the call waits.
func (h *Handler) checkDependencies(r *request, index *text.Index, c *execution.Call) *caller.Problem {
	known := h.configurations.InForceSince().Add(discovery)
	for {
		now := time.Now()
		problem := dependencyDown(h.views.View(), index, c, now)
		if problem == nil || now.After(known) {
			return problem
		}
		select {
		case <-r.Context().Done():
			return problem
		case <-time.After(discoveryPoll):
		}
	}
}

func dependencyDown(v *view.Snapshot, index *text.Index, c *execution.Call, now time.Time) *caller.Problem {
	for _, name := range append([]string{c.Service.Name}, index.Dependencies(c.Service.Name)...) {
		service := index.Service(name)
		if service != nil && poolLives(v, service.Pool, now) {
			continue
		}
		p := NewRefusal(http.StatusServiceUnavailable, "Depend", fmt.Sprintf("service %q has no endpoint that takes work", name))
		p.RetryAt = now.Add(time.Second)
		return p
	}
	return nil
}

func poolLives(v *view.Snapshot, pool string, now time.Time) bool {
	for i := range v.Endpoints {
		if v.Endpoints[i].Pool == pool && v.Endpoints[i].Takes("", now) {
			return true
		}
	}
	return false
}

// passedHeaders returns the headers that the endpoint is to see. A plain
// service gets the organisation's key, because it calls other services on its
// behalf; an engine calls nobody and does not.
func passedHeaders(in http.Header, kind text.Kind) http.Header {
	out := make(http.Header, len(in))
	endpoint.CopyHeader(out, in)
	if kind == text.KindModel {
		out.Del("Authorization")
	}
	return out
}
