package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/platform/contract"
)

const (
	// crowdFor is how long callers open connections, and crowdPerSecond how many a second.
	crowdFor       = 100 * time.Second
	crowdPerSecond = 455
	// crowdMinRest and crowdMaxRest bound the time between the opening of a connection
	// and its only request. The operators' limits allow 3 s for the head of a request.
	crowdMinRest, crowdMaxRest = 2400 * time.Millisecond, 2950 * time.Millisecond
	// crowdStreams is the number of callers that read one stream after the other meanwhile,
	// and streamWait the time in which they have all begun.
	crowdStreams = 900
	streamWait   = 6 * time.Second
	// callerDeadline is how long a caller waits for its answer, and streamDeadline the same
	// for a stream.
	callerDeadline = time.Second
	streamDeadline = 15 * time.Second
	dialTimeout    = time.Second
)

const (
	host             = "ficu95.example"
	plainService     = "dispatch-app"
	streamService    = "hyssop-pool"
	crowdDescriptors = 4100
	crowdMemoryMB    = 284
)

// crowdConfiguration has a route to a plain service, for requests that may run once, and one
// for streams.
const crowdConfiguration = `{"version":7,"routes":[` +
	`{"name":"r-once","host":"ficu95.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":1000,"slo_ms":100,` +
	`"priority":2,"service":"dispatch-app","max_attempts":1,"anonymous":true,"sticky":false,"resumable":false},` +
	`{"name":"r-stream","host":"ficu95.example","path_prefix":"/stream/","type":"streaming","timeout_ms":15000,"slo_ms":800,` +
	`"priority":1,"service":"hyssop-pool","max_attempts":1,"anonymous":true,"sticky":false,"resumable":false,"itl_target_ms":400}],` +
	`"services":[{"name":"dispatch-app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false},` +
	`{"name":"hyssop-pool","health_path":"/healthz","max_conns":620,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// answered is what a caller has got for a request.
type answered struct {
	id     string
	status int
	err    error
}

// crowd lets many callers open connections some time before their only request. It counts
// the requests that were answered with the promise that they have not run and never will,
// and that have run.
func crowd(ctx context.Context, s *stage, trouble bool) (broken int, err error) {
	s.store.setConfiguration(crowdConfiguration)
	for range 3 {
		if _, err := s.startEndpoint(plainService, 6, 15*time.Millisecond); err != nil {
			return 0, err
		}
	}
	for range 9 {
		if _, err := s.startEndpoint(streamService, 128, 0); err != nil {
			return 0, err
		}
	}
	r, err := s.startRouter(ctx, settings{memoryMB: crowdMemoryMB, descriptors: crowdDescriptors})
	if err != nil {
		return 0, err
	}
	streaming, cancel := context.WithTimeout(ctx, streamWait+crowdFor)
	defer cancel()
	var streams sync.WaitGroup
	var complete, cut atomic.Int64
	for i := range crowdStreams {
		streams.Go(func() {
			time.Sleep(streamWait * time.Duration(i) / crowdStreams)
			s.readStreams(streaming, r, &complete, &cut)
		})
	}
	time.Sleep(streamWait)
	results := make(chan answered, 4096)
	var callers sync.WaitGroup
	go func() {
		defer func() {
			callers.Wait()
			close(results)
		}()
		ticker := time.NewTicker(time.Second / crowdPerSecond)
		defer ticker.Stop()
		end := time.Now().Add(crowdFor)
		for n := 0; time.Now().Before(end); n++ {
			<-ticker.C
			rest := time.Duration(0)
			if trouble {
				rest = crowdMinRest + rand.N(crowdMaxRest-crowdMinRest)
			}
			id := fmt.Sprintf("%016x", rand.Uint64())
			callers.Go(func() { results <- callOnce(ctx, r, id, "", rest) })
		}
	}()
	counts := map[string]int{}
	for a := range results {
		ran := 0
		for _, e := range s.endpoints {
			ran += len(e.ran(a.id))
		}
		counts[fmt.Sprintf("status %d, error %t, runs %d", a.status, a.err != nil, ran)]++
		s.record.printf("request %s: status %d, error %t, runs %d", a.id, a.status, a.err != nil, ran)
		promises := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
		if promises && ran > 0 {
			broken++
			s.record.printf("broken: request %s was answered %d, and began to run at %v", a.id, a.status, s.runTimes(a.id))
		}
	}
	streams.Wait()
	s.record.printf("%d streams were complete, %d were not", complete.Load(), cut.Load())
	for text, n := range counts {
		s.record.printf("%d requests: %s", n, text)
	}
	return broken, nil
}

// runTimes returns when a request began to run, in seconds since the record began.
func (s *stage) runTimes(id string) []float64 {
	var all []float64
	for _, e := range s.endpoints {
		for _, at := range e.ran(id) {
			all = append(all, at.Sub(s.record.begun).Seconds())
		}
	}
	return all
}

// otherFields are header fields of callers that the router forwards, 3.1 KB; the operators'
// limit is 16 KB.
var otherFields = func() string {
	var b strings.Builder
	for i := range 70 {
		fmt.Fprintf(&b, "X-Site-Note-%02d: generator-%016x\r\n", i, rand.Uint64())
	}
	return b.String()
}()

// callOnce opens a connection, rests, and sends one request that may run once, with the key
// unless that is empty.
func callOnce(ctx context.Context, r *router, id, key string, rest time.Duration) answered {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", r.callers.String())
	if err != nil {
		return answered{id: id, err: err}
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(rest)
	const body = `{"site":"clinic"}`
	more := otherFields
	if key != "" {
		more += contract.HeaderKey + ": " + key + "\r\n"
	}
	request := fmt.Sprintf("POST /once/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		id[:4], host, contract.HeaderAttempt, id, contract.HeaderDeadline, callerDeadline.Milliseconds(), more, len(body), body)
	_ = conn.SetDeadline(time.Now().Add(callerDeadline))
	if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
		return answered{id: id, err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answered{id: id, err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return answered{id, response.StatusCode, err}
}

// readStreams reads one stream after the other, on one connection as long as that stays open,
// until the context ends.
func (s *stage) readStreams(ctx context.Context, r *router, complete, cut *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: streamDeadline}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers.String()+"/stream/x", http.NoBody)
		if err != nil {
			return
		}
		request.Host = host
		request.Header.Set(contract.HeaderAttempt, fmt.Sprintf("%016x", rand.Uint64()))
		request.Header.Set(contract.HeaderDeadline, fmt.Sprint(streamDeadline.Milliseconds()))
		response, err := client.Do(request)
		status, size := 0, int64(0)
		if err == nil {
			status = response.StatusCode
			size, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil || status != http.StatusOK:
			s.record.printf("stream %s: status %d, %d bytes, error %v", request.Header.Get(contract.HeaderAttempt), status, size, err)
			cut.Add(1)
			time.Sleep(time.Second)
		default:
			complete.Add(1)
		}
	}
}
