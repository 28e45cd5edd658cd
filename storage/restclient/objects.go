package restclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// Objects implements storage.Objects. It shares the connections of a Client.
type Objects struct {
	client *Client
}

var _ storage.Objects = (*Objects)(nil)

// Objects returns the object store.
func (c *Client) Objects() *Objects {
	return &Objects{client: c}
}

// Put implements storage.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	return o.client.doWrite(ctx, call{
		method: http.MethodPut,
		path:   restapi.ObjectPath,
		query:  url.Values{restapi.NameParam: {name}},
		body:   data,
		write:  true,
	})
}

// Delete implements storage.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.client.doWrite(ctx, call{
		method: http.MethodDelete,
		path:   restapi.ObjectPath,
		query:  url.Values{restapi.NameParam: {name}},
		write:  true,
	})
}

// Get implements storage.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	call := call{
		method: http.MethodGet,
		path:   restapi.ObjectPath,
		query:  url.Values{restapi.NameParam: {name}},
	}
	response, err := o.client.do(ctx, call)
	if err != nil {
		return nil, err
	}
	switch response.status {
	case http.StatusOK:
		return response.body, nil
	case http.StatusNotFound:
		return nil, storage.ErrNotFound
	default:
		return nil, call.statusError(response.status)
	}
}

func (c *Client) doWrite(ctx context.Context, call call) error {
	response, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if response.status != http.StatusNoContent {
		return call.statusError(response.status)
	}
	return nil
}
