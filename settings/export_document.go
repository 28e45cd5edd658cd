package settings

// exportDocument is a document with the settings version that last changed it.
type exportDocument struct {
	Document
	Version uint64 `json:"version"`
}
