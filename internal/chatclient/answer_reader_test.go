package chatclient

import (
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	firstFrame = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	nextFrame  = "id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
	errorFrame = "data: {\"error\":{\"message\":\"m\",\"code\":\"target-failed\",\"outcome\":\"interrupted\"}}\n\n"
	doneFrame  = "data: [DONE]\n\n"
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
		{"whole", firstFrame + nextFrame + doneFrame, true, 2, false, false},
		{"without an end", firstFrame + nextFrame, false, 2, false, false},
		{"ended by an error", firstFrame + errorFrame, false, 1, true, false},
		{"an error before the end", firstFrame + errorFrame + doneFrame, false, 1, true, false},
		{"cut in a frame", firstFrame + "data: {\"cho", false, 1, false, true},
		{"empty", "", false, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var answer Response
			reader := answerReader{answer: &answer}
			err := reader.readStream(strings.NewReader(c.body))
			if answer.Whole != c.whole || answer.Tokens != c.tokens || (answer.Err != nil) != c.failed || (err != nil) != c.broken {
				t.Fatalf("got %+v, %v", answer, err)
			}
			if len(answer.Content) != c.tokens {
				t.Fatalf("the content is %q", answer.Content)
			}
			if c.failed && answer.Err.Outcome != outcome.Interrupted {
				t.Fatalf("the error is %+v", answer.Err)
			}
		})
	}
}

func TestReadWhole(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		whole  bool
		failed bool
		broken bool
	}{
		{"whole", `{"choices":[{"message":{"content":"ab"}}],"usage":{"completion_tokens":2}}`, true, false, false},
		{"an error", `{"error":{"code":"shed"}}`, false, true, false},
		{"cut", `{"choices":[{"message":{"con`, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var answer Response
			reader := answerReader{answer: &answer}
			err := reader.readWhole(strings.NewReader(c.body))
			if answer.Whole != c.whole || (answer.Err != nil) != c.failed || (err != nil) != c.broken {
				t.Fatalf("got %+v, %v", answer, err)
			}
			if c.whole && (answer.Content != "ab" || answer.Tokens != 2) {
				t.Fatalf("got %+v", answer)
			}
		})
	}
}
