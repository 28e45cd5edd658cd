package trial

import (
	"context"
	"strings"
	"sync"

	"github.com/cornelyard/cornelyard/storage"
)

// fakeTable is a storage.Table in memory.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]storage.Row
	revision uint64
	// err is the result of the next commits. If applied is set, they take effect
	// nevertheless.
	err     error
	applied bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]storage.Row)} }

// fail sets the result of the next commits.
func (f *fakeTable) fail(err error, applied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.applied = err, applied
}

func (f *fakeTable) Get(_ context.Context, key string) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row, ok := f.rows[key]; ok {
		return row, nil
	}
	return storage.Row{}, storage.ErrNotFound
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []storage.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, t storage.Transaction) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil && !f.applied {
		return 0, f.err
	}
	conflict := &storage.ConflictError{}
	for _, check := range t.Checks {
		if f.rows[check.Key].Revision != check.Revision {
			current := f.rows[check.Key]
			current.Key = check.Key
			conflict.Rows = append(conflict.Rows, current)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	f.revision++
	for _, put := range t.Puts {
		f.rows[put.Key] = storage.Row{Key: put.Key, Revision: f.revision, Value: put.Value}
	}
	for _, key := range t.Deletes {
		delete(f.rows, key)
	}
	return f.revision, f.err
}
