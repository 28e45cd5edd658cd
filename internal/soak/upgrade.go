package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// upgradeKind says how the hosts are replaced.
type upgradeKind string

const (
	upgradeOneByOne upgradeKind = "one by one"
	upgradeTenths   upgradeKind = "a tenth at a time"
	upgradeReverted upgradeKind = "reverted halfway"
	upgradeKilled   upgradeKind = "killed halfway"
)

// upgradeKindOf returns the kind of upgrade that a seed selects.
func upgradeKindOf(seed uint64) upgradeKind {
	kinds := []upgradeKind{upgradeOneByOne, upgradeTenths, upgradeReverted, upgradeKilled}
	return kinds[seed%uint64(len(kinds))]
}

const (
	// maxUpgradeDuration bounds the whole upgrade.
	maxUpgradeDuration = 2 * time.Minute
	// steadyTime is how long all hosts run one build before and after the upgrade.
	steadyTime = 2 * time.Second
	// replacementInterval is the time between two replacements.
	replacementInterval = 200 * time.Millisecond
	// maxLifeOfKilled is how long a replacement that is killed runs at most.
	maxLifeOfKilled = 600 * time.Millisecond
	// mixedTime is how long half of the hosts run either build. It exceeds the time of the
	// events in it: a target that drains, up to 5.5 s, and an order of a rollout.
	mixedTime = 9 * time.Second
)

// upgrade replaces the former build of the hosts by this build.
type upgrade struct {
	builds *builds
	runner *runner
	random *rand.Rand
	// revoked is when the guests' key was revoked, or zero.
	revoked time.Time
	// rollout is the order that is given meanwhile.
	rollout rolloutOrder
}

// run replaces all hosts, with events when half of them are replaced. It returns an error if ctx
// ends before.
func (u *upgrade) run(ctx context.Context) error {
	u.random = rand.New(rand.NewPCG(u.runner.options.Seed, 1<<35))
	u.runner.system.stateMachines(u.random)
	hosts := append([]*host(nil), u.runner.system.hosts...)
	u.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	first, rest := hosts[:len(hosts)/2], hosts[len(hosts)/2:]
	kind := upgradeKindOf(u.runner.options.Seed)

	var events sync.WaitGroup
	defer events.Wait()
	guests, stopGuests := context.WithCancel(ctx)
	defer stopGuests()
	events.Go(func() { u.runner.callers.runGuests(guests) })
	periodic.Sleep(ctx, steadyTime)
	events.Go(func() { u.event(ctx, fault{requestCrashes, sendCrashingRequest}) })
	u.runner.system.writeConfiguration()
	u.replace(ctx, first, u.builds.current)
	u.mix(ctx, &events)
	if kind == upgradeReverted {
		u.replace(ctx, first, u.builds.former)
		periodic.Sleep(ctx, steadyTime)
		u.replace(ctx, first, u.builds.current)
	}
	u.replace(ctx, rest, u.builds.current)
	periodic.Sleep(ctx, steadyTime)
	if ctx.Err() != nil {
		return Error.New("the upgrade took longer than %v", u.runner.options.Duration)
	}
	return nil
}

// maxMachinePercent is the longest time that work takes by what targets state, which former builds don't
// know.
const maxMachinePercent = 250

// stateMachines lets targets state how long work takes on their machines.
func (s *system) stateMachines(random *rand.Rand) {
	for _, t := range s.targets {
		percent := 100 + random.IntN(maxMachinePercent-100)
		statement := platformtest.MachineStatement(percent)
		t.statements.Store(&statement)
	}
}

// mix holds half of the hosts at either build, during events.
func (u *upgrade) mix(ctx context.Context, events *sync.WaitGroup) {
	drain := rand.New(rand.NewPCG(u.random.Uint64(), 0))
	events.Go(func() {
		u.event(ctx, fault{targetLeaving, func(ctx context.Context, s *system, _ *rand.Rand) error {
			return leaveAndReturn(ctx, s, drain)
		}})
	})
	u.orderRollout()
	periodic.Sleep(ctx, time.Duration(u.random.Int64N(int64(time.Second))))
	u.revoked = time.Now()
	u.runner.system.revokeGuestKey()
	periodic.Sleep(ctx, mixedTime)
}

// event injects a fault that belongs to the upgrade.
func (u *upgrade) event(ctx context.Context, f fault) {
	random := rand.New(rand.NewPCG(u.runner.options.Seed, 1<<36))
	u.runner.injector.record(f.kind, f.inject(ctx, u.runner.system, random))
}

// replace replaces the builds of hosts, a tenth of all hosts at a time.
func (u *upgrade) replace(ctx context.Context, hosts []*host, b *build) {
	batch := max(len(u.runner.system.hosts)/10, 1)
	for len(hosts) > 0 && ctx.Err() == nil {
		n := min(batch, len(hosts))
		var group sync.WaitGroup
		for _, h := range hosts[:n] {
			life := time.Duration(u.random.Int64N(int64(maxLifeOfKilled)))
			group.Go(func() { u.replaceHost(ctx, h, b, life) })
		}
		group.Wait()
		hosts = hosts[n:]
		periodic.Sleep(ctx, replacementInterval)
	}
}

// replaceHost stops a host and starts it with another build. In an upgrade that is killed
// halfway, both the process and its first replacement are killed, which has then run for life.
func (u *upgrade) replaceHost(ctx context.Context, h *host, b *build, life time.Duration) {
	s, kind := u.runner.system, hostStopped
	restart := func(context.Context, *system, *host, *rand.Rand) error { return stopAndStart(s, h, b) }
	if upgradeKindOf(u.runner.options.Seed) == upgradeKilled {
		kind = hostKilled
		restart = func(ctx context.Context, _ *system, _ *host, _ *rand.Rand) error {
			return killAndStart(ctx, s, h, b, life)
		}
	}
	h.faultLock.Lock()
	defer h.faultLock.Unlock()
	u.runner.injector.record(kind, injectHostFault(ctx, s, h, nil, restart))
}

// stopAndStart shuts a host down gracefully and starts it with a build.
func stopAndStart(s *system, h *host, b *build) error {
	if err := shutDown(h); err != nil {
		return err
	}
	if err := h.setBuild(b); err != nil {
		return err
	}
	return s.startHost(h)
}

// killAndStart kills a host, starts it with a build, kills that too when it has run for a time,
// and starts it again.
func killAndStart(ctx context.Context, s *system, h *host, b *build, life time.Duration) error {
	for range 2 {
		h.expectExit()
		if err := h.Kill(); err != nil {
			return err
		}
		if err := h.setBuild(b); err != nil {
			return err
		}
		if err := s.startHost(h); err != nil {
			return err
		}
		periodic.Sleep(ctx, life)
		life = 0
	}
	return nil
}
