package storewatch

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/freshness"
)

// Row is a row of a table, or the removal of one.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Store reads tables.
type Store interface {
	// ListRows reads a whole table. Changes after the returned position may be missing.
	ListRows(ctx context.Context, table string) ([]Row, freshness.Position, error)
	// WaitForChanges waits up to the given time for changes of a table after a position. It returns
	// those up to the returned position, ErrEraEnded if the position's era has ended, and
	// ErrHistoryGone if the store no longer has the changes.
	WaitForChanges(ctx context.Context, table string, after freshness.Position, wait time.Duration) ([]Row, freshness.Position, error)
}
