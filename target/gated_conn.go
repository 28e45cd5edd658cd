package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// gatedConn is a connection that accepts writes only for the dispatch that it is
// assigned to.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]
	// retired reports that the connection must not be used again.
	retired atomic.Bool

	mu       sync.Mutex
	answered answeredRequests
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if g := c.gate.Load(); g != nil {
		g.scanHead(p[:n])
	}
	return n, err
}

// recordResponse records the response to a request (see answeredRequests.add).
func (c *gatedConn) recordResponse(id string) (first, repeated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered.add(id)
}

// retire closes the connection so that no later dispatch uses it.
func (c *gatedConn) retire() {
	c.retired.Store(true)
	_ = c.Close()
}

// assign assigns the connection to a dispatch. It closes the connection if the
// dispatch has already written to another one, because net/http would then send
// the request a second time.
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
