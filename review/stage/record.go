package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	// buffer is guarded by mu.
	buffer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{begun: time.Now(), file: f, buffer: bufio.NewWriter(f)}, nil
}

// printf adds a line with the time since the beginning, in seconds.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows when the record is closed.
	_, _ = fmt.Fprintf(r.buffer, "%8.4f ", time.Since(r.begun).Seconds())
	_, _ = fmt.Fprintf(r.buffer, format+"\n", values...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.buffer.Flush(), r.file.Close())
}
