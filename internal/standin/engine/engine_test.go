package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/transport/endpoint"
)

// startEngine starts an engine without lag, with fast steps and with the
// settings that change sets, and returns it with a client.
func startEngine(t *testing.T, change func(*Settings)) (*Engine, *endpoint.Client) {
	t.Helper()
	settings := Default("e")
	settings.StepTime, settings.StepTimePerRequest = 200*time.Microsecond, 0
	settings.LoadLag, settings.EventLag = 0, 0
	if change != nil {
		change(&settings)
	}
	e := New(settings)
	if err := e.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	client := endpoint.NewClient(nil)
	t.Cleanup(func() {
		_ = client.Close()
		_ = e.Close()
	})
	return e, client
}

// send sends a chat completion request and returns the body of the answer.
func send(e *Engine, client *endpoint.Client, id, body string) (string, error) {
	answer, err := client.Do(context.Background(), e.Address(), &endpoint.Attempt{
		ID: id, Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body),
		Header: http.Header{"Idempotency-Key": {"key-" + id}}, Model: true,
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), err
}

func body(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"stand_in_tokens":%d,"stream":%t}`,
		content, tokens, stream)
}

// contentOf returns the concatenated tokens of a stream.
func contentOf(t *testing.T, stream string) string {
	t.Helper()
	var all strings.Builder
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte("{"+data), &c); err != nil {
			t.Fatal(err)
		}
		all.WriteString(c.Choices[0].Delta.Content)
	}
	return all.String()
}

// TestConcurrentAnswersMatchTheirRequests guards against answers that are
// mixed up or incomplete when many requests run in one batch, and against runs
// that are counted more or less than once.
func TestConcurrentAnswersMatchTheirRequests(t *testing.T) {
	is := is.New(t)
	e, client := startEngine(t, nil)
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			prompt := fmt.Sprint("prompt ", i)
			stream, err := send(e, client, fmt.Sprint("r", i), body(prompt, 5+i, true))
			is.NoErr(err)
			is.Equal(contentOf(t, stream), AnswerContent(ChatTag(prompt), 5+i))
		})
	}
	group.Wait()
	unstreamed, err := send(e, client, "whole", body("hello", 7, false))
	is.NoErr(err)
	var c completion
	is.NoErr(json.Unmarshal([]byte(unstreamed), &c))
	is.Equal(c.Choices[0].Message.Content, AnswerContent(ChatTag("hello"), 7))
	is.Equal(c.Usage.CompletionTokens, 7)
	is.Equal(e.Runs().Total, 41)
	is.Equal(e.Runs().ByKey["key-r3"], 1)
}

// TestBatchSizeIsBounded guards against more running requests than MaxBatch
// when more requests are sent at once.
func TestBatchSizeIsBounded(t *testing.T) {
	is := is.New(t)
	e, client := startEngine(t, func(s *Settings) { s.MaxBatch = 2 })
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			_, err := send(e, client, fmt.Sprint("r", i), body("p", 200, false))
			is.NoErr(err)
		})
	}
	for {
		running, queued := e.RequestCounts()
		is.True(running <= 2)
		if running == 2 && queued == 3 {
			break
		}
		time.Sleep(100 * time.Microsecond)
	}
	group.Wait()
}

// TestCrashEndsAllRunningRequests guards against a crash that ends only the
// request that causes it, and against a restarted engine that reports the
// start time of the crashed one.
func TestCrashEndsAllRunningRequests(t *testing.T) {
	is := is.New(t)
	e, client := startEngine(t, func(s *Settings) { s.CrashOn, s.RestartAfter = "poison", time.Millisecond })
	before, err := client.Instance(context.Background(), e.Address())
	is.NoErr(err)
	otherErr := make(chan error, 1)
	go func() {
		_, err := send(e, client, "innocent", body("p", 60_000, true))
		otherErr <- err
	}()
	for e.Runs().Total == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = send(e, client, "killer", body("poison", 5, true))
	is.True(err != nil)
	is.True(<-otherErr != nil)
	is.Equal(e.Crashes(), 1)
	for {
		after, err := client.Instance(context.Background(), e.Address())
		if err == nil {
			is.True(after.Started.After(before.Started)) // the restart changes the identity
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCancelRemovesRequest guards against a cancelled request that continues
// to run, or whose stream ends as if it were complete.
func TestCancelRemovesRequest(t *testing.T) {
	is := is.New(t)
	e, client := startEngine(t, nil)
	ended := make(chan error, 1)
	go func() {
		_, err := send(e, client, "long", body("p", 60_000, true))
		ended <- err
	}()
	for e.Runs().Total == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(client.Cancel(context.Background(), e.Address(), "long"))
	is.True(<-ended != nil) // a cancelled stream is incomplete
	running, queued := e.RequestCounts()
	is.Equal(running+queued, 0)
	err := client.Cancel(context.Background(), e.Address(), "long")
	is.True(errors.Is(err, endpoint.ErrNoRequest))
}

// TestOutdatedOrderIsRefusedOnlyWithFencingCheck guards against an engine that
// applies an order with a lower fencing number although it checks fencing, and
// against an engine without the check that refuses such an order.
func TestOutdatedOrderIsRefusedOnlyWithFencingCheck(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			is := is.New(t)
			e, client := startEngine(t, func(s *Settings) {
				s.ChecksFencing, s.ModelBytes = checks, 0
				s.Models = []platform.LoadedModel{{Name: "m"}}
			})
			ctx := context.Background()
			is.NoErr(client.Order(ctx, e.Address(), platform.Order{Fencing: 9, Models: []platform.LoadedModel{{Name: "new"}}}))
			for !e.servesModel("new") {
				time.Sleep(time.Millisecond)
			}
			is.True(!e.servesModel("m"))
			err := client.Order(ctx, e.Address(), platform.Order{Fencing: 8})
			is.Equal(errors.Is(err, endpoint.ErrFenced), checks)
			is.Equal(e.servesModel("new"), checks) // without the check, the old order applies
		})
	}
}

// TestPrefixCacheIsBoundedAndLosesEvents guards against a prefix cache that
// exceeds its size, against events that are visible too early, and against
// lost events that don't leave a gap in the sequence numbers.
func TestPrefixCacheIsBoundedAndLosesEvents(t *testing.T) {
	is := is.New(t)
	settings := Default("e")
	settings.CacheTokens, settings.EventLossProbability = 4*blockTokens, 0.3
	c := newCache(settings)
	now := time.Now()
	long := strings.Repeat("0123456789abcdef", 40)
	is.Equal(c.admit(now, long), 0)
	events := c.since(0, now.Add(time.Second))
	is.True(len(events) > 0)
	is.True(uint64(len(events)) < c.nextSequence)      // some events are lost
	is.True(c.lru.Len() <= 4)                          // the cache is bounded
	is.Equal(len(c.since(0, now)), 0)                  // events are not visible before the lag
	is.Equal(c.admit(now, long[:64]), 0)               // the first block was evicted
	is.Equal(c.admit(now, long[:64]+"x"), blockTokens) // and is cached again
	is.Equal(newCache(Settings{}).admit(now, long), 0) // without blocks, nothing is cached
	is.Equal(newCache(Settings{}).since(0, now.Add(1)), []platform.CacheEvent{})
}
