package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/eventlog"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/relay"
	"github.com/cornelyard/cornelyard/target"
)

const (
	// linkCheckInterval is the time between two looks for pools that are silent, and
	// linkProbeInterval the least time between two probes of a pool.
	linkCheckInterval = 100 * time.Millisecond
	linkProbeInterval = 250 * time.Millisecond
	// healthyProbeInterval is the same after a probe that found the links whole.
	healthyProbeInterval = time.Second
	// linkProbeTargets is the number of targets of a pool that are probed at once.
	linkProbeTargets = 3
	// minFailedProbes is the number of probes in a row that reach no target after which this
	// host counts as cut off from the pool.
	minFailedProbes = 2
)

// linkMonitor finds out from which pools this host is cut off: it connects to some of their
// targets if none responds, and compares itself with other hosts that get responses.
type linkMonitor struct {
	dispatcher *relay.Dispatcher
	probe      func(ctx context.Context, address string) target.ProbeResult
	logger     *log.Logger
	pools      map[ident.Pool]*poolLinks
}

// poolLinks is what the probes of one pool found.
type poolLinks struct {
	nextProbe time.Time
	// failed counts the probes in a row that reached no target.
	failed int
	// unheard says that the targets accept connections but this host gets no responses.
	unheard bool
}

// watchLinks runs the monitor until ctx is done.
func (g *Gateway) watchLinks(ctx context.Context) error {
	client := g.targetClient
	m := &linkMonitor{
		dispatcher: g.state.dispatcher,
		probe:      client.ProbeAddress,
		logger:     g.logs.For("links"),
		pools:      make(map[ident.Pool]*poolLinks),
	}
	return periodic.Run(ctx, linkCheckInterval, func(now time.Time) { m.check(ctx, now) })
}

func (m *linkMonitor) check(ctx context.Context, now time.Time) {
	for _, pool := range m.dispatcher.SilentPools(now) {
		links := m.pools[pool]
		if links == nil {
			links = &poolLinks{}
			m.pools[pool] = links
		}
		switch unheard := m.dispatcher.Unheard(now, pool); {
		case unheard || links.unheard:
			links.unheard = unheard
			m.set(pool, unheard, 0, 0)
		case !now.Before(links.nextProbe):
			m.probePool(ctx, now, pool, links)
		}
	}
}

// probePool connects to some targets of a pool.
func (m *linkMonitor) probePool(ctx context.Context, now time.Time, pool ident.Pool, links *poolLinks) {
	links.nextProbe = now.Add(linkProbeInterval)
	probed, reached := m.countReached(ctx, pool)
	switch {
	case probed == 0:
	case reached > 0:
		links.failed = 0
		links.nextProbe = now.Add(healthyProbeInterval)
		m.set(pool, false, probed, reached)
	default:
		links.failed++
		if links.failed >= minFailedProbes {
			m.set(pool, true, probed, reached)
		}
	}
}

// countReached connects to some targets of a pool at once.
func (m *linkMonitor) countReached(ctx context.Context, pool ident.Pool) (probed, reached int) {
	var (
		group sync.WaitGroup
		count atomic.Int64
	)
	candidates := m.dispatcher.ProbeCandidates(pool, linkProbeTargets)
	for _, t := range candidates {
		group.Go(func() {
			if m.probe(ctx, t.Address) == target.ProbeConnected {
				count.Add(1)
			}
		})
	}
	group.Wait()
	return len(candidates), int(count.Load())
}

func (m *linkMonitor) set(pool ident.Pool, cutOff bool, probed, reached int) {
	if !m.dispatcher.SetCutOff(time.Now(), pool, cutOff) {
		return
	}
	event, message := eventlog.EventReached, "Targets of the pool are reached again; requests are no longer passed on."
	if cutOff {
		event, message = eventlog.EventCutOff, "No target of the pool is reached; passing requests on to other hosts."
	}
	m.logger.Warn().Str(eventlog.FieldEvent, event).Str(eventlog.FieldPool, string(pool)).
		Int("probed", probed).Int("reached", reached).Msg(message)
}
