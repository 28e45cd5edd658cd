package settings

// documentRow holds a document and the settings version that last changed it.
type documentRow struct {
	Body    string `json:"body"`
	Version uint64 `json:"version"`
}
