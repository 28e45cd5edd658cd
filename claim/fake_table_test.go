package claim

import (
	"context"
	"sync"

	"github.com/cornelyard/cornelyard/storage"
)

// fault is a failure that a fakeTable injects into a commit.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable rejects the commit.
	faultUnavailable
	// faultLostAck commits and reports an unclear result.
	faultLostAck
	// faultLostWrite does not commit and reports an unclear result.
	faultLostWrite
)

// fakeTable is an in-memory storage.Table; fakeObjects is its object store.
type fakeTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	objects  map[string][]byte
	commits  []storage.Transaction
	// faults holds the faults of the next commits, one for each.
	faults []fault
	// failReads rejects all reads, failCommits all commits.
	failReads   bool
	failCommits bool
	// block, if not nil, delays commits until it is closed.
	block chan struct{}
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: make(map[string]storage.Row), objects: make(map[string][]byte)}
}

func (f *fakeTable) update(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *fakeTable) Get(_ context.Context, key string) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failReads {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Scan(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

func (f *fakeTable) Commit(ctx context.Context, t storage.Transaction) (uint64, error) {
	if !f.waitUnblocked(ctx) {
		return 0, storage.ErrUnknownOutcome
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits = append(f.commits, t)
	next := f.nextFault()
	if f.failCommits || next == faultUnavailable {
		return 0, storage.ErrUnavailable
	}
	if next == faultLostWrite {
		return 0, storage.ErrUnknownOutcome
	}
	if conflict := f.check(t); conflict != nil {
		return 0, conflict
	}
	f.apply(t)
	if next == faultLostAck {
		return 0, storage.ErrUnknownOutcome
	}
	return f.revision, nil
}

func (f *fakeTable) waitUnblocked(ctx context.Context) bool {
	f.mu.Lock()
	block := f.block
	f.mu.Unlock()
	if block == nil {
		return true
	}
	select {
	case <-block:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *fakeTable) nextFault() fault {
	if len(f.faults) == 0 {
		return faultNone
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

func (f *fakeTable) check(t storage.Transaction) error {
	var failed []storage.Row
	for _, check := range t.Checks {
		row, ok := f.rows[check.Key]
		if !ok {
			row = storage.Row{Key: check.Key}
		}
		if row.Revision != check.Revision {
			failed = append(failed, row)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &storage.ConflictError{Rows: failed}
}

func (f *fakeTable) apply(t storage.Transaction) {
	f.revision++
	for _, put := range t.Puts {
		f.rows[put.Key] = storage.Row{Key: put.Key, Revision: f.revision, Value: put.Value}
	}
	for _, key := range t.Deletes {
		delete(f.rows, key)
	}
}

func (f *fakeTable) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failCommits {
		return storage.ErrUnavailable
	}
	f.objects[name] = data
	return nil
}

// fakeObjects is a storage.Objects that is backed by a fakeTable.
type fakeObjects struct{ table *fakeTable }

func (o fakeObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.table.Put(ctx, name, data)
}

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	data, ok := o.table.objects[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return data, nil
}

func (o fakeObjects) Delete(context.Context, string) error { return nil }
