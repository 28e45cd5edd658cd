package chatclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/service"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Pool ident.Pool
	// Method defaults to POST. Path begins with a slash.
	Method string
	Path   string
	Body   string
	// Tier, Deadline, Key and NonIdempotent are as for Call.
	Tier          ident.Tier
	Deadline      time.Duration
	Key           string
	NonIdempotent bool
}

// ServiceAnswer is what a caller of a plain service got.
type ServiceAnswer struct {
	Head
	Body string
	// Echo is what a stand-in says that it received.
	Echo service.Echo
	// Err is the error that the answer holds.
	Err   *APIError
	Total time.Duration
}

// CallService makes the call and reads the answer. The error tells that no
// answer came or that it was cut.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	request, err := c.newServiceRequest(ctx, call)
	if err != nil {
		return ServiceAnswer{}, err
	}
	begin := time.Now()
	response, err := c.http().Do(request)
	if err != nil {
		return ServiceAnswer{Total: time.Since(begin)}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := ServiceAnswer{Head: newHead(response)}
	body, err := io.ReadAll(response.Body)
	answer.Body = string(body)
	answer.Total = time.Since(begin)
	answer.parse()
	return answer, Error.Wrap(err)
}

func (c *Client) newServiceRequest(ctx context.Context, call ServiceCall) (*http.Request, error) {
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	path := "/services/" + string(call.Pool) + call.Path
	return c.newRequest(ctx, call.Method, path, []byte(call.Body), terms{
		tier: call.Tier, deadline: call.Deadline, key: call.Key, nonIdempotent: call.NonIdempotent,
	})
}

// parse reads the body as an error of a host or as an echo of a stand-in, as
// far as it is one.
func (a *ServiceAnswer) parse() {
	var failed struct{ Error *APIError }
	if a.Status >= http.StatusBadRequest && json.Unmarshal([]byte(a.Body), &failed) == nil {
		a.Err = failed.Error
		return
	}
	_ = json.Unmarshal([]byte(a.Body), &a.Echo)
}
