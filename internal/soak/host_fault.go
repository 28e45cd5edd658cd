package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// backLimit bounds the time until a host that was started again is ready.
const backLimit = 10 * time.Second

func hostFaults() []fault {
	return []fault{
		{hostFrozen, onHost(func(ctx context.Context, _ *system, h *host, random *rand.Rand) error {
			if err := h.Suspend(); err != nil {
				return err
			}
			last(ctx, random)
			return h.Resume()
		})},
		{hostKilled, onHost(func(ctx context.Context, s *system, h *host, random *rand.Rand) error {
			h.tell()
			if err := h.Kill(); err != nil {
				return err
			}
			last(ctx, random)
			return s.startHost(h)
		})},
		{hostStopped, onHost(stopAndStart)},
		{hostWithoutStore, onHost(func(ctx context.Context, _ *system, h *host, random *rand.Rand) error {
			if err := h.storeLink.SetFaults(faultproxy.Faults{Cut: true}); err != nil {
				return Error.Wrap(err)
			}
			last(ctx, random)
			return Error.Wrap(h.storeLink.SetFaults(faultproxy.Faults{}))
		})},
	}
}

// onHost lets a fault act on a host that no other one acts on, and waits until the
// host is ready again.
func onHost(
	act func(ctx context.Context, s *system, h *host, random *rand.Rand) error,
) func(context.Context, *system, *rand.Rand) error {
	return func(ctx context.Context, s *system, random *rand.Rand) error {
		h := oneOf(random, s.hosts)
		if !h.busy.TryLock() {
			return nil
		}
		defer h.busy.Unlock()
		end := h.disturbed.begin()
		defer end()
		if err := act(ctx, s, h, random); err != nil {
			return err
		}
		waiting, cancel := context.WithTimeout(ctx, backLimit)
		defer cancel()
		h.awaitReady(waiting)
		return nil
	}
}

// awaitReady waits until the host says itself that it takes callers.
func (h *host) awaitReady(ctx context.Context) {
	for ctx.Err() == nil && !platformtest.Ready(ctx, h.settings.ReadinessAddress) {
		periodic.Sleep(ctx, balanceInterval)
	}
}

// stopAndStart stops a host as planned and starts it again.
func stopAndStart(_ context.Context, s *system, h *host, _ *rand.Rand) error {
	h.mu.Lock()
	h.told = true
	h.stops = append(h.stops, time.Now())
	h.mu.Unlock()
	if err := h.Terminate(); err != nil {
		return err
	}
	status, err := h.Wait(stopTime + backLimit)
	if err != nil {
		return err
	}
	if status != 0 {
		return Error.New("%s ended with status %d after it was told to stop", h.Name, status)
	}
	return s.startHost(h)
}
