package chatclient

import (
	"context"
	"io"
	"net/http"
	"time"
)

// CallService sends the call and reads the response. It returns an error if there was
// no response or it was truncated.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	request, err := c.newServiceRequest(ctx, call)
	if err != nil {
		return ServiceResponse{}, err
	}
	start := time.Now()
	httpResponse, err := c.http().Do(request)
	if err != nil {
		return ServiceResponse{Total: time.Since(start)}, Error.Wrap(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := ServiceResponse{ResponseMetadata: newResponseMetadata(httpResponse)}
	body, err := io.ReadAll(httpResponse.Body)
	response.Body = string(body)
	response.Total = time.Since(start)
	response.decodeBody()
	return response, Error.Wrap(err)
}

func (c *Client) newServiceRequest(ctx context.Context, call ServiceCall) (*http.Request, error) {
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	path := "/services/" + string(call.Pool) + call.Path
	return c.newRequest(ctx, call.Method, path, []byte(call.Body), requestOptions{
		tier: call.Tier, deadline: call.Deadline, key: call.Key, nonIdempotent: call.NonIdempotent,
	})
}
