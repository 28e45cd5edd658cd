package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	chatBody   = `{"model":"draft-1","messages":[{"role":"user","content":"hello"}]}`
	streamBody = `{"model":"draft-1","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

func engineTarget(server *httptest.Server) settings.Target {
	return settings.Target{Name: "engine-1", Address: server.Listener.Addr().String(), EchoesID: true, Resumes: true}
}

func tokenFrame(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", n, id, n)
}

func finishFrames(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\nid: %d\ndata: [DONE]\n\n", n, id, n)
}

// streamingEngine streams n tokens. If gate is not nil, the stream pauses after the
// first token until gate is closed.
func streamingEngine(t *testing.T, n int, gate <-chan struct{}) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			_, _ = io.WriteString(w, tokenFrame(id, i))
			w.(http.Flusher).Flush()
			if i == 1 && gate != nil {
				waitForGate(r, gate)
			}
		}
		_, _ = io.WriteString(w, finishFrames(id, n))
	}))
	t.Cleanup(server.Close)
	return server
}

func do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func errorOf(t *testing.T, body string) errorDetail {
	t.Helper()
	var e errorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("body is not an error of the OpenAI API: %v: %s", err, body)
	}
	return e.Error
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	engine := streamingEngine(t, 5, nil)
	f := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, f.request("POST", "/v1/chat/completions", streamBody))
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "content") != 5 {
		t.Fatalf("status %d, body %q", response.StatusCode, body)
	}
	if got := response.Trailer.Get(headerOutcome); got != string(outcome.Completed) {
		t.Errorf("outcome trailer is %q", got)
	}
	if end := f.awaitEnd(); end.Outcome != outcome.Completed || end.Tokens != 5 {
		t.Errorf("end is %+v", end)
	}
	for _, kind := range []timeline.Kind{timeline.Accepted, timeline.Dispatched, timeline.FirstToken, timeline.Finished} {
		if n := f.events.count(kind); n != 1 {
			t.Errorf("%d events of kind %s", n, kind)
		}
	}
}

func TestUnstreamedResponseIsForwarded(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		body, _ := io.ReadAll(r.Body)
		if string(body) != chatBody {
			t.Errorf("the engine received body %s", body)
		}
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","usage":{"prompt_tokens":9,"completion_tokens":4}}`, id)
	}))
	t.Cleanup(engine.Close)
	f := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, f.request("POST", "/v1/chat/completions", chatBody))
	if response.StatusCode != http.StatusOK || response.Header.Get(headerOutcome) != string(outcome.Completed) {
		t.Fatalf("status %d, outcome %q, body %s", response.StatusCode, response.Header.Get(headerOutcome), body)
	}
	if end := f.awaitEnd(); end.Tokens != 4 || end.PromptTokens != 9 {
		t.Errorf("end is %+v", end)
	}
}

func TestDialFailureRetriesOnAnotherTarget(t *testing.T) {
	closed := closedTarget(t)
	engine := streamingEngine(t, 2, nil)
	f := newFixture(t, nil, closed, engineTarget(engine))
	response, body := do(t, f.request("POST", "/v1/chat/completions", streamBody))
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, body %s", response.StatusCode, body)
	}
	declines, ends := f.admitter.grant(0).returned()
	if len(declines) != 1 || declines[0] != admission.DeclineDial || len(ends) != 0 {
		t.Errorf("the first grant was returned with declines %v, ends %v", declines, ends)
	}
	requests := f.admitter.received()
	if len(requests) != 2 || len(requests[1].ExcludedTargets) != 1 || requests[1].ExcludedTargets[0] != closed.Name {
		t.Errorf("the second request excludes targets %v", requests[len(requests)-1].ExcludedTargets)
	}
	if n := f.events.count(timeline.Dispatched); n != 1 {
		t.Errorf("%d dispatches, want 1", n)
	}
}

func TestServiceIsRouted(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.RequestURI)
	}))
	t.Cleanup(service.Close)
	at := settings.Target{Name: "filing-1", Address: service.Listener.Addr().String()}
	f := newFixture(t, nil, at)
	_, body := do(t, f.request("GET", "/services/filing/list/a%2Fb?x=1", ""))
	if body != "GET /list/a%2Fb?x=1" {
		t.Errorf("the service received %q", body)
	}
}

