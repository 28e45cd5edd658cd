package restclient

import (
	"net"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/internal/httpcheck"
)

const (
	defaultTimeout        = 3 * time.Second
	defaultMaxConnections = 32
	idleTimeout           = 30 * time.Second
)

// Options configures a Client.
type Options struct {
	// BaseURL is the URL of the platform's services, such as http://127.0.0.1:8700.
	BaseURL string
	// Timeout limits each call, including the time to obtain a connection. Zero means
	// 3 s.
	Timeout time.Duration
	// Client sends the requests. Nil means a new client with a limited number of
	// connections.
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
		Transport: httpcheck.Transport{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     defaultMaxConnections,
			MaxIdleConnsPerHost: defaultMaxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		CheckRedirect: doNotFollowRedirects,
	}
}

func doNotFollowRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
