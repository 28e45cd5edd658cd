package storage

import "context"

// Table is the platform's transactional table service.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows, in key order, whose keys start with prefix and
	// sort after the key given as after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t atomically and returns the new revision. It returns a
	// *ConflictError if a check failed.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}
