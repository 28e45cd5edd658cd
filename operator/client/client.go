package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

// Client calls the operator interface of a system's hosts. Its errors are
// *api.Error, with the code api.Unavailable or api.OutcomeUnknown if no host
// could serve the request.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a Client. It connects on the first call.
func New(o Options) *Client {
	return &Client{options: o, http: o.newHTTPClient()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply sends a change. If a host does not respond, the change is retried on the
// next host with the same ID.
func (c *Client) Apply(ctx context.Context, request api.ApplyRequest) (settings.Result, error) {
	return callHosts[settings.Result](ctx, c, http.MethodPost, api.PathApply, nil, request)
}

// Documents returns a version of the declarations; zero means the newest.
func (c *Client) Documents(ctx context.Context, version uint64, prefix string) (api.Documents, error) {
	query := url.Values{}
	query.Set(api.ParamVersion, strconv.FormatUint(version, 10))
	query.Set(api.ParamPrefix, prefix)
	return callHosts[api.Documents](ctx, c, http.MethodGet, api.PathDocuments, query, nil)
}

// RecentHistory returns the newest changes, oldest first.
func (c *Client) RecentHistory(ctx context.Context, limit int) (api.History, error) {
	query := url.Values{}
	query.Set(api.ParamLimit, strconv.Itoa(limit))
	return callHosts[api.History](ctx, c, http.MethodGet, api.PathHistory, query, nil)
}

// History returns the changes after a version, oldest first.
func (c *Client) History(ctx context.Context, after uint64, limit int) (api.History, error) {
	query := url.Values{}
	query.Set(api.ParamAfter, strconv.FormatUint(after, 10))
	query.Set(api.ParamLimit, strconv.Itoa(limit))
	return callHosts[api.History](ctx, c, http.MethodGet, api.PathHistory, query, nil)
}

// Status returns the status of all hosts.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	return callHosts[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil, nil)
}

// Timeline returns one page of the events of all hosts.
func (c *Client) Timeline(ctx context.Context, query api.TimelineQuery) (api.Timeline, error) {
	return callHosts[api.Timeline](ctx, c, http.MethodPost, api.PathTimeline, nil, query)
}

// Usage returns the usage by team.
func (c *Client) Usage(ctx context.Context) (api.Usage, error) {
	return callHosts[api.Usage](ctx, c, http.MethodGet, api.PathUsage, nil, nil)
}

// callHosts tries the hosts in turn until one serves the request or refuses it
// with a final error.
func callHosts[Reply any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (reply Reply, err error) {
	var failures failureList
	for _, address := range c.options.Addresses {
		target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
		data, err := c.roundTrip(ctx, method, target.String(), body)
		if err == nil {
			return reply, Error.Wrap(json.Unmarshal(data, &reply))
		}
		if isFinal(err) {
			return reply, err
		}
		failures = append(failures, err)
	}
	return reply, failures.combined()
}

// isFinal reports whether every other host would return the same error.
func isFinal(err error) bool {
	var refusal *api.Error
	return errors.As(err, &refusal) && refusal.Code != api.Unavailable && refusal.Code != api.OutcomeUnknown
}

func (c *Client) roundTrip(ctx context.Context, method, target string, body any) ([]byte, error) {
	request, err := c.newRequest(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response, data)
	}
	return data, nil
}

func (c *Client) newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, content)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	return request, nil
}

// refusalError decodes the response to a refused request.
func refusalError(response *http.Response, data []byte) error {
	var reply api.ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == nil {
		return Error.New("%s answered with status %d and no reason", response.Request.URL.Host, response.StatusCode)
	}
	return reply.Error
}
