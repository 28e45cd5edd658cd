package restclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cornelyard/cornelyard/internal/httpcheck"
	"github.com/cornelyard/cornelyard/storage"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 64 << 20

// maxResponseHeaderBytes limits the size of the head of a response.
const maxResponseHeaderBytes = 64 << 10

// errUnframed means that a response has neither a length nor chunks, so that its end can't be verified.
var errUnframed = errors.New("response has neither Content-Length nor chunked encoding")

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write is set if the call changes stored data.
	write bool
}

// httpResponse is a response whose body was read completely.
type httpResponse struct {
	status int
	body   []byte
}

// do sends the call once and reads the complete response.
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
		c.dropSilentConnections()
		return httpResponse{}, call.transportError(err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if httpcheck.IsUnframed(response) {
		return httpResponse{}, call.transportError(errUnframed, true)
	}
	body, err := readBody(response.Body)
	if err != nil {
		c.dropSilentConnections()
		return httpResponse{}, call.transportError(err, true)
	}
	return httpResponse{status: response.StatusCode, body: body}, nil
}

// dropSilentConnections closes the kept connections after a call without a response: all of them may have
// gone silent, and each would cost another call its whole time.
func (c *Client) dropSilentConnections() { c.http.CloseIdleConnections() }

// newRequest builds the HTTP request of a call. The body has no GetBody function,
// which prevents net/http from sending it again over another connection.
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

// transportError maps a failed exchange to an error. A write may have taken effect if
// a connection was obtained.
func (c call) transportError(cause error, connected bool) error {
	kind := storage.ErrUnavailable
	if c.write && connected {
		kind = storage.ErrUnknownOutcome
	}
	return wrapKind(kind, cause)
}

// statusError maps an unexpected status to an error. Statuses 429 and 503 guarantee
// that nothing was changed (see package restapi); other 5xx statuses do not.
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
		return nil, fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
	}
	return body, nil
}
