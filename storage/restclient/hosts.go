package restclient

import (
	"context"
	"net/http"

	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// Hosts implements storage.HostList.
func (c *Client) Hosts(ctx context.Context) ([]storage.HostEntry, error) {
	var hosts restapi.Hosts
	err := c.doRead(ctx, call{method: http.MethodGet, path: restapi.HostsPath}, &hosts)
	return hosts.Hosts, err
}
