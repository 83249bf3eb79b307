// Command reviewkit plays the cases of the review: it starts routers as the deploy file
// says, with stand-ins for clients, workers and the platform's store, and judges what
// clients and workers have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes: the rule held, it was broken, or the case could not run.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// scenes are the cases by name. They return what broke the rule.
var scenes = map[string]func(ctx context.Context, f *fleet, trouble bool) ([]string, error){
	"crash":  playCrash,
	"drain":  playDrain,
	"revoke": playRevoke,
	"poison": playPoison,
	"path":   playPath,
}

func main() {
	switch {
	case len(os.Args) == 3 && os.Args[1] == "worker":
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2]))
		os.Exit(exitNotRun)
	case len(os.Args) == 4 && os.Args[1] == "play":
		os.Exit(play(os.Args[2], os.Args[3]))
	}
	fmt.Fprintln(os.Stderr, "usage: reviewkit play CASE RECORD")
	os.Exit(exitNotRun)
}

// play plays a case and writes its record.
func play(name, path string) int {
	scene, known := scenes[name]
	file, err := os.Create(path)
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file}
	broken, err := playScene(scene, r)
	if err != nil {
		r.addf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		r.addf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.addf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func playScene(scene func(context.Context, *fleet, bool) ([]string, error), r *record) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	}
	f, err := newFleet(ctx, r, directory)
	if err != nil {
		return nil, errors.Join(errCannotRun, err)
	}
	defer f.close()
	return scene(ctx, f, os.Getenv("TROUBLE") != "0")
}
