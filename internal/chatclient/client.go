package chatclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/outcome"
)

// Client calls one host, or an engine directly.
type Client struct {
	BaseURL string
	Token   string
	// HTTP sends the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Expected returns the whole answer of n tokens that an engine gives to a call
// with the prompt.
func Expected(prompt string, n int) string {
	return engine.Answer(engine.ChatPrompt(userMessage(prompt)), n)
}

func userMessage(prompt string) []engine.Message {
	return []engine.Message{{Role: "user", Content: engine.Content(prompt)}}
}

// Complete makes the call and reads the answer. The error tells that no answer
// came or that the connection broke; what came before is returned with it.
func (c *Client) Complete(ctx context.Context, call Call) (Answer, error) {
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	begin := time.Now()
	response, err := c.http().Do(request)
	if err != nil {
		return Answer{Total: time.Since(begin)}, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{
		Status:     response.StatusCode,
		Outcome:    outcome.Outcome(response.Header.Get("X-Cornelyard-Outcome")),
		Reason:     outcome.Reason(response.Header.Get("X-Cornelyard-Reason")),
		RequestID:  ident.Request(response.Header.Get("X-Cornelyard-Request-Id")),
		RetryAfter: retryAfter(response.Header),
	}
	reader := answerReader{answer: &answer, begin: begin, onToken: call.OnToken}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = reader.readStream(response.Body)
	} else {
		err = reader.readWhole(response.Body)
	}
	answer.Total = time.Since(begin)
	return answer, Error.Wrap(err)
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(engine.Request{
		Model: call.Model, Messages: userMessage(call.Prompt), MaxTokens: call.MaxTokens, Stream: call.Stream,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/v1/chat/completions", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+c.Token)
	if call.Tier != "" {
		header.Set("X-Cornelyard-Tier", string(call.Tier))
	}
	if call.Deadline > 0 {
		header.Set("X-Cornelyard-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	if call.NonIdempotent {
		header.Set("X-Cornelyard-Non-Idempotent", "true")
	}
	return request, nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
