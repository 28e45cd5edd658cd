// Package tabletest provides a table of the platform in memory, for tests.
package tabletest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cornelyard/cornelyard/storage"
)

// Table is a storage.Table in memory. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]storage.Row
	revision uint64
	// err is the result of the next commits. If applied is set, they take effect
	// nevertheless.
	err     error
	applied bool
}

var _ storage.Table = (*Table)(nil)

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[string]storage.Row)} }

// Fail sets the error that the next commits return; nil ends that. If applied is set, they
// take effect nevertheless.
func (t *Table) Fail(err error, applied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err, t.applied = err, applied
}

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Get implements storage.Table.
func (t *Table) Get(_ context.Context, key string) (storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return storage.Row{}, storage.ErrNotFound
}

// Scan implements storage.Table.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storage.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Commit implements storage.Table.
func (t *Table) Commit(_ context.Context, change storage.Transaction) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil && !t.applied {
		return 0, t.err
	}
	conflict := &storage.ConflictError{}
	for _, check := range change.Checks {
		if t.rows[check.Key].Revision != check.Revision {
			current := t.rows[check.Key]
			current.Key = check.Key
			conflict.Rows = append(conflict.Rows, current)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	t.revision++
	for _, put := range change.Puts {
		t.rows[put.Key] = storage.Row{Key: put.Key, Revision: t.revision, Value: put.Value}
	}
	for _, key := range change.Deletes {
		delete(t.rows, key)
	}
	return t.revision, t.err
}
