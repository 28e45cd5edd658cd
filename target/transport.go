package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cornelyard/cornelyard/internal/tcpsilence"
)

const (
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 64
	maxHeaderBytes      = 64 << 10
)

// TransportOptions configures a Transport. Zero values mean the defaults.
type TransportOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// UnresponsiveTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken; zero means the system's default.
	UnresponsiveTimeout time.Duration
}

// Transport sends each request at most once. It is safe for concurrent use.
type Transport struct {
	// shared reuses connections, fresh does not.
	pooled   *http.Transport
	unpooled *http.Transport
}

// SendOptions is the right to send one request.
type SendOptions struct {
	// Latch is set right before the first byte may leave.
	Latch *SendLatch
	// NotAfter is when the right ends; zero means never.
	NotAfter time.Time
	// OnSend, if not nil, is called once, when the latch is set.
	OnSend func()
	// NewConnection keeps the request off connections that were used before.
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

// Send sends the request with the body and returns when the head of the answer
// has arrived. If the permit's latch can still be barred after an error, no byte
// has left.
func (t *Transport) Send(request *http.Request, body []byte, p SendOptions) (*HTTPResponse, error) {
	setBody(request, body)
	g := &sendGate{latch: p.Latch, notAfter: p.NotAfter, onSend: p.OnSend}
	response, err := t.send(request, g, p.NewConnection)
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
	return transport.RoundTrip(request.WithContext(ctx))
}

// armingTrace hands each connection that net/http picks to the dispatch.
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
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	if o.UnresponsiveTimeout > 0 {
		dialer = tcpsilence.Dialer(o.DialTimeout, o.UnresponsiveTimeout)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        o.IdleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
