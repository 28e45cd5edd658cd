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

// Endpoint is one listener together with what serves it.
type Endpoint struct {
	Listener net.Listener
	Handler  http.Handler
}

// Serve serves the endpoints until ctx ends, and then closes every connection
// at once.
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

// ConfigureServer sets a server up as Serve does, so that CountRequest works.
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
