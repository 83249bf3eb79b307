package journal

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

const (
	// maxWait bounds the time for which a read waits for records.
	maxWait = 30 * time.Second
	// maxReadRecords bounds the number of records in the answer to a read.
	maxReadRecords = 1000
)

// Paths for setting the faults and for reading the counts. They are not part
// of the platform's interface.
const (
	PathFaults = "/faults"
	PathCounts = "/counts"
)

func (j *Journal) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathRecords, j.serveAppend)
	mux.HandleFunc("GET "+platform.PathRecords, j.serveRead)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, j.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if server.ReadJSON(w, r, &f) {
			j.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, j.Counts())
	})
	return mux
}

// applyFaults applies the faults that precede the effect of a request: delay,
// aborted connection, and 503. It returns false if it has answered the
// request.
func (j *Journal) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f := j.Faults()
	if f.DelayMillis > 0 {
		select {
		case <-time.After(f.delay()):
		case <-r.Context().Done():
		case <-j.closed:
		}
		f = j.Faults()
	}
	if f.Down {
		server.Abort()
	}
	if f.Busy {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the log is busy", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// serveAppend handles an append and applies the faults of its outcome.
func (j *Journal) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platform.AppendRequest
	if !server.ReadJSON(w, r, &request) || !j.applyFaults(w, r) {
		return
	}
	if len(request.Records) == 0 {
		http.Error(w, "Records is empty; give at least one", http.StatusBadRequest)
		return
	}
	name := r.PathValue("Stream")
	j.mu.Lock()
	appendOutcome := j.nextOutcome()
	lateDelay := j.faults.lateDelay()
	var first uint64
	if appendOutcome != outcomeLate {
		first = j.append(name, request.Records)
	} else if !j.closeCalled {
		j.lateAppends.Add(1)
		go j.appendLate(name, request.Records, lateDelay)
	}
	j.mu.Unlock()
	if appendOutcome != outcomeAnswered {
		server.Abort()
	}
	server.WriteJSON(w, http.StatusOK, platform.AppendResponse{FirstOffset: first})
}

// appendLate appends the records after the given time, unless the log is closed
// before.
func (j *Journal) appendLate(name string, records [][]byte, after time.Duration) {
	defer j.lateAppends.Done()
	select {
	case <-time.After(after):
		j.Append(name, records)
	case <-j.closed:
	}
}

// serveRead handles a read, which waits for records if there are none. It
// answers 410 if the records at the offset have been discarded.
func (j *Journal) serveRead(w http.ResponseWriter, r *http.Request) {
	if !j.applyFaults(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.FormValue(platform.QueryFrom), 10, 64)
	if err != nil {
		http.Error(w, "from: found "+strconv.Quote(r.FormValue(platform.QueryFrom))+", allowed is an offset", http.StatusBadRequest)
		return
	}
	wait, err := readWait(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.mu.Lock()
	j.counts.Reads++
	j.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	response, retained := j.read(ctx, r.PathValue("Stream"), from, maxReadRecords)
	if f := j.Faults(); f.Down {
		server.Abort()
	}
	status := http.StatusOK
	if !retained {
		status = http.StatusGone
	}
	server.WriteJSON(w, status, response)
}

// readWait returns the longest time for which a read waits for records, which
// the query states as a Go duration. Without it, the read doesn't wait.
func readWait(r *http.Request) (time.Duration, error) {
	text := r.FormValue(platform.QueryWait)
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	return min(wait, maxWait), err
}
