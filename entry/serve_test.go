package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// streamingEngine streams n tokens. gate, if not nil, holds the stream after
// the first token until it is closed.
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
		t.Fatalf("not an error in the API's shape: %v: %s", err, body)
	}
	return e.Error
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	engine := streamingEngine(t, 5, nil)
	b := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, b.request("POST", "/v1/chat/completions", streamBody))
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "content") != 5 {
		t.Fatalf("status %d, body %q", response.StatusCode, body)
	}
	if got := response.Trailer.Get(headerOutcome); got != string(outcome.Completed) {
		t.Errorf("outcome in the trailer is %q", got)
	}
	_, ends := b.admitter.grant(0).returned()
	if len(ends) != 1 || ends[0].Outcome != outcome.Completed || ends[0].Tokens != 5 {
		t.Errorf("ends are %+v", ends)
	}
	for _, kind := range []timeline.Kind{timeline.Accepted, timeline.Dispatched, timeline.FirstToken, timeline.Finished} {
		if n := b.events.count(kind); n != 1 {
			t.Errorf("%d events of kind %s", n, kind)
		}
	}
}

func TestWholeAnswerIsPassedOn(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		body, _ := io.ReadAll(r.Body)
		if string(body) != chatBody {
			t.Errorf("the body arrived as %s", body)
		}
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","usage":{"prompt_tokens":9,"completion_tokens":4}}`, id)
	}))
	t.Cleanup(engine.Close)
	b := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, b.request("POST", "/v1/chat/completions", chatBody))
	if response.StatusCode != http.StatusOK || response.Header.Get(headerOutcome) != string(outcome.Completed) {
		t.Fatalf("status %d, outcome %q, body %s", response.StatusCode, response.Header.Get(headerOutcome), body)
	}
	_, ends := b.admitter.grant(0).returned()
	if len(ends) != 1 || ends[0].Tokens != 4 || ends[0].PromptTokens != 9 {
		t.Errorf("ends are %+v", ends)
	}
}

func TestDialFailureMovesToAnotherTarget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := settings.Target{Name: "engine-0", Address: listener.Addr().String()}
	_ = listener.Close()
	engine := streamingEngine(t, 2, nil)
	b := newFixture(t, nil, closed, engineTarget(engine))
	response, body := do(t, b.request("POST", "/v1/chat/completions", streamBody))
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, body %s", response.StatusCode, body)
	}
	declines, ends := b.admitter.grant(0).returned()
	if len(declines) != 1 || declines[0] != admission.DeclineDial || len(ends) != 0 {
		t.Errorf("the first grant was given back as %v, %v", declines, ends)
	}
	asked := b.admitter.received()
	if len(asked) != 2 || len(asked[1].ExcludedTargets) != 1 || asked[1].ExcludedTargets[0] != "engine-0" {
		t.Errorf("the second request avoids %v", asked[len(asked)-1].ExcludedTargets)
	}
	if n := b.events.count(timeline.Dispatched); n != 1 {
		t.Errorf("%d dispatches", n)
	}
}

func TestServiceIsRouted(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.RequestURI)
	}))
	t.Cleanup(service.Close)
	at := settings.Target{Name: "filing-1", Address: service.Listener.Addr().String()}
	b := newFixture(t, nil, at)
	_, body := do(t, b.request("GET", "/services/filing/list/a%2Fb?x=1", ""))
	if body != "GET /list/a%2Fb?x=1" {
		t.Errorf("the service saw %q", body)
	}
}

// TestProgressOfAStream holds an engine before its first token and after it.
func TestProgressOfAStream(t *testing.T) {
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
	b := newFixture(t, nil, engineTarget(engine))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		do(t, b.request("POST", "/v1/chat/completions", streamBody, headerDeadline, "30000"))
	}()
	last := func() (p admission.Progress) {
		if grant := b.admitter.grant(0); grant != nil {
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

// waitForGate waits for the gate, or for the entry to hang up.
func waitForGate(r *http.Request, gate <-chan struct{}) {
	select {
	case <-gate:
	case <-r.Context().Done():
	}
}

// TestWholeAnswerTellsNoPrefill makes sure that the time of a whole answer isn't
// taken for that of its prefill.
func TestWholeAnswerTellsNoPrefill(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		time.Sleep(3 * maxProgressInterval)
		w.Header().Set(target.HeaderDispatch, id)
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","usage":{"prompt_tokens":9,"completion_tokens":4}}`, id)
	}))
	t.Cleanup(engine.Close)
	b := newFixture(t, nil, engineTarget(engine))
	do(t, b.request("POST", "/v1/chat/completions", chatBody))
	_, ends := b.admitter.grant(0).returned()
	if len(ends) != 1 || ends[0].Prefill != 0 || ends[0].Tokens != 4 || ends[0].Total == 0 {
		t.Errorf("ends are %+v", ends)
	}
	if reports := b.admitter.grant(0).reported(); len(reports) != 0 {
		t.Errorf("reported %+v", reports)
	}
}

func TestLongWholeAnswerTellsItsOutcome(t *testing.T) {
	filler := strings.Repeat("x", 2*maxBufferedBodyBytes)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		_, _ = fmt.Fprintf(w, `{"id":"chatcmpl-%s","text":"%s"}`, id, filler)
	}))
	t.Cleanup(engine.Close)
	b := newFixture(t, nil, engineTarget(engine))
	response, body := do(t, b.request("POST", "/v1/chat/completions", chatBody))
	if got := response.Header.Get(headerOutcome); got != string(outcome.Completed) || len(body) < len(filler) {
		t.Errorf("outcome %q, %d bytes", got, len(body))
	}
}

func TestServiceAnswersWithoutABody(t *testing.T) {
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
	b := newFixture(t, nil, settings.Target{Name: "filing-1", Address: service.Listener.Addr().String()})
	for _, c := range cases {
		t.Run(c.method+c.path, func(t *testing.T) {
			response, body := do(t, b.request(c.method, "/services/filing"+c.path, ""))
			if response.StatusCode != c.status || response.ContentLength != c.length {
				t.Errorf("status %d, length %d, body %q", response.StatusCode, response.ContentLength, body)
			}
			if got := response.Header.Get(headerOutcome); got != string(outcome.Completed) {
				t.Errorf("outcome %q", got)
			}
		})
	}
}
