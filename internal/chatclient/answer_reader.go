package chatclient

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// answerReader reads the body of an answer.
type answerReader struct {
	answer  *Response
	begin   time.Time
	onToken func(int)
}

func (r *answerReader) readWhole(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var parsed answerBody
	if err := json.Unmarshal(data, &parsed); err != nil {
		return err
	}
	if parsed.Error != nil {
		r.answer.Err = parsed.Error
		return nil
	}
	for _, choice := range parsed.Choices {
		r.answer.Content += choice.Message.Content
	}
	if parsed.Usage != nil {
		r.answer.Tokens = parsed.Usage.CompletionTokens
	}
	r.answer.Whole = true
	return nil
}

func (r *answerReader) readStream(body io.Reader) error {
	var content strings.Builder
	defer func() { r.answer.Content = content.String() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.answer.Whole = r.answer.Err == nil
			continue
		}
		if err := r.readFrame(data, &content); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (r *answerReader) readFrame(data string, content *strings.Builder) error {
	var frame answerBody
	if err := json.Unmarshal([]byte(data), &frame); err != nil {
		return err
	}
	if frame.Error != nil {
		r.answer.Err = frame.Error
	}
	for _, choice := range frame.Choices {
		if choice.Delta.Content != "" {
			content.WriteString(choice.Delta.Content)
			r.countToken()
		}
	}
	return nil
}

func (r *answerReader) countToken() {
	r.answer.Tokens++
	if r.answer.Tokens == 1 {
		r.answer.FirstToken = time.Since(r.begin)
	}
	if r.onToken != nil {
		r.onToken(r.answer.Tokens)
	}
}
