package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // The path is an argument of the script.
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Since returns the time since the record began.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A lost line of the record changes no verdict.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
