package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/membership"
)

// seed is an address that is dialled while no member is known to have it.
type seed struct {
	address string

	mu    sync.Mutex
	dials dialState
}

func newSeed(address string) *seed {
	return &seed{address: address, dials: newDialState()}
}

func (s *seed) begin(now time.Time) (begun bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials.begin(now, true)
}

// ended notes the end of a dial or of the session that came of it. The address
// isn't dialled again at once, because the member's own link takes over.
func (s *seed) ended(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials.failed(now)
}

func (d *dialler) dialSeeds(ctx context.Context, view *membership.View, now time.Time) time.Duration {
	next := idlePlanInterval
	for _, s := range d.seeds {
		if _, known := hostAt(view, s.address); known {
			continue
		}
		begun, wait := s.begin(now)
		next = min(next, wait)
		if begun {
			d.mesh.connections.Go(func() { d.mesh.dialSeed(ctx, s) })
		}
	}
	return next
}

func (m *Mesh) dialSeed(ctx context.Context, s *seed) {
	defer m.wake()
	opened, err := m.dial(ctx, s.address)
	if err != nil {
		s.ended(time.Now())
		m.noteFailed("dialled", s.address, err)
		return
	}
	opened.run(ctx)
	s.ended(time.Now())
}
