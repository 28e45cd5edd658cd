package engine

// StreamOptions asks for extras in a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}
