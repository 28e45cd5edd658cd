package settings

// committedRow holds the version under which a change was committed. Its key contains
// the change's ID, which makes changes idempotent.
type committedRow struct {
	Version uint64 `json:"version"`
}
