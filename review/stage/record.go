package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the time since its start.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord returns a record that writes to the file at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt adds a line about a moment.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf("%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
