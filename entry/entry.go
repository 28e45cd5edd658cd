package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
)

// Entry serves callers' requests on one listener.
type Entry struct {
	options  Options
	inFlight *inFlightLimiter
	retries  *retryBudget
	metrics  *metrics
	server   *http.Server

	draining atomic.Bool
	// executions counts the executions that have not finished.
	executions sync.WaitGroup
	// baseContext is the parent of every execution's context.
	baseContext      context.Context
	cancelExecutions context.CancelCauseFunc
}

// New returns an Entry that is not listening yet; call Run or Serve.
func New(o Options) *Entry {
	o = o.withDefaults()
	stopAll, cancel := context.WithCancelCause(context.Background())
	e := &Entry{
		options:          o,
		inFlight:         newInFlightLimiter(o.Limits.MaxRequests),
		retries:          newRetryBudget(),
		metrics:          newMetrics(o.Scope),
		baseContext:      stopAll,
		cancelExecutions: cancel,
	}
	connections := newConnections(o.Limits.MaxConnections)
	e.server = &http.Server{
		Addr:              o.Address,
		Handler:           e.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         connections.trackState,
	}
	return e
}

// Handler returns the HTTP handler for the caller API and the health probes.
func (e *Entry) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = e.handleError
	router.POST("/v1/chat/completions", e.handler(e.acceptChat))
	router.POST("/v1/completions", e.handler(e.acceptCompletion))
	router.GET("/v1/models", e.listModels)
	router.Any("/services/:name", e.handler(e.acceptService))
	router.Any("/services/:name/*", e.handler(e.acceptService))
	router.GET("/healthz", e.health)
	router.GET("/readyz", e.readiness)
	return router
}

func (e *Entry) logger() *log.Logger { return e.options.Logger }
