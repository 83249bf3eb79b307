package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Paths as clients may send them. Those of the first list hold only characters that each
// program writes in the same way. Those of the second hold one that a browser sends as it
// stands, alone or beside an encoded slash.
var (
	plainPaths = []string{"/alert/2/20/hall", "/alert/2/20/hall%2F3", "/alert/2/20/a//b/../c", "/alert/2/20/hall?x=3|4"}
	otherPaths = []string{"/alert/2/20/set|3", "/alert/2/20/hall%2F3|4", "/alert/2/20/%2E%2E%2Flist|all"}
)

// playPath sends requests and compares the paths with which they run. The trouble is the
// second list of paths.
func playPath(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	for i := range 2 {
		if err := f.startWorker(ctx, "app", fmt.Sprint("z", i), workerOptions{}); err != nil {
			return nil, errors.Join(errCannotRun, err)
		}
	}
	go f.beat(ctx)
	if err := f.startRouters(ctx); err != nil {
		return nil, errors.Join(errCannotRun, err)
	}
	l := &load{fleet: f}
	var err error
	if l.fronts, err = f.resolve(ctx); err != nil || len(l.fronts) == 0 {
		return nil, errors.Join(errCannotRun, err)
	}
	paths := plainPaths
	if trouble {
		paths = append(paths, otherPaths...)
	}
	var broken []string
	for range 3 {
		for _, path := range paths {
			o := l.send(ctx, request{kind: "alert", events: 2, deadline: time.Second, path: path})
			ran := f.ranAs(o.id)
			switch {
			case o.status != http.StatusOK:
				f.record.addf("%s was not served", path)
			case ran == "":
				return nil, fmt.Errorf("%w: no worker reports request %s", errCannotRun, o.id)
			case ran != path:
				broken = append(broken, fmt.Sprintf("request %s was sent with the path %s and ran with %s", o.id, path, ran))
			}
		}
	}
	return broken, nil
}

// ranAs returns the path and query with which a request ran, once its worker has reported
// it; empty if that does not happen within a second.
func (f *fleet) ranAs(id string) string {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		path := f.paths[id]
		f.mu.Unlock()
		if path != "" {
			return path
		}
	}
	return ""
}
