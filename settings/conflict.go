package settings

// Conflict describes a document of a refused change that another change edited first.
type Conflict struct {
	Path string `json:"path"`
	// Base is the version that the refused change was made from, and Author the author
	// of the refused change.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Theirs is the newest accepted change to the document.
	Theirs Record `json:"theirs"`
}