// TestStreamProgressIsReported checks the reports while an engine pauses before
// and after its first token.
func TestStreamProgressIsReported(t *testing.T) {
	first, second := make(chan struct{}), make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		w.Header().Set("Content-Type", contentTypeStream)
		_, _ = io.Copy(io.Discard, r.Body)
		waitForGate(r, first)
		_, _ = io.WriteString(w, tokenFrame(id, 1))
		w.(http.Flusher).Flush()
		waitForGate(r, second)
		_, _ = io.WriteString(w, tokenFrame(id, 2)+finishFrames(id, 2))
	}))
	t.Cleanup(engine.Close)
	f := newFixture(t, nil, engineTarget(engine))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		do(t, f.request("POST", "/v1/chat/completions", streamBody, headerDeadline, "30000"))
	}()
	last := func() (p admission.Progress) {
		if grant := f.admitter.grant(0); grant != nil {
			if reports := grant.reported(); len(reports) > 0 {
				p = reports[len(reports)-1]
			}
		}
		return p
	}
	eventually(t, "the wait for the first token is reported", func() bool {
		p := last()
		return p.Tokens == 0 && p.Prefill == 0 && p.SinceDispatch > 0
	})
	close(first)
	eventually(t, "the wait for the second token is reported", func() bool {
		p := last()
		return p.Tokens == 1 && p.Prefill > 0 && p.Gap > 0
	})
	close(second)
	<-ended
}

// waitForGate waits until gate is closed or the entry disconnects.
func waitForGate(r *http.Request, gate <-chan struct{}) {
	select {
	case <-gate:
	case <-r.Context().Done():
	}
}

// TestUnstreamedResponseReportsNoPrefill checks that the duration of a response that is
// not streamed is not reported as its prefill time.
func TestUnstreamedResponseReportsNoPrefill(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		time.Sleep(3 * maxProgressInterval)
		w.Header().Set(target.HeaderDispatch, id)
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","usage":{"prompt_tokens":9,"completion_tokens":4}}`, id)
	}))
	t.Cleanup(engine.Close)
	f := newFixture(t, nil, engineTarget(engine))
	do(t, f.request("POST", "/v1/chat/completions", chatBody))
	if end := f.awaitEnd(); end.Prefill != 0 || end.Tokens != 4 || end.Total == 0 {
		t.Errorf("end is %+v", end)
	}
	if reports := f.admitter.grant(0).reported(); len(reports) != 0 {
		t.Errorf("unexpected reports %+v", reports)
	}
}

func TestLongUnstreamedResponseReportsOutcome(t *testing.T) {
	padding := strings.Repeat("x", 2*maxBufferedBodyBytes)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","text":"%s"}`, id, padding)
	}))
	t.Cleanup(engine.Close)
	f := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, f.request("POST", "/v1/chat/completions", chatBody))
	if got := response.Header.Get(headerOutcome); got != string(outcome.Completed) || len(body) < len(padding) {
		t.Errorf("outcome %q, %d bytes", got, len(body))
	}
}

func TestServiceResponsesWithoutBody(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = io.WriteString(w, "twelve bytes")
		}
	}))
	t.Cleanup(service.Close)
	cases := []struct {
		method, path string
		status       int
		length       int64
	}{
		{method: "GET", path: "/empty", status: http.StatusNoContent},
		{method: "DELETE", path: "/empty", status: http.StatusNoContent},
		{method: "GET", path: "/same", status: http.StatusNotModified},
		{method: "HEAD", path: "/x", status: http.StatusOK, length: 12},
		{method: "OPTIONS", path: "/x", status: http.StatusOK, length: 12},
		{method: "PATCH", path: "/x", status: http.StatusOK, length: 12},
	}
	f := newFixture(t, nil, settings.Target{Name: "filing-1", Address: service.Listener.Addr().String()})
	for _, c := range cases {
		t.Run(c.method+c.path, func(t *testing.T) {
			response, body := do(t, f.request(c.method, "/services/filing"+c.path, ""))
			if response.StatusCode != c.status || response.ContentLength != c.length {
				t.Errorf("status %d, length %d, body %q", response.StatusCode, response.ContentLength, body)
			}
			if got := response.Header.Get(headerOutcome); got != string(outcome.Completed) {
				t.Errorf("outcome %q", got)
			}
		})
	}
}
