package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// cancelTimeout is how long requests that were cancelled at the drain limit
	// have to report the error to their callers.
	cancelTimeout = 5 * time.Second
)

// Run listens until ctx ends, then drains. It returns nil if the drain completed.
func (e *Entry) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.options.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	return e.Serve(ctx, listener)
}

// Serve is like Run, on an existing listener.
func (e *Entry) Serve(ctx context.Context, listener net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.server.Serve(listener) }()
	e.logger().Info().Str("address", listener.Addr().String()).Msg("Listening")
	select {
	case <-ctx.Done():
		return e.Drain(context.WithoutCancel(ctx))
	case err := <-serveErr:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return Error.Wrap(err)
	}
}

// Drain stops the entry. It reports not ready, goes on accepting requests for
// the readiness delay so that the load balancer can react, then closes the
// listener and waits for all requests to finish. When ctx ends or the drain
// limit passes, it cancels the remaining requests with reason "draining".
func (e *Entry) Drain(ctx context.Context) error {
	if e.draining.Swap(true) {
		return nil
	}
	e.logger().Info().Int("requests", e.inFlight.size()).Msg("Drain began: reporting not ready, still accepting during the readiness delay")
	periodic.Sleep(ctx, e.options.Timing.ReadinessDelay.Std())
	drainCtx, cancel := e.drainContext(ctx)
	defer cancel()
	if err := e.waitForRequests(drainCtx); err != nil {
		return e.cancelRemaining()
	}
	e.logger().Info().Msg("Drain ended: all requests finished")
	return nil
}

func (e *Entry) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if limit := e.options.Timing.DrainLimit.Std(); limit > 0 {
		return context.WithTimeout(ctx, limit)
	}
	return context.WithCancel(ctx)
}

// waitForRequests closes the listener and waits for all connections and
// executions to end.
func (e *Entry) waitForRequests(ctx context.Context) error {
	if err := e.server.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	executionsEnded := make(chan struct{})
	go func() {
		e.executions.Wait()
		close(executionsEnded)
	}()
	select {
	case <-executionsEnded:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// cancelRemaining cancels the requests that are unfinished at the drain limit.
func (e *Entry) cancelRemaining() error {
	count := e.inFlight.size()
	e.logger().Warn().Int("requests", count).Msg("Drain limit reached: cancelling the remaining requests")
	e.cancelExecutions(stopDraining())
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := e.waitForRequests(ctx); err != nil {
		_ = e.server.Close()
	}
	return Error.New("drain incomplete: %d requests were cancelled at the drain limit", count)
}
