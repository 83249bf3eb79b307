package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errUsage = errors.New("usage: stage CASE ROUTER-BINARY RECORD")

// cases are the scripted cases by name. Each returns the number of times that its rule was
// broken; with trouble unset, it runs without the disruption.
var cases = map[string]func(ctx context.Context, s *stage, trouble bool) (broken int, err error){
	"crowd": crowd,
	"drill": drill,
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run() (code int, err error) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		return exitNotRun, errUsage
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitNotRun, fmt.Errorf("find the router: %w", err)
	}
	s, err := newStage(binary, os.Args[3])
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer context.AfterFunc(ctx, func() {
		s.close()
		os.Exit(exitNotRun)
	})()
	broken, err := cases[os.Args[1]](ctx, s, os.Getenv("TROUBLE") != "0")
	s.record.printf("rule broken: %d times, error: %v", broken, err)
	switch {
	case broken > 0:
		return exitBroken, nil
	case err != nil:
		return exitNotRun, err
	default:
		return exitHeld, nil
	}
}
