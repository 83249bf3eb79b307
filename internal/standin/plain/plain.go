package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/runs"
	"hyssopreach/internal/standin/server"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// Settings holds the settings of a plain service.
type Settings struct {
	Name string
	// Concurrency is the largest number of concurrent calls. Further calls
	// wait.
	Concurrency int
	// CallTime is the duration of a call.
	CallTime time.Duration
}

// Default returns the settings of a service whose calls take 5 ms.
func Default(name string) Settings {
	return Settings{Name: name, Concurrency: 16, CallTime: 5 * time.Millisecond}
}

// Service is a simulated plain HTTP service.
type Service struct {
	server.Host
	settings Settings
	started  time.Time
	slots    chan struct{}
	runs     runs.Counter

	mu sync.Mutex
	// leaving is guarded by mu.
	leaving bool
}

// answer is the body of every answer.
type answer struct {
	Endpoint  string
	Method    string
	Path      string
	RequestID string
	Key       string `json:",omitempty"`
	// Body is the body of the request.
	Body string `json:",omitempty"`
}

// New returns a service, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Service {
	mux := http.NewServeMux()
	s := &Service{
		Host:     server.Host{Handler: server.RepeatRequestID(mux)},
		settings: settings,
		started:  time.Now(),
		slots:    make(chan struct{}, settings.Concurrency),
	}
	mux.HandleFunc("POST /bookings", s.serveCall)
	mux.HandleFunc("GET /assets/{Name...}", s.serveCall)
	mux.HandleFunc("GET /share/{Name...}", s.serveCall)
	mux.HandleFunc("GET "+platform.PathInstance, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.instance())
	})
	mux.HandleFunc("GET "+platform.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, platform.Load{
			Instance: s.instance(), MeasuredAt: time.Now(), Running: len(s.slots),
		})
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("PUT /leaving", func(w http.ResponseWriter, _ *http.Request) {
		s.SetLeaving(true)
		w.WriteHeader(http.StatusNoContent)
	})
	return s
}

// SetLeaving sets whether the service reports that it is about to stop. The
// service continues to handle requests.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Runs returns the counts of the calls that the service has run.
func (s *Service) Runs() runs.Summary { return s.runs.Summary() }

func (s *Service) instance() platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Instance{Name: s.settings.Name, Started: s.started, Leaving: s.leaving}
}

// serveCall runs a call, which takes CallTime, and answers with a description
// of the request.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	key := r.Header.Get("Idempotency-Key")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.runs.Add(time.Now(), id, key)
	// A call that has started is completed even if its caller disconnects.
	time.Sleep(s.settings.CallTime)
	server.WriteJSON(w, http.StatusOK, answer{
		Endpoint: s.settings.Name, Method: r.Method, Path: r.URL.Path,
		RequestID: id, Key: key, Body: string(body),
	})
}
