package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const controlTimeout = 10 * time.Second

// controlClient calls the control listener of a stand-in.
type controlClient struct {
	address string
}

func (c controlClient) get(path string, result any) error {
	return c.do(http.MethodGet, path, nil, result)
}

func (c controlClient) post(path string, body, result any) error {
	return c.do(http.MethodPost, path, body, result)
}

func (c controlClient) do(method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s %s%s: status %d: %s", method, c.address, path, response.StatusCode, responseBody)
	}
	if result == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(responseBody, result))
}
