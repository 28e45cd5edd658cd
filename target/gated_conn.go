package target

import (
	"net"
	"sync/atomic"
)

// gatedConn is a connection that writes only for the dispatch that it was
// handed to.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]
	// retired says that the target announced the connection's end.
	retired atomic.Bool
}

// retire closes the connection and keeps later dispatches off it.
func (c *gatedConn) retire() {
	c.retired.Store(true)
	_ = c.Close()
}

// arm hands the connection to a dispatch. It closes the connection if the
// dispatch already used another one, since that would be a resend.
func (c *gatedConn) assign(g *sendGate) {
	if g.latch.IsSet() {
		_ = c.Close()
		return
	}
	c.gate.Store(g)
	g.conn.Store(c)
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errUnassigned
	}
	if c.retired.Load() {
		return 0, errRetired
	}
	if err := g.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
