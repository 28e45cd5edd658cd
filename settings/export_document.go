package settings

// exportDocument is one document with the version that last changed it.
type exportDocument struct {
	Document
	Version uint64 `json:"version"`
}
