package standin

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
)

const journalMode = 0o600

// Journal records the IDs of the requests that a target received, one per line. The
// file outlives the target's process, whereas its Record does not. A nil Journal
// discards the IDs.
type Journal struct {
	mu sync.Mutex
	w  io.Writer
}

// NewJournal returns a journal that writes to w.
func NewJournal(w io.Writer) *Journal { return &Journal{w: w} }

// OpenJournal returns a journal that appends to the file.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return NewJournal(file), nil
}

// Append adds a request ID. It returns after the line was written.
func (j *Journal) Append(id string) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintln(j.w, id)
}

// ReadJournal counts the requests in a journal file by ID.
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
