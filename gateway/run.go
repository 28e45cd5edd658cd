package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/platform"
)

const (
	// balancerNotice is how long the balancer needs to notice that this host is
	// not ready: two questions, one a second.
	balancerNotice = 2300 * time.Millisecond
	// stopReserve is the part of the time to stop that is left for the end itself.
	stopReserve = 300 * time.Millisecond
	// readHeaderTimeout bounds the time for the head of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's unused connection is kept; it is longer
	// than any that a configuration asks of callers.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx ends, and then stops gracefully. It returns an error if a
// part fails, such as a listener whose address is in use.
func (g *Gateway) Run(ctx context.Context) error {
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStarted).
		Str("data_centre", string(g.config.DataCentre)).Int("memory_mb", g.config.MemoryMB).Msg("Host starts.")
	var group run.Group
	addActor(&group, g.knowledge.exchange.Run)
	addActor(&group, g.knowledge.dispatcher.Run)
	addActor(&group, g.directory.WatchTable)
	addActor(&group, g.directory.WatchTargets)
	addActor(&group, g.directory.WatchHosts)
	addActor(&group, g.register)
	addActor(&group, g.rememberBusyTeams)
	addActor(&group, g.keepGauges)
	addActor(&group, g.knowledge.peers.run)
	addActor(&group, g.listener(g.config.ReadinessAddress, platform.ReadinessHandler(http.HandlerFunc(g.serveReadiness))))
	addActor(&group, g.serveMetrics)
	g.addIngress(ctx, &group)
	err := group.Run()
	g.transport.Close()
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStopped).
		AnErr(eventlog.FieldCause, err).Uint64(eventlog.FieldDropped, g.logs.Dropped()).Msg("Host ends.")
	return errors.Join(err, g.metrics.Closer.Close(), g.logs.Close())
}

func addActor(group *run.Group, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
}

// register makes this host known and then waits for ctx.
func (g *Gateway) register(ctx context.Context) error {
	if err := g.directory.Register(ctx, g.self()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// listener returns an actor that serves HTTP at the address.
func (g *Gateway) listener(address string, handler http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.ListenAndServe()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return Error.Wrap(err)
	}
}

// serveMetrics serves the metrics. A host without them still serves callers.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if err := g.listener(g.config.MetricsAddress, g.metrics.Handler)(ctx); err != nil {
		g.logger.Error().Err(err).Msg("Metrics are not served.")
	}
	<-ctx.Done()
	return nil
}

// addIngress adds the callers' interface, whose end stops the other parts. It
// drains when ctx ends, while the other parts go on.
func (g *Gateway) addIngress(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return g.serveCallers(ctx) }, func(error) { cancel() })
}

func (g *Gateway) serveCallers(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.config.CallerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           g.ingress,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		return g.drain(server)
	case err := <-failed:
		return Error.Wrap(err)
	}
}

// drain stops the host: it reports not ready, serves on until the balancer has
// noticed, and then waits for the requests in service.
func (g *Gateway) drain(server *http.Server) error {
	g.stopping.Store(true)
	end := time.Now().Add(g.stopTime() - stopReserve)
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStopping).
		Int("requests", g.relay.InFlight()).Msg("Graceful stop begins.")
	time.Sleep(min(balancerNotice, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.logger.Warn().Int("requests", g.relay.InFlight()).Msg("Requests outlast the graceful stop.")
		return Error.Wrap(server.Close())
	}
	return nil
}
