package chatclient

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// responseReader reads the body of a chat completion.
type responseReader struct {
	response *Response
	start    time.Time
	onToken  func(int)
}

func (r *responseReader) readJSON(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var parsed responseBody
	if err := json.Unmarshal(data, &parsed); err != nil {
		return err
	}
	if parsed.Error != nil {
		r.response.Err = parsed.Error
		return nil
	}
	for _, choice := range parsed.Choices {
		r.response.Content += choice.Message.Content
	}
	if parsed.Usage != nil {
		r.response.Tokens = parsed.Usage.CompletionTokens
	}
	r.response.Whole = true
	return nil
}

func (r *responseReader) readStream(body io.Reader) error {
	var content strings.Builder
	defer func() { r.response.Content = content.String() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.response.Whole = r.response.Err == nil
			continue
		}
		if err := r.readEvent(data, &content); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (r *responseReader) readEvent(data string, content *strings.Builder) error {
	var event responseBody
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return err
	}
	if event.Error != nil {
		r.response.Err = event.Error
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			content.WriteString(choice.Delta.Content)
			r.countToken()
		}
	}
	return nil
}

func (r *responseReader) countToken() {
	r.response.Tokens++
	if r.response.Tokens == 1 {
		r.response.FirstToken = time.Since(r.start)
	}
	if r.onToken != nil {
		r.onToken(r.response.Tokens)
	}
}
