package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/membership"
)

// seed is an address that is dialled while no known member has it.
type seed struct {
	address string

	mu    sync.Mutex
	dials dialState
}

func newSeed(address string) *seed {
	return &seed{address: address, dials: newDialState()}
}

func (s *seed) tryBeginDial(now time.Time) (started bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials.tryBegin(now, true)
}

// dialEnded records the end of a dial or of the resulting session. The next dial waits
// for the backoff, because the member's own link normally takes over.
func (s *seed) dialEnded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials.failed(now)
}

func (d *dialler) dialSeeds(ctx context.Context, view *membership.View, now time.Time) time.Duration {
	wait := maxDialCheckInterval
	for _, s := range d.seeds {
		if _, known := memberByAddress(view, s.address); known {
			continue
		}
		started, seedWait := s.tryBeginDial(now)
		wait = min(wait, seedWait)
		if started {
			d.mesh.connectionTasks.Go(func() { d.mesh.dialSeed(ctx, s) })
		}
	}
	return wait
}

func (m *Mesh) dialSeed(ctx context.Context, s *seed) {
	defer m.wakeDialler()
	opened, err := m.dial(ctx, s.address)
	if err != nil {
		s.dialEnded(time.Now())
		m.recordHandshakeFailure("dialled", s.address, err)
		return
	}
	opened.run(ctx)
	s.dialEnded(time.Now())
}
