package chatclient

import (
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	firstEvent = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	nextEvent  = "id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
	errorEvent = "data: {\"error\":{\"message\":\"m\",\"code\":\"target-failed\",\"outcome\":\"interrupted\"}}\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

func TestReadStream(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		whole  bool
		tokens int
		failed bool
		broken bool
	}{
		{"complete", firstEvent + nextEvent + doneEvent, true, 2, false, false},
		{"without the final event", firstEvent + nextEvent, false, 2, false, false},
		{"ended by error", firstEvent + errorEvent, false, 1, true, false},
		{"error before the final event", firstEvent + errorEvent + doneEvent, false, 1, true, false},
		{"truncated event", firstEvent + "data: {\"cho", false, 1, false, true},
		{"empty", "", false, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var response Response
			reader := responseReader{response: &response}
			err := reader.readStream(strings.NewReader(c.body))
			if response.Whole != c.whole || response.Tokens != c.tokens || (response.Err != nil) != c.failed || (err != nil) != c.broken {
				t.Fatalf("got %+v, %v", response, err)
			}
			if len(response.Content) != c.tokens {
				t.Fatalf("content is %q, want one byte per token", response.Content)
			}
			if c.failed && response.Err.Outcome != outcome.Interrupted {
				t.Fatalf("error is %+v, want outcome interrupted", response.Err)
			}
		})
	}
}

func TestReadJSON(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		whole  bool
		failed bool
		broken bool
	}{
		{"complete", `{"choices":[{"message":{"content":"ab"}}],"usage":{"completion_tokens":2}}`, true, false, false},
		{"error", `{"error":{"code":"shed"}}`, false, true, false},
		{"truncated", `{"choices":[{"message":{"con`, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var response Response
			reader := responseReader{response: &response}
			err := reader.readJSON(strings.NewReader(c.body))
			if response.Whole != c.whole || (response.Err != nil) != c.failed || (err != nil) != c.broken {
				t.Fatalf("got %+v, %v", response, err)
			}
			if c.whole && (response.Content != "ab" || response.Tokens != 2) {
				t.Fatalf("got %+v", response)
			}
		})
	}
}
