package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

type connectionKey struct{}

// connectionCounter counts the requests on one TCP connection.
type connectionCounter struct {
	requests atomic.Int64
}

func withConnectionCounter(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(connectionCounter))
}

// CountRequest counts r on its connection and reports whether the connection carried
// an earlier request.
func CountRequest(r *http.Request) (reused bool) {
	c, ok := r.Context().Value(connectionKey{}).(*connectionCounter)
	return ok && c.requests.Add(1) > 1
}

// AbortConnection aborts the handler and closes its connection without completing the
// response. It does not return.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
