package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

type connectionKey struct{}

// connection counts the requests of one TCP connection.
type connectionCounter struct {
	requests atomic.Int64
}

func withConnectionCounter(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(connectionCounter))
}

// CountRequest counts r on its connection and reports whether the connection
// carried a request before.
func CountRequest(r *http.Request) (reused bool) {
	c, ok := r.Context().Value(connectionKey{}).(*connectionCounter)
	return ok && c.requests.Add(1) > 1
}

// AbortConnection ends the handler and closes its connection without an end of
// the answer. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
