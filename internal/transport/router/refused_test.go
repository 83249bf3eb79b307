package router

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

// TestRefusedConfigurationChangesNothing guards against a configuration that can't be
// decoded and makes the router refuse the keys of the last accepted one, or hides that a
// newer one may exist.
func TestRefusedConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	var refusals atomic.Int32
	lines := log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "ConfigurationRefused" {
			refusals.Add(1)
		}
		return nil
	})
	s := &store{version: 1, refused: map[view.RouterID]bool{"r0": true}}
	r := startHosted(t, s, 1, func(o *HostedOptions) { o.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel} })[0]
	begun := clock.Now()
	read := func(data string, after time.Duration, from view.RouterID) error {
		return r.sources.applyConfiguration(readResult{data: []byte(data), at: begun.Add(after)}, from)
	}
	confirmed := func() time.Duration { return r.sources.current.Load().configuration.at.Sub(begun) }
	is.True(read("", 0, "") != nil) // a record without data is no configuration
	is.True(read("odd", 0, "") != nil)
	is.True(r.core.Table() == nil)
	is.True(!r.sources.confirmedWithin(time.Hour))
	is.NoErr(r.sources.applyList(readResult{data: []byte("0 false 1"), at: clock.Now()}))
	is.NoErr(read("1", 0, ""))

	before := refusals.Load()
	is.NoErr(read("other", time.Second, "")) // right after version 1
	is.Equal(refusals.Load(), before+1)
	is.Equal(confirmed(), time.Second)
	is.NoErr(read("other", time.Minute, "")) // nothing newer came in the meantime
	is.Equal(refusals.Load(), before+1)      // logged once
	is.Equal(confirmed(), time.Minute)
	is.NoErr(read("", time.Minute+time.Second, ""))
	is.Equal(confirmed(), time.Minute+time.Second)
	_, problem := r.core.Admit(&IncomingRequest{ID: "1", Host: "h", Path: "/keyed/x", Key: "k"}, time.Now())
	is.Equal(problem, nil)
	_, problem = r.core.Admit(&IncomingRequest{ID: "1", Host: "h", Path: "/keyed/x", Key: "other"}, time.Now())
	is.Equal(problem.Status, http.StatusUnauthorized)

	is.True(read("late", 2*time.Minute, "") != nil) // another version may have come before it
	is.Equal(confirmed(), time.Minute+time.Second)
	is.NoErr(read("2", 3*time.Minute, ""))
	is.Equal(r.core.Table().Version, uint64(2))
	is.True(read("relayed", 3*time.Minute+time.Second, "peer") != nil)
	is.True(read("relayed", 3*time.Minute+time.Second, "") != nil) // another router can decode it
	is.Equal(confirmed(), 3*time.Minute)
	is.NoErr(read("", 4*time.Minute, "peer")) // a confirmation by a router
	is.Equal(confirmed(), 4*time.Minute)
}
