package execution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// copyBuffers pools the buffers between endpoints and callers, which would
// otherwise make up most of the garbage.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyAnswer copies the answer to the sink. A streamed answer begins with its first bytes.
// Any other, such as an error in place of a stream, begins once it is complete or copyBytes
// of it have arrived: until then, one that breaks off can be replaced by another attempt or
// by a failure, whereas the caller would find its connection closed, often before it has
// received a byte.
func (r *Runner) copyAnswer(ctx context.Context, a *Attempt, answer Answer, id schedule.RequestID, m *meter, watch *silenceWatch, out *sinkTracker) error {
	pooled := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(pooled)
	streamed := a.Call.Stream && answer.Status() < http.StatusMultipleChoices
	held := 0
	for {
		n, err := answer.Read(pooled[held:])
		complete := errors.Is(err, io.EOF)
		r.reportPart(pooled[held:held+n], id, m)
		if err != nil && !complete {
			return err
		}
		held += n
		if !out.started {
			if err := errors.Join(watch.checkGivenUp(), context.Cause(ctx)); err != nil && !complete {
				return err
			}
			if !complete && !streamed && held < len(pooled) {
				continue
			}
			if err := ensureBegun(out, answer); err != nil {
				return err
			}
		}
		if err := writePart(out, pooled[:held]); err != nil {
			return err
		}
		held = 0
		if complete {
			return out.End()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// reportPart reports a part of an answer to the scheduler if that is due.
func (r *Runner) reportPart(part []byte, id schedule.RequestID, m *meter) {
	if len(part) == 0 {
		return
	}
	if p, due := m.count(part, time.Now()); due {
		p.ID = id
		r.Scheduling.Input(p)
	}
}

func writePart(out Sink, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if _, err := out.Write(part); err != nil {
		return &sinkError{fmt.Errorf("write the answer to the caller: %w", err)}
	}
	return nil
}
