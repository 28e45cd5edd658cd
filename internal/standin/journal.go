package standin

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
)

const journalMode = 0o600

// Journal keeps the ids of the requests that a target received, one a line. A
// file outlives the target's process, which its record does not. A nil Journal
// keeps nothing.
type Journal struct {
	mu sync.Mutex
	w  io.Writer
}

// NewJournal returns a journal that writes to w.
func NewJournal(w io.Writer) *Journal { return &Journal{w: w} }

// OpenJournal returns a journal that goes on with the file.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return NewJournal(file), nil
}

// Append adds a request. It returns after the line was written.
func (j *Journal) Append(id string) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintln(j.w, id)
}

// ReadJournal counts the requests in a journal's file, by id.
func ReadJournal(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	counts := make(map[string]int)
	for line := range strings.Lines(string(data)) {
		counts[strings.TrimSpace(line)]++
	}
	return counts, nil
}
