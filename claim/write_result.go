package claim

import "github.com/cornelyard/cornelyard/storage"

// writeResult is what came of a write. Without conflict and err it took effect.
type writeResult struct {
	// revision is the row's new one.
	revision uint64
	// conflict is the row as it is, if the condition did not hold.
	conflict *storage.Row
	// err is storage.ErrUnavailable if nothing was changed. After any other
	// error the write may or may not have taken effect.
	err error
}
