package streamversion

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
)

// Key identifies a stream by the hash of the ID of the caller's attempt that brought the
// first event.
type Key uint32

// NewKey returns the key of a stream.
func NewKey(firstAttempt ident.Request) Key { return Key(xxhash.Sum64String(string(firstAttempt))) }
