package target

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/timeline"
)

// countingRecorder counts events by kind.
type countingRecorder map[timeline.Kind]int

func (c countingRecorder) Record(e timeline.Event) { c[e.Kind]++ }

func TestStream(t *testing.T) {
	complete := roleEvent() + tokenEvents(1, 4) + endOfStream(4)
	cases := []struct {
		name    string
		scripts []string
		change  func(*Call)
		// fails is empty if the stream is passed on whole.
		fails    FailureKind
		resumes  int
		rejected int
	}{
		{name: "whole", scripts: []string{complete}},
		{name: "cut and resumed", scripts: []string{roleEvent() + tokenEvents(1, 2), tokenEvents(3, 4) + endOfStream(4)}, resumes: 1},
		{name: "cut in the middle of a frame", scripts: []string{roleEvent() + tokenEvents(1, 2) + tokenEvent(3)[:20], tokenEvents(3, 4) + endOfStream(4)}, resumes: 1},
		{name: "cut before the first token", scripts: []string{roleEvent(), complete}, resumes: 1},
		{name: "cut between the trailers", scripts: []string{roleEvent() + tokenEvents(1, 4) + finishEvent(4), endOfStream(4)}, resumes: 1},
		{name: "cut three times", scripts: []string{roleEvent() + tokenEvent(1), tokenEvent(2), tokenEvents(3, 4), endOfStream(4)}, resumes: 3},
		{name: "resumed with overlap", scripts: []string{roleEvent() + tokenEvents(1, 3), complete}, resumes: 1},
		{name: "repeated frame", scripts: []string{roleEvent() + tokenEvents(1, 3) + tokenEvent(3) + tokenEvent(2) + tokenEvent(4) + endOfStream(4)}},
		{name: "skipped frame", scripts: []string{roleEvent() + tokenEvent(1) + tokenEvent(3) + endOfStream(3)}, fails: FailedProtocol},
		{name: "last token skipped", scripts: []string{roleEvent() + tokenEvents(1, 3) + endOfStream(4)}, fails: FailedProtocol},
		{name: "resumed too late", scripts: []string{roleEvent() + tokenEvent(1), tokenEvent(3) + endOfStream(3)}, fails: FailedProtocol, resumes: 1},
		{name: "run gone", scripts: []string{roleEvent() + tokenEvent(1)}, fails: FailedConnection},
		{
			name:    "cut, target can't resume",
			scripts: []string{roleEvent() + tokenEvent(1), tokenEvents(2, 4) + endOfStream(4)},
			change:  func(c *Call) { c.Target.Resumes = false },
			fails:   FailedConnection,
		},
		{
			name:     "frame of another dispatch",
			scripts:  []string{roleEvent() + strings.ReplaceAll(tokenEvent(1), "ID", "d-2") + endOfStream(1)},
			fails:    FailedIDMismatch,
			rejected: 1,
		},
		{
			name:     "frame without an id",
			scripts:  []string{roleEvent() + "id: 1\ndata: {\"choices\":[]}\n\n" + endOfStream(1)},
			fails:    FailedIDMismatch,
			rejected: 1,
		},
		{name: "frame that is not JSON", scripts: []string{"data: hello\n\ndata: [DONE]\n\n"}, fails: FailedProtocol},
		{name: "endless frame", scripts: []string{"data: " + strings.Repeat("x", 1<<16) + "\n\ndata: [DONE]\n\n"}, fails: FailedProtocol},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engine := newScriptedEngine(t, c.scripts...)
			recorder := make(countingRecorder)
			client := NewClient(Options{Recorder: recorder, MaxEventBytes: 1 << 15})
			defer client.Close()
			call := engine.call()
			if c.change != nil {
				c.change(&call)
			}
			response, err := client.Do(context.Background(), call)
			if err != nil {
				t.Fatal(err)
			}
			body, err := readAll(response)
			checkStream(t, string(body), err, c.fails, strings.ReplaceAll(complete, "ID", "d-1"))
			if n := recorder[timeline.Resumed]; n != c.resumes {
				t.Errorf("resumed %d times: %v", n, engine.seen())
			}
			if n := recorder[timeline.AnswerRejected]; n != c.rejected {
				t.Errorf("%d frames rejected", n)
			}
		})
	}
}

func checkStream(t *testing.T, body string, err error, fails FailureKind, complete string) {
	t.Helper()
	if fails == "" {
		if err != nil || body != complete {
			t.Errorf("error %v, body %q", err, body)
		}
		return
	}
	var failure *Failure
	if !errors.As(err, &failure) || failure.Kind != fails {
		t.Errorf("error is %v", err)
	}
	if strings.Contains(body, doneData) {
		t.Errorf("a stream that failed carries the terminal marker: %q", body)
	}
	if strings.Contains(body, "d-2") {
		t.Errorf("a frame of another dispatch was passed on: %q", body)
	}
}

func TestResumeAsksTheSameRun(t *testing.T) {
	engine := newScriptedEngine(t, roleEvent()+tokenEvents(1, 2), tokenEvents(3, 4)+endOfStream(4))
	client := NewClient(Options{})
	defer client.Close()
	response, err := client.Do(context.Background(), engine.call())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(response); err != nil {
		t.Fatal(err)
	}
	seen := engine.seen()
	if len(seen) != 2 || seen[1] != "GET /v1/streams/d-1?after=2" {
		t.Errorf("the engine saw %v", seen)
	}
}
