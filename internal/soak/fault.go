package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
)

// faultKind names a kind of fault in reports.
type faultKind string

const (
	hostSuspended             faultKind = "host-frozen"
	hostKilled                faultKind = "host-killed"
	hostStopped               faultKind = "host-stopped"
	hostWithoutStore          faultKind = "host-without-store"
	storeDown                 faultKind = "store-away"
	storeHistoryDropped       faultKind = "store-forgets"
	storeStale                faultKind = "store-behind"
	targetPartitioned         faultKind = "target-silent"
	targetRequestsDropped     faultKind = "target-deaf"
	targetResponsesDropped    faultKind = "target-mute"
	targetSlow                faultKind = "target-slow"
	targetRefuses             faultKind = "target-refuses"
	targetResets              faultKind = "target-resets"
	targetRejecting           faultKind = "target-full"
	targetLeaving             faultKind = "target-leaves"
	targetPartitionedFromHost faultKind = "target-cut-off-from-a-host"
	targetPauses              faultKind = "target-pauses"
	configurationChanged      faultKind = "configuration-changed"
	storeReturned             faultKind = "store-returns-from-copy"
	requestCrashes            faultKind = "request-crashes-targets"
)

// fault is a kind of fault; inject injects it, ends it and returns.
type fault struct {
	kind   faultKind
	inject func(ctx context.Context, s *system, random *rand.Rand) error
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// holdFault waits for a random fault duration.
func holdFault(ctx context.Context, random *rand.Rand) {
	periodic.Sleep(ctx, minFaultDuration+time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))))
}

func faults() []fault {
	return append(targetFaults(), append(hostFaults(), storeFaults()...)...)
}

func targetFaults() []fault {
	return []fault{
		targetLinkFault(targetPartitioned, faultproxy.Faults{Cut: true}),
		targetLinkFault(targetRequestsDropped, faultproxy.Faults{CutToTarget: true}),
		targetLinkFault(targetResponsesDropped, faultproxy.Faults{CutToClient: true}),
		targetLinkFault(targetSlow, faultproxy.Faults{DelayMs: 300}),
		targetLinkFault(targetRefuses, faultproxy.Faults{Refuse: true}),
		{targetPauses, pauseTarget},
		{targetResets, func(_ context.Context, s *system, random *rand.Rand) error {
			t := pick(random, s.targets)
			defer t.faultSpans.start()()
			t.link.Reset()
			return nil
		}},
		{targetRejecting, func(ctx context.Context, s *system, random *rand.Rand) error {
			t := pick(random, s.targets)
			defer t.faultSpans.start()()
			t.fake.SetRejecting(true)
			defer t.fake.SetRejecting(false)
			holdFault(ctx, random)
			return nil
		}},
		{targetLeaving, leaveAndReturn},
		{requestCrashes, sendCrashingRequest},
		{targetPartitionedFromHost, func(ctx context.Context, s *system, random *rand.Rand) error {
			t, h := pick(random, s.targets), pick(random, s.hosts)
			defer t.faultSpans.start()()
			t.link.SetSourceFaults(h.Name, faultproxy.Faults{Cut: true})
			defer t.link.SetSourceFaults(h.Name, faultproxy.Faults{})
			holdFault(ctx, random)
			return nil
		}},
	}
}

func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// targetLinkFault returns a fault on the connections to a random target.
func targetLinkFault(kind faultKind, f faultproxy.Faults) fault {
	return fault{kind, func(ctx context.Context, s *system, random *rand.Rand) error {
		t := pick(random, s.targets)
		defer t.faultSpans.start()()
		if err := t.link.SetFaults(f); err != nil {
			return Error.Wrap(err)
		}
		holdFault(ctx, random)
		return Error.Wrap(t.link.SetFaults(faultproxy.Faults{}))
	}}
}

func leaveAndReturn(ctx context.Context, s *system, random *rand.Rand) error {
	t := pick(random, s.targets)
	t.setLeaving(true)
	s.publishTarget(t)
	periodic.Sleep(ctx, propagationTime)
	holdFault(ctx, random)
	t.setLeaving(false)
	s.publishTarget(t)
	return nil
}

func storeFaults() []fault {
	return []fault{
		{storeDown, func(ctx context.Context, s *system, random *rand.Rand) error {
			end := s.storeFaults.start()
			defer end()
			s.store.SetDown(true)
			defer s.store.SetDown(false)
			holdFault(ctx, random)
			return nil
		}},
		{storeHistoryDropped, func(_ context.Context, s *system, _ *rand.Rand) error {
			s.store.DropHistory()
			return nil
		}},
		{storeStale, func(_ context.Context, s *system, _ *rand.Rand) error {
			defer s.storeFaults.start()()
			version := s.store.Version()
			s.store.DropHistory()
			s.store.SetStaleRead(max(version, 2) - 1)
			return nil
		}},
		{storeReturned, returnStoreFromCopy},
		{configurationChanged, func(_ context.Context, s *system, _ *rand.Rand) error {
			s.writeConfiguration()
			return nil
		}},
	}
}

const (
	// maxStoreReturnOutage is the longest outage before the store returns from a copy, and
	// maxRewriteDelay the longest time until the operator and the targets have written again.
	maxStoreReturnOutage = 500 * time.Millisecond
	maxRewriteDelay      = time.Second
)

// returnStoreFromCopy makes the store return from a copy that is some seconds old, in half of
// the cases twice in a row.
func returnStoreFromCopy(ctx context.Context, s *system, random *rand.Rand) error {
	defer s.storeFaults.start()()
	s.store.TakeCopy()
	holdFault(ctx, random)
	for range 1 + random.IntN(2) {
		outage := time.Duration(random.Int64N(int64(maxStoreReturnOutage)))
		s.store.RestoreAfterOutage(outage, time.Duration(random.Int64N(int64(maxRewriteDelay))))
	}
	return nil
}
