package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
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
		// wantFailure is empty if the complete stream must be delivered.
		wantFailure  FailureKind
		wantResumes  int
		wantRejected int
	}{
		{name: "complete", scripts: []string{complete}},
		{name: "interrupted and resumed", scripts: []string{roleEvent() + tokenEvents(1, 2), tokenEvents(3, 4) + endOfStream(4)}, wantResumes: 1},
		{name: "interrupted inside an event", scripts: []string{roleEvent() + tokenEvents(1, 2) + tokenEvent(3)[:20], tokenEvents(3, 4) + endOfStream(4)}, wantResumes: 1},
		{name: "interrupted before the first token", scripts: []string{roleEvent(), complete}, wantResumes: 1},
		{name: "interrupted between the events after the last token", scripts: []string{roleEvent() + tokenEvents(1, 4) + finishEvent(4), endOfStream(4)}, wantResumes: 1},
		{name: "interrupted three times", scripts: []string{roleEvent() + tokenEvent(1), tokenEvent(2), tokenEvents(3, 4), endOfStream(4)}, wantResumes: 3},
		{name: "resumed with overlap", scripts: []string{roleEvent() + tokenEvents(1, 3), complete}, wantResumes: 1},
		{name: "duplicate events", scripts: []string{roleEvent() + tokenEvents(1, 3) + tokenEvent(3) + tokenEvent(2) + tokenEvent(4) + endOfStream(4)}},
		{name: "missing event", scripts: []string{roleEvent() + tokenEvent(1) + tokenEvent(3) + endOfStream(3)}, wantFailure: FailedProtocol},
		{name: "last token missing", scripts: []string{roleEvent() + tokenEvents(1, 3) + endOfStream(4)}, wantFailure: FailedProtocol},
		{name: "gap after a resume", scripts: []string{roleEvent() + tokenEvent(1), tokenEvent(3) + endOfStream(3)}, wantFailure: FailedProtocol, wantResumes: 1},
		{name: "dispatch unknown to the target on resume", scripts: []string{roleEvent() + tokenEvent(1)}, wantFailure: FailedConnection},
		{
			name:        "interrupted, target does not support resuming",
			scripts:     []string{roleEvent() + tokenEvent(1), tokenEvents(2, 4) + endOfStream(4)},
			change:      func(c *Call) { c.Target.Resumes = false },
			wantFailure: FailedConnection,
		},
		{
			name:         "event of another dispatch",
			scripts:      []string{roleEvent() + strings.ReplaceAll(tokenEvent(1), "ID", "d-2") + endOfStream(1)},
			wantFailure:  FailedIDMismatch,
			wantRejected: 1,
		},
		{
			name:         "event without a dispatch ID",
			scripts:      []string{roleEvent() + "id: 1\ndata: {\"choices\":[]}\n\n" + endOfStream(1)},
			wantFailure:  FailedIDMismatch,
			wantRejected: 1,
		},
		{name: "event that is not JSON", scripts: []string{"data: hello\n\ndata: [DONE]\n\n"}, wantFailure: FailedProtocol},
		{name: "event exceeding the size limit", scripts: []string{"data: " + strings.Repeat("x", 1<<16) + "\n\ndata: [DONE]\n\n"}, wantFailure: FailedProtocol},
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
			checkStream(t, string(body), err, c.wantFailure, strings.ReplaceAll(complete, "ID", "d-1"))
			if n := recorder[timeline.Resumed]; n != c.wantResumes {
				t.Errorf("stream resumed %d times, want another number; requests: %v", n, engine.requestLines())
			}
			if n := recorder[timeline.AnswerRejected]; n != c.wantRejected {
				t.Errorf("%d events rejected, want another number", n)
			}
		})
	}
}

func checkStream(t *testing.T, body string, err error, wantFailure FailureKind, complete string) {
	t.Helper()
	if wantFailure == "" {
		if err != nil || body != complete {
			t.Errorf("stream not delivered completely: error %v, body %q", err, body)
		}
		return
	}
	var failure *Failure
	if !errors.As(err, &failure) || failure.Kind != wantFailure {
		t.Errorf("unexpected result: error %v", err)
	}
	if strings.Contains(body, doneData) {
		t.Errorf("a failed stream contains the end-of-stream marker: %q", body)
	}
	if strings.Contains(body, "d-2") {
		t.Errorf("an event of another dispatch was delivered: %q", body)
	}
}

func TestResumeRequestsRemainderOfSameStream(t *testing.T) {
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
	requestLines := engine.requestLines()
	if len(requestLines) != 2 || requestLines[1] != "GET /v1/streams/d-1?after=2" {
		t.Errorf("requests at the engine: %v, want the original and one resume after event 2", requestLines)
	}
}

func TestStreamThatEndsBeforeItsLastEventIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderDispatch + ": d-1\r\nContent-Type: text/event-stream\r\n"
	event := strings.ReplaceAll(tokenEvent(1), "ID", "d-1")
	for name, test := range map[string]struct {
		response string
		resumes  bool
	}{
		"chunks":                 {head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event), false},
		"length":                 {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event), event), false},
		"neither":                {head + "\r\n" + event, false},
		"no event":               {head + "Content-Length: 0\r\n\r\n", false},
		"resumption is cut":      {head + "\r\n" + event, true},
		"resumption has no data": {head + "\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			address := connServer(t, func(conn *net.TCPConn, request *http.Request) {
				if request.Method == http.MethodPost {
					_, _ = io.WriteString(conn, test.response)
				}
			})
			client := NewClient(Options{MaxResumeAttempts: 1})
			defer client.Close()
			response, err := client.Do(context.Background(), Call{
				Target: settings.Target{Address: address, EchoesID: true, Resumes: test.resumes}, Kind: settings.EnginePool,
				Dispatch: "d-1", Method: http.MethodPost, Path: "/x", Stream: true, Latch: new(SendLatch),
			})
			if err != nil {
				t.Fatal(err)
			}
			_, err = readAll(response)
			checkKind(t, err, FailedConnection)
		})
	}
}
