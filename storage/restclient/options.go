package restclient

import (
	"net"
	"net/http"
	"time"
)

const (
	defaultTimeout        = 3 * time.Second
	defaultMaxConnections = 32
	idleTimeout           = 30 * time.Second
)

// Options configures a Client.
type Options struct {
	// BaseURL is the address of the services, such as http://127.0.0.1:8700.
	BaseURL string
	// Timeout bounds each call, the wait for a connection included. Zero means
	// 3 s.
	Timeout time.Duration
	// Client sends the calls. Nil means a client of its own with a bounded
	// number of connections.
	Client *http.Client
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Client == nil {
		o.Client = newHTTPClient(o.Timeout)
	}
	return o
}

func newHTTPClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     defaultMaxConnections,
			MaxIdleConnsPerHost: defaultMaxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: doNotFollowRedirects,
	}
}

func doNotFollowRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
