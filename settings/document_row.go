package settings

// documentRow is the row of one document.
type documentRow struct {
	Body    string `json:"body"`
	Version uint64 `json:"version"`
}
