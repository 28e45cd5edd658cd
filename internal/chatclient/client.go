package chatclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin/engine"
)

// Client calls a host, or an engine directly.
type Client struct {
	BaseURL string
	Token   string
	// HTTP sends the requests. Nil means http.DefaultClient.
	HTTP *http.Client
}

// ExpectedContent returns the complete response, n tokens long, that a stand-in engine
// generates for a call with the prompt.
func ExpectedContent(prompt string, n int) string {
	return engine.ResponseText(engine.ChatPrompt(userMessage(prompt)), n)
}

func userMessage(prompt string) []engine.Message {
	return []engine.Message{{Role: "user", Content: engine.Content(prompt)}}
}

// Complete sends the call and reads the response. It returns an error if there was no
// response or the connection failed, with the part of the response that was received.
func (c *Client) Complete(ctx context.Context, call Call) (Response, error) {
	request, err := c.newChatRequest(ctx, call)
	if err != nil {
		return Response{}, err
	}
	start := time.Now()
	httpResponse, err := c.http().Do(request)
	if err != nil {
		return Response{Total: time.Since(start)}, Error.Wrap(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{ResponseMetadata: newResponseMetadata(httpResponse)}
	reader := responseReader{response: &response, start: start, onToken: call.OnToken}
	if strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		err = reader.readStream(httpResponse.Body)
	} else {
		err = reader.readJSON(httpResponse.Body)
	}
	response.Total = time.Since(start)
	return response, Error.Wrap(err)
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) newChatRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(engine.Request{
		Model: call.Model, Messages: userMessage(call.Prompt), MaxTokens: call.MaxTokens, Stream: call.Stream,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return c.newRequest(ctx, http.MethodPost, "/v1/chat/completions", body, requestOptions{
		tier: call.Tier, deadline: call.Deadline, key: call.Key, nonIdempotent: call.NonIdempotent,
	})
}

// newRequest builds a request. Its body has no GetBody function, which prevents
// net/http from sending it twice.
func (c *Client) newRequest(ctx context.Context, method, path string, body []byte, o requestOptions) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	o.setHeaders(request.Header)
	return request, nil
}
