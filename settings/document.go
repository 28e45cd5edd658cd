package settings

// Document is one JSON file of the settings.
type Document struct {
	// Path is relative to the root of the tree and uses slashes, such as
	// "pools/drafting.json".
	Path string `json:"path"`
	// Body is the JSON text exactly as its author wrote it.
	Body string `json:"body"`
}
