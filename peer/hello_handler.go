package peer

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// HelloHandler is a Handler that also receives the Hello message of each session,
// before SessionUp.
type HelloHandler interface {
	HandleHello(from ident.Host, h *peerpb.Hello)
}
