package peer

import (
	"context"

	"github.com/cornelyard/cornelyard/ident"
)

// Caller makes unary calls to other hosts.
type Caller interface {
	// Call sends body to the method of the host and returns its reply.
	Call(ctx context.Context, to ident.Host, method string, body []byte) ([]byte, error)
}
