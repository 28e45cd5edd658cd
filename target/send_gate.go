package target

import (
	"sync/atomic"
	"time"
)

// gate decides, right before the first byte is written, whether a dispatch may
// begin.
type sendGate struct {
	latch *SendLatch
	// notAfter is when the right to begin ends; zero means never.
	notAfter time.Time
	// begun is called once, after the latch is set; nil does nothing.
	onSend  func()
	expired atomic.Bool
	// conn is the connection that was handed to the dispatch.
	conn atomic.Pointer[gatedConn]
}

// retire keeps later dispatches off the connection.
func (g *sendGate) retire() {
	if conn := g.conn.Load(); conn != nil {
		conn.retire()
	}
}

// pass returns nil if bytes of the dispatch may be written.
func (g *sendGate) allowWrite() error {
	if g.latch.IsSet() {
		return nil
	}
	if !g.notAfter.IsZero() && time.Now().After(g.notAfter) {
		g.expired.Store(true)
		return errStartExpired
	}
	if !g.latch.Set() {
		return errCancelled
	}
	if g.onSend != nil {
		g.onSend()
	}
	return nil
}
