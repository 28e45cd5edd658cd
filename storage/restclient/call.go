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
const maxResponseBytes = 64 << 20

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
type httpResponse struct {
	status int
	body   []byte
}

// do sends the call once and reads the whole reply.
func (c *Client) do(ctx context.Context, call call) (httpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return httpResponse{}, storage.Error.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return httpResponse{}, call.transportError(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response.Body)
	if err != nil {
		return httpResponse{}, call.transportError(err, true)
	}
	return httpResponse{status: response.StatusCode, body: body}, nil
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
func (c call) transportError(cause error, connected bool) error {
	kind := storage.ErrUnavailable
	if c.write && connected {
		kind = storage.ErrUnknownOutcome
	}
	return wrapKind(kind, cause)
}

// unexpected maps a status that the call has no meaning for. The statuses that
// restapi names promise that nothing was changed; no other does.
func (c call) statusError(status int) error {
	cause := fmt.Errorf("%s %s: status %d", c.method, c.path, status)
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return wrapKind(storage.ErrUnavailable, cause)
	case status >= http.StatusInternalServerError && c.write:
		return wrapKind(storage.ErrUnknownOutcome, cause)
	case status >= http.StatusInternalServerError:
		return wrapKind(storage.ErrUnavailable, cause)
	default:
		return storage.Error.Wrap(cause)
	}
}

func wrapKind(kind, cause error) error {
	return storage.Error.Wrap(fmt.Errorf("%w: %w", kind, cause))
}

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("reply exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}
