package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cornelyard/cornelyard/internal/httpcheck"
	"github.com/cornelyard/cornelyard/internal/tcpend"
	"github.com/cornelyard/cornelyard/internal/tcpsilence"
)

const (
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 64
	maxHeaderBytes      = 64 << 10
)

// DialFunc connects to an address, IP:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TransportOptions configures a Transport. Zero values select the defaults.
type TransportOptions struct {
	// Dial replaces the connections over TCP; DialTimeout bounds it too.
	Dial DialFunc
	// DialTimeout is the limit for establishing a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// UnresponsiveTimeout is how long sent bytes may stay unacknowledged before the
	// connection is considered broken; zero selects the operating system's default.
	UnresponsiveTimeout time.Duration
}

// Transport sends each request at most once. It is safe for concurrent use.
type Transport struct {
	// pooled reuses connections; unpooled opens a new connection for each request.
	pooled   *http.Transport
	unpooled *http.Transport
}

// SendOptions controls how one request is sent.
type SendOptions struct {
	// Latch is set immediately before the first byte is written.
	Latch *SendLatch
	// NotAfter is the time by which sending must have started; zero means no limit.
	NotAfter time.Time
	// OnSend, if not nil, is called once, right after the latch is set.
	OnSend func()
	// NewConnection sends the request on a new connection.
	NewConnection bool
}

// NewTransport returns a Transport.
func NewTransport(o TransportOptions) *Transport {
	unpooled := newHTTPTransport(o)
	unpooled.DisableKeepAlives = true
	return &Transport{pooled: newHTTPTransport(o), unpooled: unpooled}
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// Send sends the request with the body and returns when the header of the response
// has arrived and is valid. If the latch can still be cancelled after an error, no byte was
// sent.
func (t *Transport) Send(request *http.Request, body []byte, o SendOptions) (*HTTPResponse, error) {
	setBody(request, body)
	g := &sendGate{latch: o.Latch, notAfter: o.NotAfter, onSend: o.OnSend}
	response, err := t.send(request, g, o.NewConnection)
	if err != nil {
		return nil, err
	}
	return &HTTPResponse{Response: response, gate: g}, nil
}

func (t *Transport) send(request *http.Request, g *sendGate, newConnection bool) (*http.Response, error) {
	transport := t.pooled
	if newConnection {
		transport = t.unpooled
	}
	ctx := httptrace.WithClientTrace(request.Context(), assignTrace(g))
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := g.checkHead(response); err != nil {
		g.retire()
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = httpcheck.Body(response)
	return response, nil
}

// assignTrace returns a trace that assigns each connection that net/http selects to
// the dispatch.
func assignTrace(g *sendGate) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.assign(g)
		}
	}}
}

func newHTTPTransport(o TransportOptions) *http.Transport {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleConnTimeout
	}
	dial := o.dialFunc()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: tcpend.NewConn(conn)}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        o.IdleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (o *TransportOptions) dialFunc() DialFunc {
	switch {
	case o.Dial != nil:
		return o.Dial
	case o.UnresponsiveTimeout > 0:
		return tcpsilence.Dialer(o.DialTimeout, o.UnresponsiveTimeout).DialContext
	default:
		return (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
}
