package target

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Call is one dispatch.
type Call struct {
	Target   settings.Target
	Kind     settings.PoolKind
	Request  ident.Request
	Dispatch ident.Dispatch

	Method string
	// Path is the escaped path; it begins with a slash.
	Path string
	// Query is the raw query without the question mark.
	Query string
	// Header is the caller's; what must not reach the target is removed.
	Header http.Header
	Body   []byte
	// Stream says that the caller asked an engine for a stream.
	Stream bool

	// NonIdempotent calls never use a connection that was used before, because
	// a target may close it at the moment of the dispatch.
	NonIdempotent bool

	// Latch is set right before the first byte may leave.
	Latch *SendLatch
	// NotAfter is when the right to begin the dispatch ends; zero means never.
	NotAfter time.Time
	// OnSend, if not nil, is called once, when the latch is set.
	OnSend func()
}
