package settings

// landedRow says which version a change became.
type landedRow struct {
	Version uint64 `json:"version"`
}
