package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections bounds the callers' connections. A full host closes those that
// carry no request, longest without one first.
type connections struct {
	mu    sync.Mutex
	limit int
	// open holds every connection; the time is when it last became idle, or
	// zero while it carries a request.
	open map[net.Conn]time.Time
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[net.Conn]time.Time)}
}

// trackState is an http.Server's ConnState.
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

// enforceLimit closes one connection if there are too many. If all others carry
// requests, that is the newest.
func (c *connections) enforceLimit() {
	if len(c.open) <= c.limit {
		return
	}
	var oldest net.Conn
	var since time.Time
	for conn, idle := range c.open {
		if idle.IsZero() || (oldest != nil && !idle.Before(since)) {
			continue
		}
		oldest, since = conn, idle
	}
	if oldest != nil {
		delete(c.open, oldest)
		_ = oldest.Close()
	}
}
