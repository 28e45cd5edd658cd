package restclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cornelyard/cornelyard/storage"
)

// maxReplyBytes bounds a reply of the platform.
const maxReplyBytes = 64 << 20

// call is one exchange with the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write says that the call changes something.
	write bool
}

// reply is what came back whole.
type reply struct {
	status int
	body   []byte
}

// do sends the call once and reads the whole reply.
func (c *Client) do(ctx context.Context, call call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return reply{}, storage.Error.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, call.failure(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body)
	if err != nil {
		return reply{}, call.failure(err, true)
	}
	return reply{status: response.StatusCode, body: body}, nil
}

// newRequest builds the request of a call. A body cannot be rewound, so that
// net/http cannot send it a second time over another connection.
func (c *Client) newRequest(ctx context.Context, call call) (*http.Request, error) {
	target := c.baseURL + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, nil)
	if err != nil {
		return nil, err
	}
	if len(call.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.body))
		request.ContentLength = int64(len(call.body))
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// failure maps a broken exchange. A write that had a connection may have taken
// effect.
func (c call) failure(cause error, connected bool) error {
	kind := storage.ErrUnavailable
	if c.write && connected {
		kind = storage.ErrUnknownOutcome
	}
	return wrap(kind, cause)
}

// unexpected maps a status that the call has no meaning for. The statuses that
// restapi names promise that nothing was changed; no other does.
func (c call) unexpected(status int) error {
	cause := fmt.Errorf("%s %s: status %d", c.method, c.path, status)
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return wrap(storage.ErrUnavailable, cause)
	case status >= http.StatusInternalServerError && c.write:
		return wrap(storage.ErrUnknownOutcome, cause)
	case status >= http.StatusInternalServerError:
		return wrap(storage.ErrUnavailable, cause)
	default:
		return storage.Error.Wrap(cause)
	}
}

func wrap(kind, cause error) error {
	return storage.Error.Wrap(fmt.Errorf("%w: %w", kind, cause))
}

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	return body, nil
}
