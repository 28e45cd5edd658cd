package restclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restapi"
)

// Get implements storage.Table.
func (c *Client) Get(ctx context.Context, key string) (storage.Row, error) {
	call := call{
		method: http.MethodGet,
		path:   restapi.RowPath,
		query:  url.Values{restapi.KeyParam: {key}},
	}
	var row storage.Row
	err := c.read(ctx, call, &row)
	return row, err
}

// Scan implements storage.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	call := call{
		method: http.MethodGet,
		path:   restapi.RowsPath,
		query: url.Values{
			restapi.PrefixParam: {prefix},
			restapi.AfterParam:  {after},
			restapi.LimitParam:  {strconv.Itoa(limit)},
		},
	}
	var rows restapi.Rows
	err := c.read(ctx, call, &rows)
	return rows.Rows, err
}

// Commit implements storage.Table.
func (c *Client) Commit(ctx context.Context, t storage.Transaction) (uint64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, storage.Error.Wrap(err)
	}
	call := call{method: http.MethodPost, path: restapi.TransactionsPath, body: body, write: true}
	reply, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch reply.status {
	case http.StatusOK:
		return call.committed(reply.body)
	case http.StatusConflict:
		return 0, call.conflict(reply.body)
	default:
		return 0, call.unexpected(reply.status)
	}
}

// committed reads the confirmation. One that can't be read still says that the
// transaction may have been applied.
func (c call) committed(body []byte) (uint64, error) {
	var committed restapi.CommitResult
	if err := json.Unmarshal(body, &committed); err != nil {
		return 0, wrap(storage.ErrUnknownOutcome, err)
	}
	return committed.Revision, nil
}

func (c call) conflict(body []byte) error {
	var rows restapi.Rows
	if err := json.Unmarshal(body, &rows); err != nil {
		return wrap(storage.ErrUnknownOutcome, err)
	}
	return &storage.ConflictError{Rows: rows.Rows}
}

// read makes a call that changes nothing and decodes its reply into result.
func (c *Client) read(ctx context.Context, call call, result any) error {
	reply, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if reply.status == http.StatusNotFound {
		return storage.ErrNotFound
	}
	if reply.status != http.StatusOK {
		return call.unexpected(reply.status)
	}
	if err := json.Unmarshal(reply.body, result); err != nil {
		return wrap(storage.ErrUnavailable, err)
	}
	return nil
}
