package target

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Call is one dispatch of a request to a target.
type Call struct {
	Target   settings.Target
	Kind     settings.PoolKind
	Request  ident.Request
	Dispatch ident.Dispatch

	Method string
	// Path is the escaped path, with the leading slash.
	Path string
	// Query is the raw query, without the question mark.
	Query string
	// Header is the caller's header. Fields that must not reach the target are
	// removed before the request is sent.
	Header http.Header
	Body   []byte
	// Stream reports whether the caller asked an engine for a stream.
	Stream bool

	// NonIdempotent calls are sent on a new connection: a target may close a reused
	// connection just when the request is sent, and the outcome is then unknown.
	NonIdempotent bool

	// Latch is set immediately before the first byte is written.
	Latch *SendLatch
	// NotAfter is the time by which the dispatch must have started, usually the
	// expiry of the grant; zero means no limit.
	NotAfter time.Time
	// OnSend, if not nil, is called once, right after the latch is set.
	OnSend func()
}
