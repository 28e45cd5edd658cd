package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/oklog/run"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/platform"
)

const (
	// balancerDetectionTime is how long the load balancer takes to detect that this host is
	// not ready: two readiness checks, one per second.
	balancerDetectionTime = 2300 * time.Millisecond
	// shutdownReserve is the part of the stop timeout that is reserved for the shutdown
	// after draining.
	shutdownReserve = 300 * time.Millisecond
	// responseReserve is the time for the final responses to the requests that are in progress
	// at the end of draining.
	responseReserve = 150 * time.Millisecond
	// readHeaderTimeout bounds the time to receive the head of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It is longer than any
	// idle timeout that a configuration prescribes for callers.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the size of the head of a request.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx is done, and then drains. It returns an error if a component
// fails, for instance because the address of a listener is in use.
func (g *Gateway) Run(ctx context.Context) error {
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStarted).
		Str(eventlog.FieldDataCentre, string(g.config.DataCentre)).Int("memory_mb", g.config.MemoryMB).
		Int("processors", runtime.GOMAXPROCS(0)).Msg("Host is starting.")
	callers, err := listenForCallers(ctx, g.config.CallerAddress)
	if err != nil {
		return errors.Join(err, g.metrics.Closer.Close(), g.logs.Close())
	}
	var group run.Group
	addActor(&group, g.state.exchange.Run)
	addActor(&group, g.state.dispatcher.Run)
	addActor(&group, g.directory.WatchTable)
	addActor(&group, g.directory.WatchTargets)
	addActor(&group, g.directory.WatchHosts)
	addActor(&group, g.register)
	addActor(&group, g.persistBusyTeams)
	addActor(&group, g.saveCrashes)
	addActor(&group, g.watchTrials)
	addActor(&group, g.decideRollouts)
	addActor(&group, g.reportGauges)
	addActor(&group, g.saturation.run)
	addActor(&group, g.state.peers.run)
	addActor(&group, g.watchLinks)
	addActor(&group, g.servePeers)
	addActor(&group, g.listener(g.config.ReadinessAddress, platform.ReadinessHandler(http.HandlerFunc(g.serveReadiness))))
	addActor(&group, g.serveMetrics)
	g.addIngress(ctx, &group, callers)
	err = group.Run()
	g.transport.Close()
	g.peerTransport.Close()
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStopped).
		AnErr(eventlog.FieldCause, err).Uint64(eventlog.FieldDropped, g.logs.Dropped()).Msg("Host has stopped.")
	return errors.Join(err, g.metrics.Closer.Close(), g.logs.Close())
}

func addActor(group *run.Group, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
}

// register registers this host in the directory and then waits until ctx is done.
func (g *Gateway) register(ctx context.Context) error {
	return g.directory.Register(ctx, g.self())
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

// servePeers serves the requests that other hosts pass on, until ctx is done.
func (g *Gateway) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.peerServer.Close() })
	defer stop()
	err := g.peerServer.ListenAndServe()
	if !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	// The end of this actor would end the host, which may still drain.
	<-ctx.Done()
	return nil
}

// serveMetrics serves the metrics. If that fails, the host continues to serve callers.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if err := g.listener(g.config.MetricsAddress, g.metrics.Handler)(ctx); err != nil {
		g.logger.Error().Err(err).Msg("Serving metrics failed; the host continues without them.")
	}
	<-ctx.Done()
	return nil
}

// addIngress adds the ingress, which serves callers. When ctx is done it drains while the
// other components keep running, and its return stops them.
func (g *Gateway) addIngress(ctx context.Context, group *run.Group, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return g.serveCallers(ctx, listener) }, func(error) { cancel() })
}

// listenForCallers opens the listener for callers, before the host can report that it is ready.
// Timeouts end the connections of callers that vanish, long before keep-alive probes would, which
// cost four system calls for each connection.
func listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(ctx, "tcp", address)
	return listener, Error.Wrap(err)
}

func (g *Gateway) serveCallers(ctx context.Context, listener net.Listener) error {
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

// drain stops the host. It reports not ready, continues to serve until the load balancer
// has detected that, and then waits for the requests in flight.
func (g *Gateway) drain(server *http.Server) error {
	g.stopping.Store(true)
	end := time.Now().Add(g.stopTimeout() - shutdownReserve)
	lastResponse := end.Add(-responseReserve)
	g.relay.Stop(lastResponse)
	g.state.dispatcher.SetLeaving(time.Now(), lastResponse)
	g.logger.Info().Str(eventlog.FieldEvent, eventlog.EventStopping).
		Int("requests", g.relay.InFlight()).Msg("Draining the host.")
	time.Sleep(min(balancerDetectionTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := errors.Join(server.Shutdown(ctx), g.peerServer.Shutdown(ctx)); err != nil {
		g.logger.Warn().Int("requests", g.relay.InFlight()).Msg("Draining timed out; closing the connections of the remaining requests.")
		return Error.Wrap(errors.Join(server.Close(), g.peerServer.Close()))
	}
	return nil
}
