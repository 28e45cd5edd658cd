package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/cornelyard/cornelyard/operator/api"
)

// Operator serves the operators' interface on one listener.
type Operator struct {
	options Options
}

// New returns an Operator, which listens once Run is called.
func New(o Options) *Operator {
	return &Operator{options: o.withDefaults()}
}

// Handler returns the handler of all paths of the interface.
func (o *Operator) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = o.handleError
	router.Use(middleware.BodyLimit(strconv.Itoa(maxBodyBytes)))
	router.POST(api.PathApply, o.authorized(o.apply))
	router.GET(api.PathDocuments, o.authorized(o.documents))
	router.GET(api.PathHistory, o.authorized(o.history))
	router.GET(api.PathStatus, o.authorized(o.status))
	router.POST(api.PathTimeline, o.authorized(o.timeline))
	router.GET(api.PathUsage, o.authorized(o.usage))
	router.GET(api.PathMetrics, echo.WrapHandler(o.options.Metrics))
	router.GET(api.PathHealth, o.health)
	router.GET(api.PathReady, o.ready)
	return router
}

// Run serves until ctx ends. It returns an error if it cannot listen on the
// address.
func (o *Operator) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", o.options.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           o.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
	o.options.Logger.Info().Str("address", listener.Addr().String()).Msg("Listening for operator requests.")
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutDown(server)
	})
	err = server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// shutDown waits up to shutdownTimeout for in-flight requests and then closes
// their connections.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

func (o *Operator) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (o *Operator) ready(c echo.Context) error {
	if err := o.options.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
