package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/transport/platform"
)

const (
	// streamConfiguration is the stream of the log on which operators publish.
	streamConfiguration = "Configuration"
	// readWait is how long one read of the log waits for a record.
	readWait = 5 * time.Second
	// readPause is the time between reads while the log is down.
	readPause = 500 * time.Millisecond
)

// follower folds the log's configuration stream and puts the result in force.
type follower struct {
	log    *platform.Log
	fleet  *fleet
	logger log.Interface
	cancel context.CancelFunc
	ended  sync.WaitGroup
	fold   revision.Fold
}

func startFollower(l *platform.Log, f *fleet, logger log.Interface) *follower {
	ctx, cancel := context.WithCancel(context.Background())
	w := &follower{log: l, fleet: f, logger: logger, cancel: cancel}
	w.ended.Add(1)
	go func() {
		defer w.ended.Done()
		w.run(ctx)
	}()
	return w
}

// Close stops following and waits.
func (w *follower) Close() {
	w.cancel()
	w.ended.Wait()
	_ = w.log.Close()
}

func (w *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := w.log.Read(ctx, streamConfiguration, w.fold.Next(), time.Now().Add(readWait))
		var gone *platform.GoneError
		switch {
		case errors.As(err, &gone):
			w.fold.Skip(gone.Oldest)
		case err != nil:
			w.pause(ctx, err)
		default:
			for _, record := range page.Records {
				w.apply(record.Offset, record.Payload)
			}
		}
	}
}

func (w *follower) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.logger.WithField("Stream", streamConfiguration).WithField("Error", err).Warn("LogUnavailable")
	select {
	case <-ctx.Done():
	case <-time.After(readPause):
	}
}

func (w *follower) apply(offset uint64, payload []byte) {
	outcome, err := w.fold.Apply(offset, payload)
	if err != nil {
		w.logger.WithField("Offset", offset).WithField("Error", err).Error("RecordNotFolded")
		return
	}
	c := w.fold.InForce()
	w.logger.WithFields(log.Fields{"Offset": offset, "Verdict": outcome.Verdict, "Revision": c.Revision}).Info("ConfigurationRecord")
	if c.Document == nil || c.Version == w.fleet.configuration().Version {
		return
	}
	w.fleet.setConfiguration(c)
}
