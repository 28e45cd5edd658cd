package settings

// Document is one file of the declarations.
type Document struct {
	// Path is relative to the root of the tree, with slashes, such as
	// "pools/drafting.json".
	Path string `json:"path"`
	// Body is the JSON text as it was written.
	Body string `json:"body"`
}
