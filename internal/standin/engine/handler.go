package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Paths beside those of the platform, by which an engine is made to fail and
// is looked into.
const (
	PathCrash   = "/crash"
	PathLeaving = "/leaving"
	PathRuns    = "/runs"
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveCompletion(w, r, true)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.serveCompletion(w, r, false)
	})
	mux.HandleFunc("DELETE "+platform.PathCancel, func(w http.ResponseWriter, r *http.Request) {
		if !e.cancel(r.PathValue("RequestID")) {
			http.Error(w, "no such request is waiting or running", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+platform.PathInstance, func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		instance := e.instance()
		e.mu.Unlock()
		server.WriteJSON(w, http.StatusOK, instance)
	})
	mux.HandleFunc("GET "+platform.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, e.report(time.Now()))
	})
	mux.HandleFunc("GET "+platform.PathEvents, e.serveEvents)
	mux.HandleFunc("POST "+platform.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+PathCrash, func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("PUT "+PathLeaving, func(w http.ResponseWriter, _ *http.Request) {
		e.SetLeaving(true)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, e.Runs())
	})
	return server.RepeatRequestID(mux)
}

// ServeHTTP serves the engine; while it is crashed every connection breaks.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.currentLife().Err() != nil {
		server.Abort()
	}
	e.handler.ServeHTTP(w, r)
}

func (e *Engine) currentLife() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue(platform.QueryFrom), 10, 64)
	if err != nil {
		http.Error(w, "from: found "+strconv.Quote(r.FormValue(platform.QueryFrom))+", allowed is a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.since(from, time.Now().Add(-e.settings.EventLag))
	e.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, events)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	life := e.currentLife()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p, err := parsePrompt(body, chat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.holds(p.Model) {
		http.Error(w, "the engine doesn't hold model "+strconv.Quote(p.Model), http.StatusNotFound)
		return
	}
	id := r.Header.Get(platform.HeaderRequest)
	if id == "" {
		id = uuid.NewString()
	}
	key := r.Header.Get("Idempotency-Key")
	s := &sequence{
		id:       id,
		prompt:   p,
		tag:      Tag(p.text),
		total:    p.answerTokens(e.settings.MeanTokens, e.settings.Seed),
		kills:    e.settings.KillOn != "" && bytes.Contains(body, []byte(e.settings.KillOn)),
		began:    func(now time.Time) { e.runs.Add(now, id, key) },
		progress: make(chan struct{}, 1),
	}
	w.Header().Set(platform.HeaderRequest, id)
	e.submit(s)
	defer e.drop(s)
	a := &answer{writer: w, sequence: s, chat: chat}
	if !e.follow(life, r.Context(), s, a) {
		server.Abort()
	}
}

// follow writes the answer while it is generated; it returns false if the
// answer broke off.
func (e *Engine) follow(life, caller context.Context, s *sequence, a *answer) bool {
	for {
		select {
		case <-s.progress:
		case <-life.Done():
			return false
		case <-caller.Done():
			return false
		}
		generated, cancelled := e.state(s)
		if cancelled {
			return false
		}
		if a.advance(generated) != nil {
			return false
		}
		if generated == s.total {
			return true
		}
	}
}
