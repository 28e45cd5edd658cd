package standin

import (
	"context"
	"sync"
)

// Gate blocks its callers while it is closed. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// SetClosed closes or opens the gate.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// Wait blocks until the gate is open. If ctx is done first, it returns the context's
// error.
func (g *Gate) Wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
