package peer

import (
	"context"

	"github.com/cornelyard/cornelyard/ident"
)

// Method serves one kind of unary call.
type Method func(ctx context.Context, from ident.Host, body []byte) ([]byte, error)
