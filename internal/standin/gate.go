package standin

import (
	"context"
	"sync"
)

// Gate holds its callers back while it is shut. The zero value is open.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

// SetClosed shuts or opens the gate.
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

// Wait returns when the gate is open, or ctx's error if that ends first.
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
