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
	// cancelTimeout is how long a call that was cut by the drain limit has to tell
	// its caller.
	cancelTimeout = 5 * time.Second
)

// Run listens until ctx ends, then drains. It returns nil after a whole drain.
func (e *Entry) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.options.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	return e.Serve(ctx, listener)
}

// Serve is Run on a listener that the caller opened.
func (e *Entry) Serve(ctx context.Context, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(listener) }()
	e.logger().Info().Str("address", listener.Addr().String()).Msg("Listening")
	select {
	case <-ctx.Done():
		return e.Drain(context.WithoutCancel(ctx))
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return Error.Wrap(err)
	}
}

// Drain stops the entry: it reports not ready, accepts for as long as the
// balancer needs to notice, then accepts no more and waits until every call has
// reached its outcome. The end of ctx, and the drain limit, cut what still
// runs; the calls are told so.
func (e *Entry) Drain(ctx context.Context) error {
	if e.draining.Swap(true) {
		return nil
	}
	e.logger().Info().Int("requests", e.inFlight.size()).Msg("Drain began")
	periodic.Pause(ctx, e.options.Timing.ReadinessDelay.Std())
	bounded, release := e.drainContext(ctx)
	defer release()
	if err := e.waitForRequests(bounded); err != nil {
		return e.cancelRemaining()
	}
	e.logger().Info().Msg("Drain ended")
	return nil
}

func (e *Entry) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if limit := e.options.Timing.DrainLimit.Std(); limit > 0 {
		return context.WithTimeout(ctx, limit)
	}
	return context.WithCancel(ctx)
}

// waitForRequests closes the listener and waits for all connections and calls.
func (e *Entry) waitForRequests(ctx context.Context) error {
	if err := e.server.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	ended := make(chan struct{})
	go func() {
		e.executions.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// cancelRemaining ends the calls that outlasted the drain limit.
func (e *Entry) cancelRemaining() error {
	count := e.inFlight.size()
	e.logger().Warn().Int("requests", count).Msg("Drain limit reached, requests cut")
	e.cancelExecutions(stopDraining())
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := e.waitForRequests(ctx); err != nil {
		_ = e.server.Close()
	}
	return Error.New("%d requests were cut by the drain limit", count)
}
