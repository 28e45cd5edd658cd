package settings

// headRow is the row that every change replaces.
type headRow struct {
	Version uint64 `json:"version"`
}
