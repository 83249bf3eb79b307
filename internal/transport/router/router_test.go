package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/engine"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/rig"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startRig(t *testing.T, routers int) *rig.Rig {
	t.Helper()
	return startRigOn(t, routers, fleet.Default())
}

func startRigOn(t *testing.T, routers int, platform fleet.Settings) *rig.Rig {
	t.Helper()
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := rig.Start(ctx, rig.Options{
		Document: rig.NewDocument(4, 3, 1, domains), Routers: routers, FailureDomains: domains,
		Platform: platform, EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

func call(t *testing.T, method, url, organisation, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+rig.CallerKey(organisation))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func chatBody(content string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, rig.Model, stream, content)
}

// TestRequestsThroughEveryRouter guards against a router that does not serve
// model and plain requests from end to end, or returns the answer of another
// request.
func TestRequestsThroughEveryRouter(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	for i, rt := range r.Routers {
		url := "http://" + rt.CallerAddress().String()
		content := fmt.Sprint("fault on set ", i)
		status, body := call(t, http.MethodPost, url+caller.PathChatCompletions, "org-01", chatBody(content, true))
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, engine.ChatTag(content))) // the answer is the caller's own
		is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))     // and complete
		status, body = call(t, http.MethodGet, url+caller.PathServices+rig.PlainService+"/assets/tile-1", "org-02", "")
		is.Equal(status, http.StatusOK)
		is.True(body != "")
	}
}

// TestRefusalsStateStatusAndDetail guards against refusals of invalid requests
// with a wrong status, without a detail that names the fault, or without the
// statement that the request was not run.
func TestRefusalsStateStatusAndDetail(t *testing.T) {
	r := startRig(t, 1)
	url := "http://" + r.Routers[0].CallerAddress().String()
	tests := []struct {
		name, method, path, organisation, body string
		header                                 []string
		status                                 int
		detail                                 string
	}{
		{"unknown API key", "POST", caller.PathChatCompletions, "nobody", chatBody("x", false), nil, 401, "belongs to no organisation"},
		{"no JSON", "POST", caller.PathChatCompletions, "org-01", "{", nil, 400, "parse the completion request"},
		{"no model", "POST", caller.PathChatCompletions, "org-01", `{"messages":[]}`, nil, 400, `"model" is missing`},
		{"unknown model", "POST", caller.PathChatCompletions, "org-01", `{"model":"x","prompt":"y"}`, nil, 404, `offers model "x"`},
		{"unknown service", "GET", "/services/none/x", "org-01", "", nil, 404, `no plain service "none"`},
		{"no request class", "PUT", "/services/board/x", "org-01", "", nil, 404, "no request class"},
		{"no idempotency key", "POST", "/services/board/bookings", "org-01", "{}", nil, 400, "send an Idempotency-Key"},
		{"bad deadline", "GET", "/services/board/assets/1", "org-01", "", []string{caller.HeaderDeadline, "soon"}, 400, "give an instant"},
		{"past deadline", "GET", "/services/board/assets/1", "org-01", "", []string{caller.HeaderDeadline, "2020-01-01T00:00:00Z"}, 504, "deadline has passed"},
		{"long idempotency key", "GET", "/services/board/assets/1", "org-01", "", []string{caller.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "at most 256"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, body := call(t, test.method, url+test.path, test.organisation, test.body, test.header...)
			is.Equal(status, test.status)
			var p caller.Problem
			is.NoErr(json.Unmarshal([]byte(body), &p))
			is.True(strings.Contains(p.Detail, test.detail))
			is.Equal(p.NotRun, caller.NotRunTrue)
			is.True(p.RequestID != "")
		})
	}
}
