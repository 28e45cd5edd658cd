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

// Client calls the platform's services. It is safe for concurrent use. It is
// the table and the host list itself; Objects gives the object store, whose
// methods have the same names as the table's.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client. It does not connect.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		baseURL: strings.TrimRight(o.BaseURL, "/"),
		timeout: o.Timeout,
		http:    o.Client,
	}
}

// CloseIdleConnections closes the connections that no call uses.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}
