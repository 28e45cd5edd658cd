package client

import (
	"net/http"
	"time"
)

// defaultTimeout bounds one request to one host.
const defaultTimeout = 30 * time.Second

// Options configures a Client.
type Options struct {
	// Addresses are operator addresses of hosts, as IP:port.
	Addresses []string
	// Token is the bearer token of an operator or a team.
	Token string
	// Timeout bounds one request to one host. It defaults to 30 seconds.
	Timeout time.Duration
}

func (o Options) newHTTPClient() *http.Client {
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{}}
}
