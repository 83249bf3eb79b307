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

// Paths by which tests crash an engine, mark it as leaving, and read the counts
// of its runs. They are not part of the platform's interface.
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
		server.WriteJSON(w, http.StatusOK, e.laggedLoad(time.Now()))
	})
	mux.HandleFunc("GET "+platform.PathCacheEvents, e.serveEvents)
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

// ServeHTTP handles a request to the engine. While the engine is crashed,
// every connection is aborted.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.currentProcessCtx().Err() != nil {
		server.Abort()
	}
	e.handler.ServeHTTP(w, r)
}

// currentProcessCtx returns the context of the running or the crashed process.
func (e *Engine) currentProcessCtx() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processCtx
}

// serveEvents answers with the cache events that have the requested or a later
// sequence number and are older than EventLag.
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

// serveCompletion runs a completion request and writes its answer.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	processCtx := e.currentProcessCtx()
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
	if !e.servesModel(p.Model) {
		http.Error(w, "the engine doesn't hold model "+strconv.Quote(p.Model), http.StatusNotFound)
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	key := r.Header.Get("Idempotency-Key")
	s := &sequence{
		id:            id,
		prompt:        p,
		tag:           Tag(p.text),
		totalTokens:   p.answerTokens(e.settings.MeanTokens, e.settings.Seed),
		crashesEngine: e.settings.CrashOn != "" && bytes.Contains(body, []byte(e.settings.CrashOn)),
		onStart:       func(now time.Time) { e.runs.Add(now, id, key) },
		progress:      make(chan struct{}, 1),
	}
	w.Header().Set(platform.HeaderRequestID, id)
	e.submit(s)
	defer e.remove(s)
	a := &answer{writer: w, sequence: s, chat: chat}
	if !e.writeAnswer(processCtx, r.Context(), s, a) {
		server.Abort()
	}
}

// writeAnswer writes the answer as its tokens are generated. It returns false
// if the answer is incomplete because the engine crashed, the caller
// disconnected, the request was cancelled, or a write failed.
func (e *Engine) writeAnswer(processCtx, callerCtx context.Context, s *sequence, a *answer) bool {
	for {
		select {
		case <-s.progress:
		case <-processCtx.Done():
			return false
		case <-callerCtx.Done():
			return false
		}
		generated, cancelled := e.sequenceState(s)
		if cancelled {
			return false
		}
		if a.writeProgress(generated) != nil {
			return false
		}
		if generated == s.totalTokens {
			return true
		}
	}
}
