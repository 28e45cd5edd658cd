package settings

// landedRow says which version a change became.
type committedRow struct {
	Version uint64 `json:"version"`
}
