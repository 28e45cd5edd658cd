package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections limits the number of callers' connections. Over the limit it closes
// the connection that has been idle longest.
type connections struct {
	mu    sync.Mutex
	limit int
	// open maps every connection to the time since which it has been idle, or to
	// zero while it carries a request.
	open map[net.Conn]time.Time
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[net.Conn]time.Time)}
}

// trackState is used as http.Server.ConnState.
func (c *connections) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = time.Now()
		c.enforceLimit()
	case http.StateIdle:
		c.open[conn] = time.Now()
	case http.StateActive:
		c.open[conn] = time.Time{}
	default:
		delete(c.open, conn)
	}
}

// enforceLimit closes the longest idle connection if there are more than limit. If
// all others carry requests, that is the new one.
func (c *connections) enforceLimit() {
	if len(c.open) <= c.limit {
		return
	}
	var longestIdle net.Conn
	var idleSince time.Time
	for conn, idle := range c.open {
		if idle.IsZero() || (longestIdle != nil && !idle.Before(idleSince)) {
			continue
		}
		longestIdle, idleSince = conn, idle
	}
	if longestIdle != nil {
		delete(c.open, longestIdle)
		_ = longestIdle.Close()
	}
}
