package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// countingConn counts the calls of Write.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against a head that is written before its body: each write is a system call and a packet,
// and the target has to read twice.
func TestHeadAndShortBodyAreWrittenTogether(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, err := io.ReadAll(r.Body)
		if err == nil {
			_, err = w.Write(received)
		}
		if err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	var writes atomic.Int64
	transport := NewTransport(TransportOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countingConn{conn, &writes}, err
	}})
	defer transport.Close()
	body := strings.Repeat("b", 2000)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.Send(request, []byte(body), SendOptions{Latch: new(SendLatch)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if received, err := io.ReadAll(response.Body); err != nil || string(received) != body {
		t.Errorf("got %d bytes and %v, want the body of %d", len(received), err, len(body))
	}
	if n := writes.Load(); n != 1 {
		t.Errorf("%d writes, want 1", n)
	}
}
