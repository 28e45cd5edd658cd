package engine

// StreamOptions selects optional content of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}
