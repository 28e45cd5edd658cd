package target

import (
	"net"
	"sync/atomic"
)

// gatedConn is a connection that writes only for the dispatch that it was
// handed to.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// arm hands the connection to a dispatch. It closes the connection if the
// dispatch already used another one, since that would be a resend.
func (c *gatedConn) arm(g *gate) {
	if g.latch.IsSet() {
		_ = c.Close()
		return
	}
	c.gate.Store(g)
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errUnarmed
	}
	if err := g.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
