package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of all errors of the stand-ins.
var Error = errs.Class("standin")

const headerTimeout = 10 * time.Second

// Endpoint is a listener with its handler.
type Endpoint struct {
	Listener net.Listener
	Handler  http.Handler
}

// Serve serves the endpoints until ctx is done, then closes all connections
// immediately.
func Serve(ctx context.Context, endpoints ...Endpoint) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, endpoint := range endpoints {
		server := &http.Server{Handler: endpoint.Handler}
		ConfigureServer(server)
		group.Go(func() error { return serve(server, endpoint.Listener) })
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	return Error.Wrap(group.Wait())
}

// ConfigureServer applies the settings that Serve uses. CountRequest requires them.
func ConfigureServer(server *http.Server) {
	server.ConnContext = withConnectionCounter
	server.ReadHeaderTimeout = headerTimeout
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
