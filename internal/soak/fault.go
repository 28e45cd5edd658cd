package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

// faultKind names what is done to the system.
type faultKind string

const (
	hostFrozen       faultKind = "host-frozen"
	hostKilled       faultKind = "host-killed"
	hostStopped      faultKind = "host-stopped"
	hostWithoutStore faultKind = "host-without-store"
	storeAway        faultKind = "store-away"
	storeForgets     faultKind = "store-forgets"
	storeBehind      faultKind = "store-behind"
	targetSilent     faultKind = "target-silent"
	targetDeaf       faultKind = "target-deaf"
	targetMute       faultKind = "target-mute"
	targetSlow       faultKind = "target-slow"
	targetRefuses    faultKind = "target-refuses"
	targetResets     faultKind = "target-resets"
	targetFull       faultKind = "target-full"
	targetLeaves     faultKind = "target-leaves"
	targetCutOff     faultKind = "target-cut-off-from-a-host"
	configured       faultKind = "configuration-changed"
)

// fault does something to the system and returns once that is over.
type fault struct {
	kind faultKind
	act  func(ctx context.Context, s *system, random *rand.Rand) error
}

const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
)

// last lets a fault act for a random time.
func last(ctx context.Context, random *rand.Rand) {
	periodic.Sleep(ctx, shortestFault+time.Duration(random.Int64N(int64(longestFault-shortestFault))))
}

// faults returns all faults.
func faults() []fault {
	return append(targetFaults(), append(hostFaults(), storeFaults()...)...)
}

func targetFaults() []fault {
	return []fault{
		onTarget(targetSilent, faultproxy.Faults{Cut: true}),
		onTarget(targetDeaf, faultproxy.Faults{CutToTarget: true}),
		onTarget(targetMute, faultproxy.Faults{CutToClient: true}),
		onTarget(targetSlow, faultproxy.Faults{DelayMs: 300}),
		onTarget(targetRefuses, faultproxy.Faults{Refuse: true}),
		{targetResets, func(_ context.Context, s *system, random *rand.Rand) error {
			oneOf(random, s.targets).link.Reset()
			return nil
		}},
		{targetFull, func(ctx context.Context, s *system, random *rand.Rand) error {
			t := oneOf(random, s.targets)
			t.replica.SetRejecting(true)
			defer t.replica.SetRejecting(false)
			last(ctx, random)
			return nil
		}},
		{targetLeaves, leaveAndReturn},
		{targetCutOff, func(ctx context.Context, s *system, random *rand.Rand) error {
			t, h := oneOf(random, s.targets), oneOf(random, s.hosts)
			t.link.SetSourceFaults(h.Name, faultproxy.Faults{Cut: true})
			defer t.link.SetSourceFaults(h.Name, faultproxy.Faults{})
			last(ctx, random)
			return nil
		}},
	}
}

func oneOf[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// onTarget returns a fault of one target's connections.
func onTarget(kind faultKind, f faultproxy.Faults) fault {
	return fault{kind, func(ctx context.Context, s *system, random *rand.Rand) error {
		t := oneOf(random, s.targets)
		if err := t.link.SetFaults(f); err != nil {
			return Error.Wrap(err)
		}
		last(ctx, random)
		return Error.Wrap(t.link.SetFaults(faultproxy.Faults{}))
	}}
}

func leaveAndReturn(ctx context.Context, s *system, random *rand.Rand) error {
	t := oneOf(random, s.targets)
	t.leave(true)
	s.announce(t)
	periodic.Sleep(ctx, applyTime)
	last(ctx, random)
	t.leave(false)
	s.announce(t)
	return nil
}

func storeFaults() []fault {
	return []fault{
		{storeAway, func(ctx context.Context, s *system, random *rand.Rand) error {
			end := s.storeFaults.begin()
			defer end()
			s.store.SetDown(true)
			defer s.store.SetDown(false)
			last(ctx, random)
			return nil
		}},
		{storeForgets, func(_ context.Context, s *system, _ *rand.Rand) error {
			s.store.DropHistory()
			return nil
		}},
		{storeBehind, func(_ context.Context, s *system, _ *rand.Rand) error {
			defer s.storeFaults.begin()()
			version := s.store.Version()
			s.store.DropHistory()
			s.store.SetStaleRead(max(version, 2) - 1)
			return nil
		}},
		{configured, func(_ context.Context, s *system, _ *rand.Rand) error {
			s.configure()
			return nil
		}},
	}
}
