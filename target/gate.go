package target

import (
	"sync/atomic"
	"time"
)

// gate decides, right before the first byte is written, whether a dispatch may
// begin.
type gate struct {
	latch *SendLatch
	// notAfter is when the right to begin ends; zero means never.
	notAfter time.Time
	// begun is called once, after the latch is set; nil does nothing.
	begun   func()
	expired atomic.Bool
	// conn is the connection that was handed to the dispatch.
	conn atomic.Pointer[gatedConn]
}

// retire keeps later dispatches off the connection.
func (g *gate) retire() {
	if conn := g.conn.Load(); conn != nil {
		conn.retire()
	}
}

// pass returns nil if bytes of the dispatch may be written.
func (g *gate) pass() error {
	if g.latch.IsSet() {
		return nil
	}
	if !g.notAfter.IsZero() && time.Now().After(g.notAfter) {
		g.expired.Store(true)
		return errExpired
	}
	if !g.latch.Set() {
		return errBarred
	}
	if g.begun != nil {
		g.begun()
	}
	return nil
}
