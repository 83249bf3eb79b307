package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hyssopreach/internal/protocol/platform"
)

// Log is the client of the append-only log. It is safe for concurrent use.
type Log struct{ service }

// NewLog returns a client of the log at the address, which opens its
// connections with dial. If dial is nil, a net.Dialer is used.
func NewLog(address netip.AddrPort, dial Dial) *Log {
	return &Log{newService(address, dial)}
}

// Append appends the records in one batch and returns the first one's offset.
// It does not retry. Its error is an *UnavailableError or an *Error if the
// append certainly had no effect, and an *UnknownOutcomeError otherwise.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	step := "append to stream " + stream
	var response platform.AppendResponse
	result := l.call(ctx, http.MethodPost, streamPath(stream), platform.AppendRequest{Records: records}, &response)
	switch {
	case result.err == nil && result.status == http.StatusOK:
		return response.FirstOffset, nil
	case result.notSent, result.status == http.StatusServiceUnavailable, result.status == http.StatusTooManyRequests:
		return 0, &UnavailableError{step, l.address, result.failure()}
	case result.status >= http.StatusBadRequest && result.status < http.StatusInternalServerError:
		return 0, &Error{step, l.address, result.failure()}
	}
	return 0, &UnknownOutcomeError{step, l.address, result.failure()}
}

// Page is the result of one read of a stream.
type Page struct {
	Records []platform.Record
	// Next is the offset that the next appended record will get.
	Next uint64
	// Oldest is the lowest offset that the log retains.
	Oldest uint64
}

// Read returns records from the given offset on. If there are none yet, it waits
// for the next one until waitUntil, or returns at once if waitUntil is zero. Its
// error is an *OffsetTrimmedError, an *UnavailableError or an *Error.
func (l *Log) Read(ctx context.Context, stream string, from uint64, waitUntil time.Time) (Page, error) {
	step := fmt.Sprintf("read stream %s from %d", stream, from)
	path := streamPath(stream) + "?" + platform.QueryFrom + "=" + strconv.FormatUint(from, 10)
	if wait := time.Until(waitUntil); !waitUntil.IsZero() && wait > 0 {
		path += "&" + platform.QueryWait + "=" + url.QueryEscape(wait.String())
	}
	var response platform.ReadResponse
	result := l.call(ctx, http.MethodGet, path, nil, &response)
	switch {
	case result.err == nil && result.status == http.StatusOK:
		if err := checkOffsets(response.Records, from); err != nil {
			return Page{}, &Error{step, l.address, err}
		}
		return Page{response.Records, response.Next, response.Oldest}, nil
	case result.err == nil && result.status == http.StatusGone:
		return Page{}, &OffsetTrimmedError{stream, l.address, from, response.Oldest}
	case result.err == nil && result.status < http.StatusInternalServerError:
		return Page{}, &Error{step, l.address, result.failure()}
	}
	return Page{}, &UnavailableError{step, l.address, result.failure()}
}

var errOffsetGap = errors.New("the offsets of the records are not consecutive from the requested one")

// checkOffsets checks that no record is missing. A reader that derives its state
// from the records must not skip any.
func checkOffsets(records []platform.Record, from uint64) error {
	for i := range records {
		if records[i].Offset != from+uint64(i) {
			return errOffsetGap
		}
	}
	return nil
}

func streamPath(stream string) string {
	return strings.Replace(platform.PathRecords, "{Stream}", url.PathEscape(stream), 1)
}
