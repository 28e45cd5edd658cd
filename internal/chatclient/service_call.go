package chatclient

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Pool ident.Pool
	// Method defaults to POST. Path starts with a slash.
	Method string
	Path   string
	Body   string
	// Tier, Deadline, Key and NonIdempotent are as for Call.
	Tier          ident.Tier
	Deadline      time.Duration
	Key           string
	NonIdempotent bool
}
