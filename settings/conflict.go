package settings

// Conflict is one document that two changes wanted.
type Conflict struct {
	Path string `json:"path"`
	// Base is the version that the refused change was made from, and Author its
	// author.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	// Theirs is the accepted change that came before it.
	Theirs Record `json:"theirs"`
}
