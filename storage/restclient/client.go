package restclient

import (
	"net/http"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

var (
	_ storage.Table    = (*Client)(nil)
	_ storage.HostList = (*Client)(nil)
)

// Client calls the platform's services. It implements the table and the host list and
// is safe for concurrent use. Objects returns the object store separately, because its
// methods have the same names as the table's.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client. It opens no connection.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		baseURL: strings.TrimRight(o.BaseURL, "/"),
		timeout: o.Timeout,
		http:    o.Client,
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}
