package claim

import "github.com/cornelyard/cornelyard/storage"

// writeResult is the result of a write, which took effect if conflict and err are nil.
type writeResult struct {
	// revision is the new revision of the row.
	revision uint64
	// conflict is the current row if its revision is not the expected one.
	conflict *storage.Row
	// err is storage.ErrUnavailable if nothing was changed. After any other error the
	// write may or may not have taken effect.
	err error
}
