package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// readyTimeout bounds the time until a host is ready after a fault.
const readyTimeout = 10 * time.Second

func hostFaults() []fault {
	return []fault{
		{hostSuspended, exclusiveHostFault(func(ctx context.Context, _ *system, h *host, random *rand.Rand) error {
			if err := h.Suspend(); err != nil {
				return err
			}
			holdFault(ctx, random)
			return h.Resume()
		})},
		{hostKilled, exclusiveHostFault(func(ctx context.Context, s *system, h *host, random *rand.Rand) error {
			h.expectExit()
			if err := h.Kill(); err != nil {
				return err
			}
			holdFault(ctx, random)
			return s.startHost(h)
		})},
		{hostStopped, exclusiveHostFault(shutdownAndRestart)},
		{hostWithoutStore, exclusiveHostFault(func(ctx context.Context, _ *system, h *host, random *rand.Rand) error {
			if err := h.storeLink.SetFaults(faultproxy.Faults{Cut: true}); err != nil {
				return Error.Wrap(err)
			}
			holdFault(ctx, random)
			return Error.Wrap(h.storeLink.SetFaults(faultproxy.Faults{}))
		})},
	}
}

// exclusiveHostFault returns a function that injects a fault into a random host and
// waits until the host is ready again. It does nothing if the host already has a fault.
func exclusiveHostFault(
	act func(ctx context.Context, s *system, h *host, random *rand.Rand) error,
) func(context.Context, *system, *rand.Rand) error {
	return func(ctx context.Context, s *system, random *rand.Rand) error {
		h := pick(random, s.hosts)
		if !h.faultLock.TryLock() {
			return nil
		}
		defer h.faultLock.Unlock()
		return injectHostFault(ctx, s, h, random, act)
	}
}

// injectHostFault injects a fault into a host and waits until it is ready again. The caller
// holds the host's faultLock.
func injectHostFault(
	ctx context.Context, s *system, h *host, random *rand.Rand,
	act func(ctx context.Context, s *system, h *host, random *rand.Rand) error,
) error {
	end := h.faultSpans.start()
	defer end()
	if err := act(ctx, s, h, random); err != nil {
		return err
	}
	// The fault lasts until the host is ready, also at the end of the run.
	readyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readyTimeout)
	defer cancel()
	h.waitReady(readyCtx)
	return nil
}

// waitReady waits until the host reports that it is ready, or ctx ends.
func (h *host) waitReady(ctx context.Context) {
	for ctx.Err() == nil && !platformtest.Ready(ctx, h.settings.ReadinessAddress) {
		periodic.Sleep(ctx, probeInterval)
	}
}

// shutdownAndRestart shuts a host down gracefully and starts it again.
func shutdownAndRestart(_ context.Context, s *system, h *host, _ *rand.Rand) error {
	if err := shutDown(h); err != nil {
		return err
	}
	return s.startHost(h)
}

// shutDown shuts a host down gracefully.
func shutDown(h *host) error {
	h.mu.Lock()
	h.exitExpected = true
	h.plannedStops = append(h.plannedStops, time.Now())
	h.mu.Unlock()
	if err := h.Terminate(); err != nil {
		return err
	}
	status, err := h.Wait(shutdownTimeout + readyTimeout)
	if err != nil {
		return err
	}
	if status != 0 {
		return Error.New("%s ended with status %d after it was told to stop", h.Name, status)
	}
	return nil
}
