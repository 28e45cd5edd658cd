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
	err := c.doRead(ctx, call, &row)
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
	err := c.doRead(ctx, call, &rows)
	return rows.Rows, err
}

// Commit implements storage.Table.
func (c *Client) Commit(ctx context.Context, t storage.Transaction) (uint64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, storage.Error.Wrap(err)
	}
	call := call{method: http.MethodPost, path: restapi.TransactionsPath, body: body, write: true}
	response, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch response.status {
	case http.StatusOK:
		return call.decodeCommit(response.body)
	case http.StatusConflict:
		return 0, call.decodeConflict(response.body)
	default:
		return 0, call.statusError(response.status)
	}
}

// decodeCommit decodes the response to a committed transaction. If it cannot be
// decoded, the transaction may still have been applied.
func (c call) decodeCommit(body []byte) (uint64, error) {
	var committed restapi.CommitResult
	if err := json.Unmarshal(body, &committed); err != nil {
		return 0, wrapKind(storage.ErrUnknownOutcome, err)
	}
	return committed.Revision, nil
}

func (c call) decodeConflict(body []byte) error {
	var rows restapi.Rows
	if err := json.Unmarshal(body, &rows); err != nil {
		return wrapKind(storage.ErrUnknownOutcome, err)
	}
	return &storage.ConflictError{Rows: rows.Rows}
}

// doRead sends a read-only call and decodes the response into result.
func (c *Client) doRead(ctx context.Context, call call, result any) error {
	response, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if response.status == http.StatusNotFound {
		return storage.ErrNotFound
	}
	if response.status != http.StatusOK {
		return call.statusError(response.status)
	}
	if err := json.Unmarshal(response.body, result); err != nil {
		return wrapKind(storage.ErrUnavailable, err)
	}
	return nil
}
