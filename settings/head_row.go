package settings

// headRow is the row that holds the newest version. Every change replaces it, so that
// a commit detects concurrent changes by the row's revision.
type headRow struct {
	Version uint64 `json:"version"`
}
